import { readFileSync, readdirSync } from 'node:fs';
import { RESULT_CODES } from '@laburnumgap/kernel';
import test from 'ava';
import type { ZodType } from 'zod';
import { z } from 'zod';
import { ROOT } from '../helpers/CtlHarness.js';

interface SchemaNode {
  readonly anyOf?: readonly SchemaNode[];
  readonly default?: unknown;
  readonly items?: SchemaNode;
  readonly oneOf?: readonly SchemaNode[];
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly required?: readonly string[];
}

interface SourceFile {
  readonly packageName: string;
  readonly path: string;
  readonly text: string;
}

const SCHEMA_EXPORT = /export const ((?:\w+Settings|contract|plannedStop)Schema)\b/g;

const read = (path: string): string => readFileSync(`${ROOT}${path}`, 'utf8');

const listPages = (folder: string): string[] =>
  readdirSync(`${ROOT}${folder}`)
    .filter((name) => name.endsWith('.md'))
    .map((name) => `${folder}/${name}`);

const readSources = (): SourceFile[] =>
  readdirSync(`${ROOT}packages`).flatMap((packageName) =>
    readdirSync(`${ROOT}packages/${packageName}/src`, { recursive: true, encoding: 'utf8' })
      .filter((path) => path.endsWith('.ts') && !/__tests__|generated/.test(path))
      .map((path) => ({ packageName, path, text: read(`packages/${packageName}/src/${path}`) })),
  );

/**
 * Collects the keys of a schema that hold a plain value, with the expected text in the column
 * `default`.
 */
const collectLeafKeys = (node: SchemaNode, path = ''): [key: string, value: string][] => {
  if (node.items) {
    return collectLeafKeys(node.items, `${path}[]`);
  }
  const ownKeys = Object.entries(node.properties ?? {}).flatMap(([name, child]) => {
    const key = path === '' ? name : `${path}.${name}`;
    const nestedKeys = collectLeafKeys(child, key);
    if (nestedKeys.length > 0) {
      return nestedKeys;
    }
    const isRequired = node.required?.includes(name) ?? false;
    const withoutDefault = isRequired ? 'required' : 'optional';
    const value =
      child.default === undefined ? withoutDefault : `\`${JSON.stringify(child.default)}\``;
    return [[key, value] as [string, string]];
  });
  return [
    ...ownKeys,
    ...[...(node.anyOf ?? []), ...(node.oneOf ?? [])].flatMap((variant) =>
      collectLeafKeys(variant, path),
    ),
  ];
};

test('every settings, contract and stop key has its row in docs/CONFIGURATION.md', async (t) => {
  const rows = read('docs/CONFIGURATION.md')
    .split('\n')
    .map((line) => line.split('|').map((cell) => cell.trim()));
  const checked: string[] = [];
  const missing: string[] = [];
  for (const { packageName, path, text } of readSources()) {
    for (const [, name = ''] of text.matchAll(SCHEMA_EXPORT)) {
      const file = `${ROOT}packages/${packageName}/dist/${path.replace(/\.ts$/, '.js')}`;
      const module = (await import(file)) as Record<string, ZodType>;
      const schema = module[name] ?? z.never();
      const json = z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }) as SchemaNode;
      // Settings schemas without the key `platform` are parts of others, which are checked whole.
      if (json.properties?.platform || !name.endsWith('SettingsSchema')) {
        checked.push(name);
        const undocumented = collectLeafKeys(json).filter(
          ([key, value]) => !rows.some((cells) => cells[1] === `\`${key}\`` && cells[3] === value),
        );
        missing.push(...undocumented.map(([key, value]) => `${name}: ${key}, default ${value}`));
      }
    }
  }
  t.deepEqual(missing, []);
  t.true(checked.length >= 6, checked.join(' '));
});

test('every result code has its row in docs/RESULT-CODES.md', (t) => {
  const page = read('docs/RESULT-CODES.md').replace(/\s*\|\s*/g, '|');
  const missing = Object.entries(RESULT_CODES).filter(
    ([name, { code, description, httpStatus, run }]) =>
      !page.includes(`|${code}|\`${name}\`|${httpStatus}|\`${run}\`|${description}|`),
  );
  t.deepEqual(
    missing.map(([name]) => name),
    [],
  );
});

test('every invariant has its row in docs/RESULT-CODES.md', (t) => {
  const page = read('docs/RESULT-CODES.md').replace(/\s*\|\s*/g, '|');
  const used = readSources().flatMap(({ packageName, path, text }) => {
    const named = [...text.matchAll(/INVARIANT\w*(?:: \w+)? = (\d+)/g)];
    const inline = [...text.matchAll(/invariant\(\s*[^;]*?,\s*(\d{3,4}),/g)];
    const commented = [...text.matchAll(/Invariant (\d{3,4})\b/g)];
    const all = [...named, ...inline, ...commented].map((match) => match[1] ?? '');
    return all.map((number) => ({ file: `packages/${packageName}/src/${path}`, number }));
  });
  const missing = used.filter(({ number }) => !page.includes(`|${number}|`));
  t.deepEqual(missing, []);
  t.true(used.length > 0);
});

test('every metric has its row in docs/operations/METRICS.md', (t) => {
  const page = read('docs/operations/METRICS.md');
  const names = readSources().flatMap(({ text }) =>
    [...text.matchAll(/metrics\s*\.(?:gauge|increment|observe)\(\s*'([^']+)'/g)].map(
      (match) => match[1] ?? '',
    ),
  );
  t.deepEqual(
    [...new Set(names)].filter((name) => !page.includes(`\`${name}\``)),
    [],
  );
  t.true(names.length > 5);
});

test('every page that a page links to exists', (t) => {
  const all = [
    'CONTRIBUTING.md',
    'README.md',
    'examples/README.md',
    ...listPages('docs'),
    ...listPages('docs/operations'),
  ];
  t.true(all.length > 15);
  for (const page of all) {
    const folder = page.slice(0, page.lastIndexOf('/') + 1);
    for (const [, target = ''] of read(page).matchAll(/\]\(([^)#]+\.md)(?:#[^)]*)?\)/g)) {
      t.notThrows(() => read(`${folder}${target}`), `${page} links to ${target}`);
    }
  }
});
