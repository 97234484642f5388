/**
 * Table of the numbered result codes in refusals, error responses and log lines. Codes are stable; a
 * retired code is never reused.
 */

/** Whether, or how far, the request behind a response has run. */
export type RunState = 'complete' | 'may_have_run' | 'not_run' | 'partial';

/** One result code. */
export interface ResultCodeRow {
  /** Stable number, shown to callers and in the log. */
  readonly code: number;
  /** Meaning for the caller. */
  readonly description: string;
  /** HTTP status of responses that carry the code. */
  readonly httpStatus: number;
  /** Execution state of the request. */
  readonly run: RunState;
}

/** All result codes by name, in order of their numbers. */
export const RESULT_CODES = {
  OK: {
    code: 1000,
    description: 'The request was answered completely.',
    httpStatus: 200,
    run: 'complete',
  },
  MALFORMED_REQUEST: {
    code: 2001,
    description: 'The body, a header or the path could not be read.',
    httpStatus: 400,
    run: 'not_run',
  },
  REQUEST_TOO_LARGE: {
    code: 2002,
    description: 'The body or the headers exceed the size limit.',
    httpStatus: 413,
    run: 'not_run',
  },
  UNKNOWN_PATH: {
    code: 2003,
    description: 'No such path, or the method is not supported on it.',
    httpStatus: 404,
    run: 'not_run',
  },
  UNKNOWN_MODEL: {
    code: 2004,
    description: 'The contract names no such model.',
    httpStatus: 404,
    run: 'not_run',
  },
  UNKNOWN_SERVICE: {
    code: 2005,
    description: 'The contract names no such service or call.',
    httpStatus: 404,
    run: 'not_run',
  },
  BODY_TIMEOUT: {
    code: 2006,
    description: 'The body did not arrive in time.',
    httpStatus: 408,
    run: 'not_run',
  },
  KEY_MISSING: { code: 2101, description: 'No API key was sent.', httpStatus: 401, run: 'not_run' },
  KEY_REJECTED: {
    code: 2102,
    description: 'The API key is unknown or revoked.',
    httpStatus: 401,
    run: 'not_run',
  },
  NOT_YOURS: {
    code: 2103,
    description: 'The request or generation belongs to another team.',
    httpStatus: 403,
    run: 'not_run',
  },
  IDEMPOTENCY_KEY_MISSING: {
    code: 2201,
    description: 'The call may run only once and carries no Idempotency-Key.',
    httpStatus: 400,
    run: 'not_run',
  },
  IDEMPOTENCY_KEY_INVALID: {
    code: 2202,
    description: 'The Idempotency-Key is not a UUIDv7.',
    httpStatus: 400,
    run: 'not_run',
  },
  IDEMPOTENCY_KEY_EXPIRED: {
    code: 2203,
    description: 'The Idempotency-Key is older than the retention window.',
    httpStatus: 409,
    run: 'not_run',
  },
  IDEMPOTENCY_KEY_IN_FUTURE: {
    code: 2204,
    description: 'The Idempotency-Key is stamped too far in the future.',
    httpStatus: 400,
    run: 'not_run',
  },
  IDEMPOTENCY_KEY_REUSED: {
    code: 2205,
    description: 'The Idempotency-Key was used with another body or call; this body was not run.',
    httpStatus: 422,
    run: 'not_run',
  },
  CLAIM_STILL_RUNNING: {
    code: 2206,
    description: 'A call with this Idempotency-Key is still running.',
    httpStatus: 409,
    run: 'may_have_run',
  },
  REQUEST_QUARANTINED: {
    code: 2301,
    description:
      'Requests like this one crash their servers; it was not run and is not to be repeated.',
    httpStatus: 400,
    run: 'not_run',
  },
  RATE_LIMITED: {
    code: 3001,
    description: 'The team is at the request rate of its contract.',
    httpStatus: 429,
    run: 'not_run',
  },
  CONCURRENCY_LIMITED: {
    code: 3002,
    description: 'The team is at the concurrency of its contract.',
    httpStatus: 429,
    run: 'not_run',
  },
  TOKEN_BUDGET_EXHAUSTED: {
    code: 3003,
    description: 'The team is at the token rate of its contract.',
    httpStatus: 429,
    run: 'not_run',
  },
  QUEUE_WAIT_TOO_LONG: {
    code: 3004,
    description: 'The expected wait exceeds the waiting bound of the contract.',
    httpStatus: 503,
    run: 'not_run',
  },
  DRAINING: {
    code: 3005,
    description: 'This daemon is shutting down and takes no new work.',
    httpStatus: 503,
    run: 'not_run',
  },
  STARTING: {
    code: 3006,
    description: 'This daemon has just started and does not know the contracts yet.',
    httpStatus: 503,
    run: 'not_run',
  },
  REQUEST_HELD: {
    code: 3007,
    description: 'Requests like this one may crash their servers and are run one at a time.',
    httpStatus: 503,
    run: 'not_run',
  },
  BODIES_EXCEED_MEMORY: {
    code: 3008,
    description: 'This daemon holds as many request bodies as its memory allows.',
    httpStatus: 503,
    run: 'not_run',
  },
  NO_ENGINE: {
    code: 4001,
    description: 'No engine that serves the model can be reached.',
    httpStatus: 503,
    run: 'not_run',
  },
  NO_SERVER: {
    code: 4002,
    description: 'No backend server of the service can be reached.',
    httpStatus: 503,
    run: 'not_run',
  },
  PLATFORM_UNAVAILABLE: {
    code: 4003,
    description: 'The claim could not be recorded: the platform service is unavailable.',
    httpStatus: 503,
    run: 'not_run',
  },
  CLAIM_UNAVAILABLE: {
    code: 4004,
    description: 'No ledger could be reached; the call was not sent.',
    httpStatus: 503,
    run: 'not_run',
  },
  DEADLINE_BEFORE_RUN: {
    code: 4005,
    description: 'The waiting bound passed before the request could run.',
    httpStatus: 503,
    run: 'not_run',
  },
  OUTCOME_UNKNOWN: {
    code: 5001,
    description: 'The call was sent and its outcome is not known; it will not be sent again.',
    httpStatus: 502,
    run: 'may_have_run',
  },
  GENERATION_ENDED_EARLY: {
    code: 5002,
    description: 'The generation could not be continued; the tokens delivered so far are valid.',
    httpStatus: 502,
    run: 'partial',
  },
  GENERATION_UNKNOWN: {
    code: 5003,
    description: 'No generation with this request id can be resumed.',
    httpStatus: 404,
    run: 'may_have_run',
  },
  UPSTREAM_FAILED: {
    code: 5004,
    description: 'The backend server failed an idempotent call on every attempt.',
    httpStatus: 502,
    run: 'may_have_run',
  },
  ATTEMPT_SUPERSEDED: {
    code: 5005,
    description: 'A newer attempt of the same request has taken over this stream.',
    httpStatus: 409,
    run: 'partial',
  },
  ANSWER_NOT_KEPT: {
    code: 5006,
    description: 'The call ran once and was answered; the answer was too large to be kept.',
    httpStatus: 410,
    run: 'complete',
  },
  INTERNAL: {
    code: 5999,
    description: 'An internal invariant failed; see the log for its number.',
    httpStatus: 500,
    run: 'may_have_run',
  },
} as const satisfies Record<string, ResultCodeRow>;

/** Name of a result code. */
export type ResultCodeName = keyof typeof RESULT_CODES;

/** A refusal or error response, as sent to callers and between daemons. */
export interface Refusal {
  /** Name of the result code. */
  readonly code: ResultCodeName;
  /** Human-readable explanation. Must not contain secrets. */
  readonly detail: string;
  readonly kind: 'refusal';
  /** Delay before a retry; absent if a retry would not help. */
  readonly retryAfterMs?: number;
}

/**
 * Builds a refusal.
 *
 * @param code - name of the result code
 * @param detail - human-readable explanation without secrets
 * @param retryAfterMs - delay before a retry; omitted if a retry would not help
 * @returns the refusal
 */
export function refusal(code: ResultCodeName, detail: string, retryAfterMs?: number): Refusal {
  if (retryAfterMs === undefined) {
    return { code, detail, kind: 'refusal' };
  }
  return { code, detail, kind: 'refusal', retryAfterMs };
}

/**
 * Looks up the name of a result code by its number.
 *
 * @param code - the number
 * @returns the name, or undefined if no code has the number
 */
export function findResultCodeName(code: number): ResultCodeName | undefined {
  const names = Object.keys(RESULT_CODES) as ResultCodeName[];
  return names.find((name) => RESULT_CODES[name].code === code);
}
