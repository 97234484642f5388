/** Thrown when the program itself is wrong; never for bad input or failures of the outside. */
export class InvariantError extends Error {
  readonly invariantCode: number;

  constructor(invariantCode: number, message: string) {
    super(`invariant ${invariantCode}: ${message}`);
    this.name = 'InvariantError';
    this.invariantCode = invariantCode;
  }
}

/**
 * Asserts a condition that holds unless the program is wrong.
 *
 * @param condition - the condition
 * @param invariantCode - the number under which the invariant is listed in docs/RESULT-CODES.md
 * @param message - what was expected
 * @throws InvariantError when the condition does not hold
 */
export function invariant(
  condition: unknown,
  invariantCode: number,
  message: string,
): asserts condition {
  if (condition === false || condition === undefined || condition === null) {
    throw new InvariantError(invariantCode, message);
  }
}
