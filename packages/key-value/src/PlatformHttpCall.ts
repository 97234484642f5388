import type { Dispatcher } from 'undici';

/** Outcome of one HTTP call. */
export type HttpCallOutcome =
  | {
      /** ETag of the response, to be sent as `ifNoneMatch` by a later call. */
      readonly etag?: string;
      readonly kind: 'answered';
      readonly status: number;
      readonly text: string;
    }
  /** The request may have reached the server, but no complete response came back. */
  | { readonly detail: string; readonly kind: 'noAnswer' }
  /** No byte of the request was written. */
  | { readonly detail: string; readonly kind: 'notSent' };

/** One HTTP call. */
export interface HttpCall {
  readonly body?: string;
  readonly deadlineMs: number;
  readonly dispatcher: Dispatcher;
  /** ETag of an earlier response; the server may answer 304 when nothing has changed. */
  readonly ifNoneMatch?: string;
  /**
   * Called when a connection is ready, right before the first byte is written; the call is not sent
   * when it returns false.
   */
  readonly maySend?: () => boolean;
  readonly method: 'DELETE' | 'GET' | 'POST';
  readonly origin: string;
  readonly path: string;
}

const MAX_RESPONSE_BYTES = 64 * 1024 * 1024;

/**
 * Makes one HTTP call with a deadline and without retries.
 *
 * @param call - the call
 * @returns the response, or whether the request may have been sent
 */
export function callHttp(call: HttpCall): Promise<HttpCallOutcome> {
  return new Promise((resolve) => {
    let etag: string | undefined;
    let abort: ((reason: Error) => void) | undefined;
    let sent = false;
    let settled = false;
    let status = 0;
    let receivedBytes = 0;
    const chunks: Buffer[] = [];
    const settle = (outcome: HttpCallOutcome): void => {
      if (!settled) {
        settled = true;
        clearTimeout(timer);
        resolve(outcome);
      }
    };
    const fail = (detail: string): void => {
      settle(sent ? { detail, kind: 'noAnswer' } : { detail, kind: 'notSent' });
      abort?.(new Error(detail));
    };
    const timer = setTimeout(() => {
      fail(`no response within ${call.deadlineMs} ms`);
    }, call.deadlineMs);
    const handler: Dispatcher.DispatchHandler = {
      onRequestStart: (controller) => {
        abort = (reason) => {
          controller.abort(reason);
        };
        if (settled) {
          controller.abort(new Error('the deadline passed before the call was sent'));
          return;
        }
        if (call.maySend?.() === false) {
          fail('the permission to send the call ended before its first byte was written');
          return;
        }
        sent = true;
      },
      onResponseData: (_controller, chunk) => {
        chunks.push(chunk);
        receivedBytes += chunk.length;
        if (receivedBytes > MAX_RESPONSE_BYTES) {
          fail('the response exceeds the size limit');
        }
      },
      onResponseEnd: () => {
        const text = Buffer.concat(chunks).toString('utf8');
        settle({ etag, kind: 'answered', status, text });
      },
      onResponseError: (_controller, error) => {
        fail(error.message === '' ? error.name : error.message);
      },
      onResponseStart: (_controller, statusCode, headers) => {
        status = statusCode;
        etag = typeof headers.etag === 'string' ? headers.etag : undefined;
      },
    };
    call.dispatcher.dispatch(
      {
        body: call.body,
        headers: createHeaders(call),
        method: call.method,
        origin: call.origin,
        path: call.path,
      },
      handler,
    );
  });
}

function createHeaders({ body, ifNoneMatch }: HttpCall): Record<string, string> {
  return {
    ...(body === undefined ? {} : { 'content-type': 'application/json' }),
    ...(ifNoneMatch === undefined ? {} : { 'if-none-match': ifNoneMatch }),
  };
}
