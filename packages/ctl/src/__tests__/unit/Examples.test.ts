import { readFileSync, readdirSync } from 'node:fs';
import type { Contract } from '@laburnumgap/contracts';
import { formatDocumentProblem, hashKey, parseContract } from '@laburnumgap/contracts';
import { daemonSettingsSchema, parseYamlDocument } from '@laburnumgap/settings';
import test from 'ava';
import * as fc from 'fast-check';
import { stringify } from 'yaml';
import { ctlSettingsSchema } from '../../index.js';
import { CtlHarness, ROOT } from '../helpers/CtlHarness.js';

const FIRMS = ['harrow-pell', 'hoa-sen'];
const ROLES = ['ledger', 'router', 'scheduler'];

const read = (path: string): string => readFileSync(`${ROOT}examples/${path}`, 'utf8');
const listFiles = (folder: string): string[] => readdirSync(`${ROOT}examples/${folder}`).sort();

const readSettings = (firm: string): ReturnType<typeof daemonSettingsSchema.parse>[] =>
  listFiles(`${firm}/settings`).map((name) => {
    const file = `${firm}/settings/${name}`;
    const parsed = parseYamlDocument({ file, schema: daemonSettingsSchema, text: read(file) });
    if (!parsed.ok) {
      throw new Error(parsed.error.map(formatDocumentProblem).join('\n'));
    }
    return parsed.value;
  });

const readContracts = (firm: string): Contract[] =>
  listFiles(`${firm}/contracts`).map((name) => {
    const file = `${firm}/contracts/${name}`;
    const parsed = parseContract({ file, text: read(file) });
    if (!parsed.ok) {
      throw new Error(parsed.error.map(formatDocumentProblem).join('\n'));
    }
    return parsed.value;
  });

for (const firm of FIRMS) {
  test(`the settings of ${firm} are valid: 6 entry VMs over 3 failure domains`, (t) => {
    const all = readSettings(firm);
    const countDistinct = (values: string[]): number => new Set(values).size;
    t.is(all.length, 18);
    t.is(countDistinct(all.map(({ member }) => member.id)), 18);
    t.is(countDistinct(all.map(({ member }) => member.entryVm)), 6);
    t.is(countDistinct(all.map(({ member }) => member.failureDomain)), 3);
    t.is(countDistinct(all.flatMap(({ listen }) => [listen.http, listen.rpc])), 36);
    t.is(countDistinct(all.map(({ peers }) => peers.secret)), 1);
    t.deepEqual(
      listFiles(`${firm}/settings`).map((name) => name.replace('.yaml', '')),
      all.map(({ member }) => member.id),
    );
    const addresses = new Set(all.map(({ listen }) => listen.rpc));
    for (const { listen, member, peers } of all) {
      t.true(ROLES.some((role) => member.id.endsWith(role)));
      t.true(
        peers.seeds.every((seed) => addresses.has(seed) && seed !== listen.rpc),
        member.id,
      );
    }
    const file = `${firm}/laburnumctl.yaml`;
    const ctl = parseYamlDocument({ file, schema: ctlSettingsSchema, text: read(file) });
    t.true(ctl.ok);
    t.is<unknown, unknown>(ctl.ok && ctl.value.peers.secret, all[0]?.peers.secret);
  });

  test(`the contracts of ${firm} are valid, and their keys match the README`, (t) => {
    const contracts = readContracts(firm);
    t.is(contracts.length, 10);
    const servedModels = new Set(
      readSettings(firm).flatMap(({ enginePools }) => enginePools.flatMap(({ models }) => models)),
    );
    const readme = read('README.md').replace(/ +\| +/g, '|');
    for (const { customer, keys, models, team } of contracts) {
      const key = new RegExp(`\\| *${firm}\\|${team}\\|\`([^\`]+)\``).exec(readme)?.[1] ?? '';
      t.is(customer, firm);
      t.is<unknown, unknown>(hashKey(key), keys[0]?.sha256, team);
      t.true(
        models.every(({ name }) => servedModels.has(name)),
        team,
      );
    }
    t.true(
      contracts.some(({ services }) =>
        services.some(({ calls }) => calls.some(({ idempotent }) => !idempotent)),
      ),
    );
  });

  test(`the contracts of ${firm} can all be in force together`, async (t) => {
    const harness = new CtlHarness();
    for (const name of listFiles(`${firm}/contracts`)) {
      const run = await harness.run(`contract apply examples/${firm}/contracts/${name}`);
      t.is(run.exitCode, 0, run.errors);
    }
    const listed = await harness.run('contract list --json');
    t.is((JSON.parse(listed.output) as unknown[]).length, 10);
  });
}

test('the settings parser never throws and accepts no unknown key', (t) => {
  const valid = readSettings('hoa-sen')[0];
  const paths = [
    '',
    'enginePools.0',
    'listen',
    'log',
    'member',
    'metrics',
    'peers',
    'platform',
    'shutdown',
  ];
  const parse = (text: string): string => {
    const parsed = parseYamlDocument({ file: 's.yaml', schema: daemonSettingsSchema, text });
    return parsed.ok ? 'valid' : parsed.error.map(formatDocumentProblem).join('\n');
  };
  t.is(parse(stringify(valid)), 'valid');
  fc.assert(
    fc.property(
      fc.oneof(fc.string(), fc.string({ unit: 'binary' }), fc.json()),
      (text) => parse(text) !== 'valid',
    ),
    { numRuns: 500 },
  );
  fc.assert(
    fc.property(
      fc.constantFrom(...paths),
      fc.stringMatching(/^[a-z]{6,12}$/),
      fc.jsonValue(),
      (path, key, value) => {
        const copy = structuredClone(valid) as unknown as Record<string, unknown>;
        const target =
          path === ''
            ? copy
            : path
                .split('.')
                .reduce<unknown>((inner, name) => (inner as Record<string, unknown>)[name], copy);
        (target as Record<string, unknown>)[`x${key}`] = value;
        return parse(stringify(copy)).includes(`x${key}: unknown key`);
      },
    ),
  );
});
