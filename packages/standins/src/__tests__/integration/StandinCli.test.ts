import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import path from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import type { ExecutionContext } from 'ava';
import test from 'ava';

const MAIN_PATH = fileURLToPath(new URL('../../main.js', import.meta.url));
const LISTENING_LOG_LINE = /^time=\S+ level=info event=listening http=(127\.0\.0\.1:\d+)$/;

function spawnStandin(t: ExecutionContext, args: readonly string[]) {
  const child = spawn(process.execPath, [MAIN_PATH, ...args], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  t.teardown(() => child.kill('SIGKILL'));
  return child;
}

async function waitForUrl(child: ReturnType<typeof spawnStandin>): Promise<string> {
  const [line] = (await once(createInterface(child.stdout), 'line')) as [string];
  const address = LISTENING_LOG_LINE.exec(line)?.[1];
  if (address === undefined) {
    throw new Error(`unexpected line: ${line}`);
  }
  return `http://${address}`;
}

const PROBE_PATHS: Readonly<Record<string, string>> = {
  engine: '/v1/load',
  platform: '/control/counts',
  service: '/control/effects',
  vms: '/v1/vms',
  weights: '/control/counts',
};

for (const [name, probePath] of Object.entries(PROBE_PATHS)) {
  test(`${name} logs its address, answers requests and exits with 0 on SIGTERM`, async (t) => {
    const child = spawnStandin(t, [name, '--listen', '127.0.0.1:0']);
    const url = await waitForUrl(child);
    t.is((await fetch(`${url}${probePath}`)).status, 200);
    child.kill('SIGTERM');
    t.deepEqual(await once(child, 'exit'), [0, null]);
  });
}

test('the kill fault ends the process at once', async (t) => {
  const child = spawnStandin(t, ['service']);
  const url = await waitForUrl(child);
  const exited = once(child, 'exit');
  await fetch(`${url}/control/fault`, { body: '{"kind":"kill"}', method: 'POST' });
  t.deepEqual(await exited, [137, null]);
});

test('the VM list is loaded from a YAML file', async (t) => {
  const directory = await mkdtemp(path.join(tmpdir(), 'standin-'));
  t.teardown(() => rm(directory, { recursive: true }));
  const file = path.join(directory, 'vms.yaml');
  const vm = 'address: http://127.0.0.1:1, failureDomain: d1, region: r1, serverId: s1';
  await writeFile(file, `vms:\n  - {${vm}, backend: {kind: service, service: stock}}\n`);
  const url = await waitForUrl(spawnStandin(t, ['vms', '--file', file]));
  const { vms } = (await (await fetch(`${url}/v1/vms`)).json()) as { readonly vms: unknown[] };
  t.like(vms[0], { backend: { kind: 'service', service: 'stock' }, state: 'live' });
});

const INVALID_ARGUMENTS: Readonly<Record<string, readonly string[]>> = {
  'a missing file': ['vms', '--file', '/nowhere.yaml'],
  'an option value that is not a number': ['engine', '--kv-tokens', 'many'],
};

for (const [name, args] of Object.entries(INVALID_ARGUMENTS)) {
  test(`exits with 2 for ${name}`, async (t) => {
    const child = spawnStandin(t, args);
    t.deepEqual(await once(child, 'exit'), [2, null]);
  });
}
