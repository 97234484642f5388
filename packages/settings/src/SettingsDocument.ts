import type { Result } from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import type { Document } from 'yaml';
import { LineCounter, isNode, parseDocument } from 'yaml';
import type { ZodType } from 'zod';

/** A validation error in a document. */
export interface DocumentProblem {
  /** Name of the file or document. */
  readonly file: string;
  /** Line number, starting at 1; 0 if unknown. */
  readonly line: number;
  /** Expected form or value. */
  readonly message: string;
  /** Dotted path of the key. */
  readonly path: string;
}

/** Options of {@link parseYamlDocument}. */
export interface YamlDocumentOptions<T> {
  readonly file: string;
  readonly schema: ZodType<T>;
  readonly text: string;
}

/**
 * Parses a YAML document and validates it against a schema.
 *
 * @param options - text, its name for error messages, and the schema
 * @returns the validated value, or every problem with file, line and what is expected
 */
export function parseYamlDocument<T>(
  options: YamlDocumentOptions<T>,
): Result<T, readonly DocumentProblem[]> {
  const { file, schema, text } = options;
  const lineCounter = new LineCounter();
  const document = parseDocument(text, {
    lineCounter,
    maxAliasCount: 20,
    uniqueKeys: true,
  } as never);
  if (document.errors.length > 0) {
    return failure(
      document.errors.map((error) => ({
        file,
        line: lineCounter.linePos(error.pos[0]).line,
        message: error.message.split('\n')[0] ?? error.code,
        path: '',
      })),
    );
  }
  const plain = toPlainValue(document);
  if (!plain.ok) {
    return failure([{ file, line: 0, message: plain.error, path: '' }]);
  }
  const checked = schema.safeParse(plain.value);
  if (checked.success) {
    return success(checked.data);
  }
  return failure(
    checked.error.issues.flatMap((issue) => {
      const keys = issue.code === 'unrecognized_keys' ? issue.keys : [undefined];
      return keys.map((key) => {
        const path = key === undefined ? [...issue.path] : [...issue.path, key];
        return {
          file,
          line: findLine(document, path, lineCounter),
          message: key === undefined ? issue.message : 'unknown key',
          path: path.map(String).join('.'),
        };
      });
    }),
  );
}

/**
 * Formats a problem as a line of text.
 *
 * @param problem - the problem
 * @returns one line: file, line, key and what is expected
 */
export function formatDocumentProblem(problem: DocumentProblem): string {
  const location = problem.line > 0 ? `${problem.file}:${problem.line}` : problem.file;
  const key = problem.path === '' ? '' : `${problem.path}: `;
  return `${location}: ${key}${problem.message}`;
}

function toPlainValue(document: Document): Result<unknown, string> {
  try {
    return success(document.toJS({ maxAliasCount: 20 }) as unknown);
  } catch (error) {
    return failure(error instanceof Error ? error.message : String(error));
  }
}

/** Line of the key, or of its closest ancestor that exists in the document. */
function findLine(
  document: Document,
  path: readonly PropertyKey[],
  lineCounter: LineCounter,
): number {
  for (let depth = path.length; depth > 0; depth -= 1) {
    const node = document.getIn(path.slice(0, depth), true);
    if (isNode(node) && node.range) {
      return lineCounter.linePos(node.range[0]).line;
    }
  }
  return 1;
}
