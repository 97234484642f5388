import type { Socket } from 'node:dgram';
import type { Server } from 'node:net';
import type { MonotonicClock } from '@laburnumgap/kernel';
import type { ServingLog } from './ServingLog.js';

/** Address that a listener binds to. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Options of {@link PortOpener}. */
export interface PortOpenerOptions {
  readonly clock: MonotonicClock;
  /** Whether the daemon stops, so that it opens no further ports; false by default. */
  readonly isStopping?: () => boolean;
  readonly log: ServingLog;
  /** Longest wait for a port that another process holds; 0 by default. */
  readonly maxWaitMs?: number;
}

const RETRY_MS = 50;
/** The former process still has the port, or the system has not assigned the address yet. */
const PASSING_ERRORS: ReadonlySet<unknown> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

/**
 * Opens the ports of a daemon. Waits for ports that are held, since a daemon can be started while the
 * former process of the same settings still ends.
 */
export class PortOpener {
  constructor(private readonly options: PortOpenerOptions) {}

  /**
   * Starts listening. Errors of the open port are logged.
   *
   * @param server - the server
   * @param address - address to bind to
   * @returns rejects with the error of the system when the port cannot be opened
   */
  async listen(server: Server, { host, port }: ListenAddress): Promise<void> {
    await this.open({ host, port }, server, () => server.listen(port, host));
  }

  /** Binds a UDP socket; see {@link listen}. */
  async bind(socket: Socket, { host, port }: ListenAddress): Promise<void> {
    await this.open({ host, port }, socket, () => socket.bind(port, host));
  }

  private async open(
    { host, port }: ListenAddress,
    source: Server | Socket,
    begin: () => void,
  ): Promise<void> {
    const { clock, isStopping, log, maxWaitMs = 0 } = this.options;
    const startedMs = clock.nowMs();
    let hasWaited = false;
    for (;;) {
      try {
        await waitUntilOpen(source, begin);
        break;
      } catch (error) {
        const { code, message } = error as NodeJS.ErrnoException;
        const mustGiveUp = isStopping?.() === true || clock.nowMs() - startedMs >= maxWaitMs;
        if (!PASSING_ERRORS.has(code) || mustGiveUp) {
          throw error;
        }
        if (!hasWaited) {
          log.warn('port-held', { host, maxWaitMs, port, reason: message });
        }
        hasWaited = true;
      }
      await new Promise((resolve) => setTimeout(resolve, RETRY_MS));
    }
    if (hasWaited) {
      log.info('port-free', { host, port, waitedMs: clock.nowMs() - startedMs });
    }
    // An error without a listener ends the process; after most errors the port goes on working.
    source.on('error', (error: Error) => {
      log.warn('port-failed', { host, port, reason: error.message });
    });
  }
}

/** Leaves no listener behind when opening fails, so that it can be tried again. */
function waitUntilOpen(source: Server | Socket, begin: () => void): Promise<void> {
  return new Promise((resolve, reject) => {
    const onError = (error: Error): void => {
      source.off('listening', onListening);
      reject(error);
    };
    const onListening = (): void => {
      source.off('error', onError);
      resolve();
    };
    source.once('error', onError);
    source.once('listening', onListening);
    begin();
  });
}
