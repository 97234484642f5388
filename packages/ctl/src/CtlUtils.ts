import type { Result, StoreError } from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import type { CtlEnvironment } from './CtlContext.js';
import type { CtlError } from './CtlError.js';

/**
 * Reads a file that an operator names.
 *
 * @param environment - where files are read
 * @param file - its path
 * @returns its text, or why it could not be read
 */
export async function readFileText(
  environment: CtlEnvironment,
  file: string,
): Promise<Result<string, CtlError>> {
  try {
    return success(await environment.readText(file));
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return failure({ kind: 'invalid', problems: [{ file, line: 0, message, path: '' }] });
  }
}

/**
 * Turns an error of the store into one of the tool.
 *
 * @param error - the error of a read
 * @returns the failure
 */
export function unavailable(error: StoreError): Result<never, CtlError> {
  return failure({ detail: 'detail' in error ? error.detail : error.kind, kind: 'unavailable' });
}

/**
 * Text of a value of the command line.
 *
 * @param value - a text or a number
 * @returns its text
 */
export function textOf(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
