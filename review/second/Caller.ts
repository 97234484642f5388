import { Agent, request as sendRequest } from 'node:http';
import type { Machine } from './Deployment.js';

/** An answer as a caller received it. */
export interface CallerAnswer {
  readonly body: string;
  readonly bytes: number;
  /** Whether it arrived to its end. */
  readonly isComplete: boolean;
  readonly retryAfter: string | undefined;
  readonly stamp: string | undefined;
  /** 0 without an answer. */
  readonly status: number;
  readonly tookMs: number;
}

/** A request of a caller. */
export interface CallerRequest {
  readonly agent?: Agent;
  readonly body?: Buffer | string;
  readonly deadlineMs: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly host?: string;
  readonly id: string;
  readonly machine: Machine;
  readonly method?: string;
  readonly path: string;
}

const MAX_KEPT_CHARACTERS = 4_000;
const NEW_CONNECTIONS = new Agent({ keepAlive: false });

/** Sends a request; resolves with the answer, or at the deadline without one, when the caller leaves. */
export function call(options: CallerRequest): Promise<CallerAnswer> {
  const { agent = NEW_CONNECTIONS, body, deadlineMs, headers, host, id, machine, path } = options;
  const method = options.method ?? (body === undefined ? 'GET' : 'POST');
  const startedMs = performance.now();
  return new Promise((resolve) => {
    let bytes = 0;
    let text = '';
    let isOver = false;
    const end = (answer: Partial<CallerAnswer>): void => {
      if (isOver) {
        return;
      }
      isOver = true;
      clearTimeout(timer);
      resolve({
        body: text,
        bytes,
        isComplete: false,
        retryAfter: undefined,
        stamp: undefined,
        status: 0,
        tookMs: Math.round(performance.now() - startedMs),
        ...answer,
      });
    };
    const request = sendRequest(
      {
        ...machine.front,
        agent,
        headers: {
          Host: host ?? 'shop.example',
          'Request-Id': id,
          'Deadline-Ms': String(deadlineMs),
          ...(body === undefined ? {} : { 'Content-Length': String(Buffer.byteLength(body)) }),
          ...headers,
        },
        method,
        path,
      },
      (response) => {
        const { statusCode: status = 0 } = response;
        const stamp = response.headers['response-stamp'];
        const seen = {
          retryAfter: response.headers['retry-after'],
          stamp: typeof stamp === 'string' ? stamp : undefined,
          status,
        };
        response.on('data', (chunk: Buffer) => {
          bytes += chunk.length;
          if (text.length < MAX_KEPT_CHARACTERS) {
            text += chunk.toString('latin1');
          }
        });
        response.on('end', () => {
          end({ ...seen, isComplete: response.complete });
        });
        response.on('error', () => {
          end(seen);
        });
      },
    );
    const timer = setTimeout(() => {
      end({});
      request.destroy();
    }, deadlineMs);
    request.on('error', () => {
      end({});
    });
    request.end(body);
  });
}
