import type { Result } from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import type { DocumentProblem } from '@laburnumgap/settings';
import { parseYamlDocument } from '@laburnumgap/settings';
import { z } from 'zod';
import { CONTRACT_PREFIX, STOP_PREFIX } from './ContractKeys.js';
import { parseContract, parsePlannedStop } from './ContractParser.js';
import type { Contract, PlannedStop } from './ContractSchema.js';

/** Schema of the document that replaces a deleted one. */
export const tombstoneSchema = z.strictObject({ tombstone: z.literal(true) });

/** Text of a tombstone. */
export const TOMBSTONE_TEXT = 'tombstone: true\n';

/** A validated configuration document. */
export type ConfigDocument =
  | { readonly contract: Contract; readonly kind: 'contract' }
  | { readonly kind: 'stop'; readonly stop: PlannedStop }
  | { readonly kind: 'tombstone' };

/**
 * Parses a configuration document and validates that it matches the kind and the id in its key.
 *
 * @param key - key in the platform's store
 * @param value - the text stored there
 * @returns the document, or every problem found
 */
export function parseConfigDocument(
  key: string,
  value: string,
): Result<ConfigDocument, readonly DocumentProblem[]> {
  const text = { file: key, text: value };
  const tombstone = value.length <= TOMBSTONE_TEXT.length * 2 ? parseTombstone(text) : undefined;
  if (tombstone) {
    return success(tombstone);
  }
  if (key.startsWith(CONTRACT_PREFIX)) {
    const contract = parseContract(text);
    if (!contract.ok) {
      return contract;
    }
    const team = key.slice(CONTRACT_PREFIX.length);
    return contract.value.team === team
      ? success({ contract: contract.value, kind: 'contract' })
      : failure([createProblem(key, 'team', `expected ${team}, as the key says`)]);
  }
  if (key.startsWith(STOP_PREFIX)) {
    const stop = parsePlannedStop(text);
    if (!stop.ok) {
      return stop;
    }
    const id = key.slice(STOP_PREFIX.length);
    return stop.value.id === id
      ? success({ kind: 'stop', stop: stop.value })
      : failure([createProblem(key, 'id', `expected ${id}, as the key says`)]);
  }
  return failure([createProblem(key, '', 'expected a contract or a planned stop')]);
}

function parseTombstone(text: { file: string; text: string }): ConfigDocument | undefined {
  const parsed = parseYamlDocument({ ...text, schema: tombstoneSchema });
  return parsed.ok ? { kind: 'tombstone' } : undefined;
}

function createProblem(file: string, path: string, message: string): DocumentProblem {
  return { file, line: 0, message, path };
}
