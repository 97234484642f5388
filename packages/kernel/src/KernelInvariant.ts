/** Thrown for a bug in the program, never for invalid input or failures of other processes. */
export class InvariantError extends Error {
  readonly invariantCode: number;

  constructor(invariantCode: number, message: string) {
    super(`invariant ${invariantCode}: ${message}`);
    this.name = 'InvariantError';
    this.invariantCode = invariantCode;
  }
}

/**
 * Asserts a condition that is false only if the program has a bug.
 *
 * @param condition - the condition
 * @param invariantCode - number of the invariant in docs/RESULT-CODES.md
 * @param message - description of the violation
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
