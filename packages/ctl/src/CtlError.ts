import type { ConfigWriteError } from '@laburnumgap/config-sync';
import type { DocumentProblem } from '@laburnumgap/contracts';
import { formatDocumentProblem } from '@laburnumgap/contracts';
import { EXIT_CONFLICT, EXIT_FAILED, EXIT_INVALID } from './CtlConstants.js';

/** Why a command failed. */
export type CtlError =
  | ConfigWriteError
  /** A file or document is invalid. */
  | { readonly kind: 'invalid'; readonly problems: readonly DocumentProblem[] }
  | { readonly kind: 'notFound'; readonly what: string }
  /** The arguments are invalid. */
  | { readonly detail: string; readonly kind: 'usage' };

/**
 * Exit code of a failed command.
 *
 * @param error - why it failed
 * @returns the exit code
 */
export function exitCodeOf(error: CtlError): number {
  switch (error.kind) {
    case 'conflict':
      return EXIT_CONFLICT;
    case 'invalid':
    case 'usage':
      return EXIT_INVALID;
    case 'notFound':
    case 'outcomeUnknown':
    case 'unavailable':
      return EXIT_FAILED;
  }
}

/**
 * Formats the error of a failed command.
 *
 * @param error - why it failed
 * @returns lines of text
 */
export function formatError(error: CtlError): readonly string[] {
  switch (error.kind) {
    case 'conflict': {
      const by = error.operator === undefined ? '' : `, changed by ${error.operator}`;
      return [
        `conflict: expected revision ${error.expectedRevision}, ` +
          `but revision ${error.actualRevision} is in force${by}; nothing was changed`,
      ];
    }
    case 'invalid':
      return error.problems.map(formatDocumentProblem);
    case 'notFound':
      return [`not found: ${error.what}`];
    case 'outcomeUnknown':
      return [`outcome unknown: ${error.detail}; check with "get" or "list" before you retry`];
    case 'unavailable':
      return [`the platform's service does not answer: ${error.detail}; nothing was changed`];
    case 'usage':
      return [error.detail];
  }
}
