import { execFile } from 'node:child_process';
import { readFile } from 'node:fs/promises';
import { fileURLToPath } from 'node:url';
import { promisify } from 'node:util';
import { createHttpVmList } from '@laburnumgap/key-value';
import { daemonSettingsSchema, parseYamlDocument } from '@laburnumgap/settings';
import { startVmsStandin, vmsSchema } from '@laburnumgap/standins';
import test from 'ava';

const ROOT = fileURLToPath(new URL('../../../../../', import.meta.url));
const ROLES = ['ledger', 'router', 'scheduler'] as const;
const run = promisify(execFile);

const read = (path: string): Promise<string> => readFile(`${ROOT}${path}`, 'utf8');
const settingsFileOf = (role: string): string => `examples/local/settings/entry-1-${role}.yaml`;
const addressesIn = (text: string): string[] => text.match(/127\.0\.0\.1:\d+/g) ?? [];

for (const role of ROLES) {
  test(`the program of the ${role} takes the local settings`, async (t) => {
    const { stdout } = await run(
      process.execPath,
      [
        `packages/${role}/bin/laburnum-${role}.js`,
        'check-settings',
        '--settings',
        settingsFileOf(role),
      ],
      { cwd: ROOT },
    );
    t.is(stdout, 'settings are valid\n');
  });
}

test('laburnumctl and the stand-ins have programs', async (t) => {
  for (const program of ['ctl/bin/laburnumctl.js', 'standins/bin/laburnum-standin.js']) {
    const { stdout } = await run(process.execPath, [`${ROOT}packages/${program}`, '--version']);
    t.regex(stdout, /0\.1\.0/, program);
  }
});

test('daemons read the local list of VMs and find their pool in it', async (t) => {
  const file = 'examples/local/vms.yaml';
  const parsed = parseYamlDocument({ file, schema: vmsSchema, text: await read(file) });
  const initial = parsed.ok ? parsed.value : undefined;
  const standin = await startVmsStandin({ initial, listen: '127.0.0.1:0' });
  t.teardown(() => standin.close());
  const listed = await createHttpVmList({ url: `http://${standin.address}` }).list();
  const servers = listed.ok ? listed.value : t.fail(listed.error.detail);
  const pools = new Set<string>();
  for (const { backend } of servers) {
    pools.add(backend.kind === 'model' ? backend.pool : backend.service);
  }
  t.deepEqual([...pools].sort(), ['stock', 'stock-count']);
});

test('one entry VM, and each address on the page is one of the files', async (t) => {
  const files = ['examples/local/laburnumctl.yaml', 'examples/local/vms.yaml'];
  const known = new Set(['127.0.0.1:7302']);
  for (const file of [...files, ...ROLES.map(settingsFileOf)]) {
    for (const address of addressesIn(await read(file))) {
      known.add(address);
    }
  }
  const page = addressesIn(await read('docs/FIRST-STEPS.md'));
  t.deepEqual(
    page.filter((address) => !known.has(address)),
    [],
  );
  t.true(page.length > 10);
  const secrets = new Set<string>();
  for (const file of ROLES.map(settingsFileOf)) {
    const text = await read(file);
    const parsed = parseYamlDocument({ file, schema: daemonSettingsSchema, text });
    t.true(parsed.ok && parsed.value.member.entryVm === 'entry-1', file);
    secrets.add(/secret: (\S+)/.exec(text)?.[1] ?? '');
  }
  secrets.add(/secret: (\S+)/.exec(await read('examples/local/laburnumctl.yaml'))?.[1] ?? '');
  t.is(secrets.size, 1);
});
