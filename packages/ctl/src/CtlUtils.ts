import type { Result, StoreError } from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import type { CtlEnvironment } from './CtlContext.js';
import type { CtlError } from './CtlError.js';

/**
 * Reads a file given on the command line.
 *
 * @param environment - provides file access
 * @param file - path of the file
 * @returns the text, or why it could not be read
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
 * Converts an error of the store to an error of the tool.
 *
 * @param error - error of a read
 * @returns the failure
 */
export function storeUnavailable(error: StoreError): Result<never, CtlError> {
  return failure({ detail: 'detail' in error ? error.detail : error.kind, kind: 'unavailable' });
}

/**
 * Converts a command-line value to text.
 *
 * @param value - a string or a number
 * @returns the text
 */
export function toText(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
