import type { RandomSource, Revision, StoreWatch, WatchEvent } from '@laburnumgap/kernel';
import type { Dispatcher } from 'undici';
import type { PlatformConnections } from './PlatformConnections.js';
import type { EtcdWatchLine } from './PlatformEtcdSchema.js';
import {
  GRPC_STATUS,
  prefixEnd,
  toBase64,
  toRevision,
  toStoreChange,
} from './PlatformEtcdSchema.js';

/** Options of {@link openEtcdWatch}. */
export interface EtcdWatchOptions {
  readonly afterRevision: Revision;
  readonly connections: PlatformConnections;
  /** Longest time without a byte before the watch ends. */
  readonly idleLimitMs: number;
  readonly onEvent: (event: WatchEvent) => void;
  readonly prefix: string;
  readonly random: RandomSource;
}

/** Share of the idle limit that is taken off at random. */
const IDLE_JITTER = 0.5;
const HTTP_OK = 200;
const MAX_LINE_BYTES = 64 * 1024 * 1024;

/**
 * Opens a watch. It ends, with one `ended` or `compacted` event, when the connection breaks, when
 * the store cancels it, or when nothing was heard within the idle limit: a connection that went
 * silent can't be told from a quiet one, so a quiet watch is opened anew as well.
 *
 * @param options - prefix, start and listener
 * @returns the running watch
 */
export function openEtcdWatch(options: EtcdWatchOptions): StoreWatch {
  const watch = new EtcdWatch(options);
  watch.open();
  return watch;
}

class EtcdWatch implements StoreWatch {
  readonly #dispatcher: Dispatcher;
  readonly #options: EtcdWatchOptions;
  #ended = false;
  #idleTimer: NodeJS.Timeout | undefined;
  #partialLine = '';
  #status = 0;

  constructor(options: EtcdWatchOptions) {
    this.#dispatcher = options.connections.newDispatcher();
    this.#options = options;
  }

  open(): void {
    const { afterRevision, connections, prefix } = this.#options;
    this.#restartIdleTimer();
    this.#dispatcher.dispatch(
      {
        body: JSON.stringify({
          create_request: {
            key: toBase64(prefix),
            progress_notify: true,
            range_end: toBase64(prefixEnd(prefix)),
            start_revision: String(afterRevision + 1),
          },
        }),
        headers: { 'content-type': 'application/json' },
        method: 'POST',
        origin: connections.origin,
        path: connections.pathOf('/v3/watch'),
      },
      this.#handler(),
    );
  }

  close(): void {
    this.#finish();
  }

  #handler(): Dispatcher.DispatchHandler {
    const decoder = new TextDecoder();
    return {
      onResponseData: (_controller, chunk) => {
        this.#restartIdleTimer();
        this.#take(decoder.decode(chunk, { stream: true }));
      },
      onResponseEnd: () => {
        this.#end('the store ended the watch');
      },
      onResponseError: (_controller, error) => {
        this.#end(error.message);
      },
      onRequestStart: (controller) => {
        if (this.#ended) {
          controller.abort(new Error('the watch was closed'));
        }
      },
      onResponseStart: (_controller, statusCode) => {
        this.#status = statusCode;
      },
    };
  }

  #take(text: string): void {
    if (this.#status !== HTTP_OK) {
      this.#end(`HTTP status ${this.#status}`);
      return;
    }
    const lines = (this.#partialLine + text).split('\n');
    this.#partialLine = lines.pop() ?? '';
    if (this.#partialLine.length > MAX_LINE_BYTES) {
      this.#end('a line is too large');
      return;
    }
    for (const line of lines) {
      this.#takeLine(line);
    }
  }

  #takeLine(line: string): void {
    if (this.#ended || line.trim() === '') {
      return;
    }
    const parsed = parseLine(line);
    if (!parsed) {
      this.#end('a line is not JSON');
      return;
    }
    if (parsed.error) {
      this.#takeError(parsed.error.code, parsed.error.message ?? 'error');
      return;
    }
    const { result } = parsed;
    if (result?.canceled === true) {
      this.#takeCancel(result.compact_revision, result.cancel_reason ?? 'canceled');
      return;
    }
    const changes = (result?.events ?? []).map(toStoreChange);
    if (changes.length > 0) {
      const revision = toRevision(result?.header?.revision);
      this.#options.onEvent({ changes, kind: 'changes', revision });
    }
  }

  #takeCancel(compactRevision: string | undefined, reason: string): void {
    if (compactRevision === undefined) {
      this.#end(reason);
      return;
    }
    this.#finish();
    this.#options.onEvent({ kind: 'compacted', revision: toRevision(compactRevision) });
  }

  #takeError(code: number | undefined, message: string): void {
    if (code === GRPC_STATUS.outOfRange) {
      this.#takeCancel('0', message);
      return;
    }
    this.#end(message);
  }

  #restartIdleTimer(): void {
    clearTimeout(this.#idleTimer);
    if (this.#ended) {
      return;
    }
    const { random } = this.#options;
    const idleLimitMs = this.#options.idleLimitMs * (1 - random.nextUnit() * IDLE_JITTER);
    this.#idleTimer = setTimeout(() => {
      this.#end(`nothing heard for ${Math.round(idleLimitMs)} ms`);
    }, idleLimitMs);
  }

  #end(detail: string): void {
    if (this.#ended) {
      return;
    }
    this.#finish();
    this.#options.onEvent({ detail, kind: 'ended' });
  }

  #finish(): void {
    this.#ended = true;
    clearTimeout(this.#idleTimer);
    void this.#dispatcher.destroy();
  }
}

function parseLine(line: string): EtcdWatchLine | undefined {
  try {
    const value: unknown = JSON.parse(line);
    return typeof value === 'object' && value !== null ? value : undefined;
  } catch {
    return undefined;
  }
}
