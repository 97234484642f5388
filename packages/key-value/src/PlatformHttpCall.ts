import type { Dispatcher } from 'undici';

/** Outcome of one HTTP call. */
export type HttpCallOutcome =
  | {
      /** Validator of the answer, for asking later whether it has changed. */
      readonly etag?: string;
      readonly kind: 'answered';
      readonly status: number;
      readonly text: string;
    }
  /** The request may have reached the server; its answer did not come, or not whole. */
  | { readonly detail: string; readonly kind: 'noAnswer' }
  /** No byte of the request was written. */
  | { readonly detail: string; readonly kind: 'notSent' };

/** One HTTP call. */
export interface HttpCall {
  readonly body?: string;
  readonly deadlineMs: number;
  readonly dispatcher: Dispatcher;
  /** Validator of an earlier answer: the server may answer 304 when nothing has changed. */
  readonly ifNoneMatch?: string;
  /** Asked when a connection is ready, right before the first byte is written. */
  readonly mayWrite?: () => boolean;
  readonly method: 'DELETE' | 'GET' | 'POST';
  readonly origin: string;
  readonly path: string;
}

const MAX_ANSWER_BYTES = 64 * 1024 * 1024;

/**
 * Makes one HTTP call with a deadline. It is never repeated.
 *
 * @param call - the call
 * @returns the answer, or how far the call got
 */
export function callHttp(call: HttpCall): Promise<HttpCallOutcome> {
  return new Promise((resolve) => {
    let etag: string | undefined;
    let abort: ((reason: Error) => void) | undefined;
    let sent = false;
    let settled = false;
    let status = 0;
    let size = 0;
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
      fail(`no answer within ${call.deadlineMs} ms`);
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
        if (call.mayWrite?.() === false) {
          fail('the right to make the call ended before it was written');
          return;
        }
        sent = true;
      },
      onResponseData: (_controller, chunk) => {
        chunks.push(chunk);
        size += chunk.length;
        if (size > MAX_ANSWER_BYTES) {
          fail('the answer is too large');
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
        headers: headersOf(call),
        method: call.method,
        origin: call.origin,
        path: call.path,
      },
      handler,
    );
  });
}

function headersOf({ body, ifNoneMatch }: HttpCall): Record<string, string> {
  return {
    ...(body === undefined ? {} : { 'content-type': 'application/json' }),
    ...(ifNoneMatch === undefined ? {} : { 'if-none-match': ifNoneMatch }),
  };
}
