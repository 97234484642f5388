import type { IncomingMessage } from 'node:http';
import type { BodyBudget } from '@laburnumgap/dispatch';
import { GrowableBuffer } from '../GrowableBuffer.js';

/** Options of {@link readRequestBody}. */
export interface RequestBodyOptions {
  readonly budget: BodyBudget;
  readonly maxBytes: number;
  /** Called with the complete body. */
  readonly onBody: (body: Buffer) => void;
  /** Called instead when the body exceeds `maxBytes`. */
  readonly onExcess: () => void;
  /** Called instead when there is no room for the body; the rest of it is read and dropped. */
  readonly onNoRoom: () => void;
  readonly request: IncomingMessage;
}

/**
 * Reads the body of a caller's request into one buffer, within a budget for all requests.
 *
 * @param options - the request, its limits and who receives the body
 * @returns frees the room in the budget; to be called once when the body is not needed any more
 */
export function readRequestBody(options: RequestBodyOptions): () => void {
  const { budget, maxBytes, onBody, onExcess, onNoRoom, request } = options;
  const reserved: number[] = [];
  const free = (): void => {
    reserved.splice(0).forEach((bytes) => {
      budget.release(bytes);
    });
  };
  const reserve = (bytes: number): boolean => {
    const hasRoom = budget.tryReserve(bytes);
    if (hasRoom) {
      reserved.push(bytes);
    }
    return hasRoom;
  };
  const declaredBytes = Number(request.headers['content-length'] ?? 0);
  if (declaredBytes > maxBytes) {
    onExcess();
    return free;
  }
  if (!reserve(declaredBytes)) {
    request.resume();
    onNoRoom();
    return free;
  }
  let isOver = false;
  const giveUp = (tell: () => void): void => {
    isOver = true;
    free();
    tell();
  };
  let received = declaredBytes > 0 ? Buffer.allocUnsafe(declaredBytes) : undefined;
  let receivedBytes = 0;
  let hasRoomToGrow = true;
  const grown = new GrowableBuffer({
    release: () => undefined,
    reserve: (bytes) => {
      hasRoomToGrow &&= reserve(bytes);
    },
  });
  request.on('data', (chunk: Buffer) => {
    if (isOver) {
      return;
    }
    receivedBytes += chunk.length;
    if (receivedBytes > maxBytes) {
      received = undefined;
      giveUp(onExcess);
    } else if (received) {
      chunk.copy(received, receivedBytes - chunk.length);
    } else {
      grown.append(chunk);
      if (!hasRoomToGrow) {
        grown.take();
        giveUp(onNoRoom);
      }
    }
  });
  request.on('end', () => {
    if (!isOver) {
      onBody(received ?? grown.take());
    }
  });
  return free;
}
