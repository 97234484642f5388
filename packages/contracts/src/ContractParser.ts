import type { Result } from '@laburnumgap/kernel';
import { failure } from '@laburnumgap/kernel';
import type { DocumentProblem } from '@laburnumgap/settings';
import { parseYamlDocument } from '@laburnumgap/settings';
import type { Contract, PlannedStop } from './ContractSchema.js';
import { contractSchema, plannedStopSchema } from './ContractSchema.js';

/** Text of a document with its name for error messages. */
export interface DocumentText {
  readonly file: string;
  readonly text: string;
}

/** Maximum size of one document; the platform's store accepts values up to 1 MB. */
export const MAX_DOCUMENT_BYTES = 256 * 1024;

/**
 * Parses and validates a contract.
 *
 * @param document - YAML or JSON text with its name
 * @returns the contract, or every problem with file, line and what is expected
 */
export function parseContract(
  document: DocumentText,
): Result<Contract, readonly DocumentProblem[]> {
  const tooLong = checkLength(document);
  if (tooLong) {
    return failure([tooLong]);
  }
  const parsed = parseYamlDocument({ ...document, schema: contractSchema });
  if (!parsed.ok) {
    return parsed;
  }
  const problems = findDuplicateNames(document.file, parsed.value);
  return problems.length > 0 ? failure(problems) : parsed;
}

/**
 * Parses and validates a planned stop.
 *
 * @param document - YAML or JSON text with its name
 * @returns the stop, or every problem with file, line and what is expected
 */
export function parsePlannedStop(
  document: DocumentText,
): Result<PlannedStop, readonly DocumentProblem[]> {
  const tooLong = checkLength(document);
  if (tooLong) {
    return failure([tooLong]);
  }
  const parsed = parseYamlDocument({ ...document, schema: plannedStopSchema });
  if (!parsed.ok || parsed.value.deadlineEpochMs > parsed.value.startEpochMs) {
    return parsed;
  }
  const message = 'expected a time after startEpochMs';
  return failure([{ file: document.file, line: 1, message, path: 'deadlineEpochMs' }]);
}

function checkLength(document: DocumentText): DocumentProblem | undefined {
  if (Buffer.byteLength(document.text) <= MAX_DOCUMENT_BYTES) {
    return undefined;
  }
  const message = `expected at most ${MAX_DOCUMENT_BYTES} bytes`;
  return { file: document.file, line: 0, message, path: '' };
}

function findDuplicateNames(file: string, contract: Contract): DocumentProblem[] {
  return [
    ...findDuplicates(
      'keys',
      'id',
      contract.keys.map((key) => key.id),
    ),
    ...findDuplicates(
      'keys',
      'sha256',
      contract.keys.map((key) => key.sha256),
    ),
    ...findDuplicates(
      'models',
      'name',
      contract.models.map((model) => model.name),
    ),
    ...findDuplicates(
      'services',
      'name',
      contract.services.map((service) => service.name),
    ),
  ].map((path) => ({ file, line: 0, message: 'expected a value that is used once', path }));
}

function findDuplicates(list: string, field: string, values: readonly string[]): string[] {
  return values.flatMap((value, position) =>
    values.indexOf(value) < position ? [`${list}.${position}.${field}`] : [],
  );
}
