import type { Socket } from 'node:net';
import type { PausableSource } from '../buffers/HeldOutput.js';

/**
 * The bytes of one response. Pausing it pauses the connection until the response ends; calls after that have
 * no effect, since the connection can carry another response then.
 */
export class ResponseSource implements PausableSource {
  private hasEnded = false;

  constructor(private readonly socket: Pick<Socket, 'isPaused' | 'pause' | 'resume'>) {}

  pause(): void {
    if (!this.hasEnded) {
      this.socket.pause();
    }
  }

  resume(): void {
    if (!this.hasEnded && this.socket.isPaused()) {
      this.socket.resume();
    }
  }

  /** The response has ended: the connection is read again. */
  end(): void {
    this.resume();
    this.hasEnded = true;
  }
}
