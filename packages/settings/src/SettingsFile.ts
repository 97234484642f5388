import { readFile } from 'node:fs/promises';
import type { Result } from '@laburnumgap/kernel';
import { failure } from '@laburnumgap/kernel';
import type { ZodType } from 'zod';
import type { DocumentProblem } from './SettingsDocument.js';
import { parseYamlDocument } from './SettingsDocument.js';

/**
 * Reads and validates a settings file.
 *
 * @param file - path of the YAML file
 * @param schema - schema of the settings
 * @returns the validated settings, or every problem found
 */
export async function loadSettingsFile<T>(
  file: string,
  schema: ZodType<T>,
): Promise<Result<T, readonly DocumentProblem[]>> {
  let text: string;
  try {
    text = await readFile(file, 'utf8');
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return failure([{ file, line: 0, message, path: '' }]);
  }
  return parseYamlDocument({ file, schema, text });
}
