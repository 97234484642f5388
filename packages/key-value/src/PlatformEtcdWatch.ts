import type { RandomSource, Revision, StoreWatch, WatchEvent } from '@laburnumgap/kernel';
import type { Dispatcher } from 'undici';
import type { PlatformHttpClient } from './PlatformHttpClient.js';
import type { EtcdWatchLine } from './PlatformEtcdSchema.js';
import {
  GRPC_STATUS,
  prefixEnd,
  toBase64,
  parseRevision,
  toStoreChange,
} from './PlatformEtcdSchema.js';

/** Options of {@link openEtcdWatch}. */
export interface EtcdWatchOptions {
  readonly afterRevision: Revision;
  readonly httpClient: PlatformHttpClient;
  /** The watch ends after this long without a byte, less the random jitter. */
  readonly idleLimitMs: number;
  readonly onEvent: (event: WatchEvent) => void;
  readonly prefix: string;
  readonly random: RandomSource;
}

/** Largest part of the idle limit that is subtracted at random. */
const IDLE_LIMIT_JITTER_RATIO = 0.5;
const HTTP_OK = 200;
const MAX_LINE_BYTES = 64 * 1024 * 1024;

/**
 * Opens a watch. It ends with one `ended` or `compacted` event when the connection breaks, when the
 * store cancels it, or when no bytes arrive within the idle limit. A dead connection can't be told
 * from one without changes, so callers reopen both.
 *
 * @param options - prefix, start revision and listener
 * @returns the open watch
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
  /** Pieces of the incomplete line, joined once it is complete. */
  #partialLine: string[] = [];
  #partialLineBytes = 0;
  #status = 0;

  constructor(options: EtcdWatchOptions) {
    this.#dispatcher = options.httpClient.createDispatcher();
    this.#options = options;
  }

  open(): void {
    const { afterRevision, httpClient, prefix } = this.#options;
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
        origin: httpClient.origin,
        path: httpClient.resolvePath('/v3/watch'),
      },
      this.#createHandler(),
    );
  }

  close(): void {
    this.#release();
  }

  #createHandler(): Dispatcher.DispatchHandler {
    const decoder = new TextDecoder();
    return {
      onResponseData: (_controller, chunk) => {
        this.#restartIdleTimer();
        this.#onText(decoder.decode(chunk, { stream: true }), chunk.length);
      },
      onResponseEnd: () => {
        this.#endWith('the store ended the watch');
      },
      onResponseError: (_controller, error) => {
        this.#endWith(error.message);
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

  #onText(text: string, bytes: number): void {
    if (this.#status !== HTTP_OK) {
      this.#endWith(`HTTP status ${this.#status}`);
      return;
    }
    const [continued = '', ...begun] = text.split('\n');
    this.#partialLine.push(continued);
    this.#partialLineBytes += bytes;
    if (this.#partialLineBytes > MAX_LINE_BYTES) {
      this.#endWith('a line exceeds the size limit');
      return;
    }
    const last = begun.pop();
    if (last === undefined) {
      return;
    }
    const lines = [this.#partialLine.join(''), ...begun];
    this.#partialLine = [last];
    this.#partialLineBytes = Buffer.byteLength(last);
    for (const line of lines) {
      this.#onLine(line);
    }
  }

  #onLine(line: string): void {
    if (this.#ended || line.trim() === '') {
      return;
    }
    const parsed = parseLine(line);
    if (!parsed) {
      this.#endWith('a line is not JSON');
      return;
    }
    if (parsed.error) {
      this.#onError(parsed.error.code, parsed.error.message ?? 'error');
      return;
    }
    const { result } = parsed;
    if (result?.canceled === true) {
      this.#onCanceled(result.compact_revision, result.cancel_reason ?? 'canceled');
      return;
    }
    const changes = (result?.events ?? []).map(toStoreChange);
    if (changes.length > 0) {
      const revision = parseRevision(result?.header?.revision);
      this.#options.onEvent({ changes, kind: 'changes', revision });
    }
  }

  #onCanceled(compactRevision: string | undefined, reason: string): void {
    if (compactRevision === undefined) {
      this.#endWith(reason);
      return;
    }
    this.#release();
    this.#options.onEvent({ kind: 'compacted', revision: parseRevision(compactRevision) });
  }

  #onError(code: number | undefined, message: string): void {
    if (code === GRPC_STATUS.outOfRange) {
      this.#onCanceled('0', message);
      return;
    }
    this.#endWith(message);
  }

  #restartIdleTimer(): void {
    clearTimeout(this.#idleTimer);
    if (this.#ended) {
      return;
    }
    const { random } = this.#options;
    const idleLimitMs =
      this.#options.idleLimitMs * (1 - random.nextUnit() * IDLE_LIMIT_JITTER_RATIO);
    this.#idleTimer = setTimeout(() => {
      this.#endWith(`no bytes received for ${Math.round(idleLimitMs)} ms`);
    }, idleLimitMs);
  }

  #endWith(detail: string): void {
    if (this.#ended) {
      return;
    }
    this.#release();
    this.#options.onEvent({ detail, kind: 'ended' });
  }

  #release(): void {
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
