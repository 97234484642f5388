/** Outcome of an operation that can fail, returned in place of a thrown error. */
export type Result<T, E> =
  { readonly error: E; readonly ok: false } | { readonly ok: true; readonly value: T };

/**
 * Wraps a value as a success.
 *
 * @param value - the value
 * @returns a successful result
 */
export function success<T>(value: T): Result<T, never> {
  return { ok: true, value };
}

/**
 * Wraps an error as a failure.
 *
 * @param error - the error
 * @returns a failed result
 */
export function failure<E>(error: E): Result<never, E> {
  return { error, ok: false };
}
