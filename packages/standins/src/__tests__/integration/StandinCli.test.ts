import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import type { ExecutionContext } from 'ava';
import test from 'ava';

const MAIN = fileURLToPath(new URL('../../main.js', import.meta.url));
const LISTENING = /^time=\S+ level=info event=listening http=(127\.0\.0\.1:\d+)$/;

function run(t: ExecutionContext, args: readonly string[]) {
  const child = spawn(process.execPath, [MAIN, ...args], { stdio: ['ignore', 'pipe', 'pipe'] });
  t.teardown(() => child.kill('SIGKILL'));
  return child;
}

async function startedUrl(child: ReturnType<typeof run>): Promise<string> {
  const [line] = (await once(createInterface(child.stdout), 'line')) as [string];
  const address = LISTENING.exec(line)?.[1];
  if (address === undefined) {
    throw new Error(`unexpected line: ${line}`);
  }
  return `http://${address}`;
}

const FIRST_CALLS: Readonly<Record<string, string>> = {
  engine: '/v1/load',
  platform: '/control/counts',
  service: '/control/effects',
  vms: '/v1/vms',
  weights: '/control/counts',
};

for (const [name, firstCall] of Object.entries(FIRST_CALLS)) {
  test(`${name} tells its address, answers and ends with 0 on SIGTERM`, async (t) => {
    const child = run(t, [name, '--listen', '127.0.0.1:0']);
    const url = await startedUrl(child);
    t.is((await fetch(`${url}${firstCall}`)).status, 200);
    child.kill('SIGTERM');
    t.deepEqual(await once(child, 'exit'), [0, null]);
  });
}

test('a kill ends the process at once', async (t) => {
  const child = run(t, ['service']);
  const url = await startedUrl(child);
  const exited = once(child, 'exit');
  await fetch(`${url}/control/fault`, { body: '{"kind":"kill"}', method: 'POST' });
  t.deepEqual(await exited, [137, null]);
});

test('the list of VMs comes from a YAML file', async (t) => {
  const directory = await mkdtemp(path.join(tmpdir(), 'standin-'));
  t.teardown(() => rm(directory, { recursive: true }));
  const file = path.join(directory, 'vms.yaml');
  const vm = 'address: http://127.0.0.1:1, failureDomain: d1, region: r1, serverId: s1';
  await writeFile(file, `vms:\n  - {${vm}, backend: {kind: service, service: stock}}\n`);
  const url = await startedUrl(run(t, ['vms', '--file', file]));
  const { vms } = (await (await fetch(`${url}/v1/vms`)).json()) as { readonly vms: unknown[] };
  t.like(vms[0], { backend: { kind: 'service', service: 'stock' }, state: 'live' });
});

const WRONG_ARGUMENTS: Readonly<Record<string, readonly string[]>> = {
  'a file that is missing': ['vms', '--file', '/nowhere.yaml'],
  'a number that is none': ['engine', '--kv-tokens', 'many'],
};

for (const [name, args] of Object.entries(WRONG_ARGUMENTS)) {
  test(`exits with 2 for ${name}`, async (t) => {
    const child = run(t, args);
    t.deepEqual(await once(child, 'exit'), [2, null]);
  });
}
