import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { createInterface } from 'node:readline';
import { text } from 'node:stream/consumers';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { ROOT } from '../helpers/CtlHarness.js';

interface ProcessRun {
  readonly errors: string;
  readonly exitCode: number;
  readonly output: string;
}

const startScript = (script: string, args: readonly string[]): ChildProcess =>
  spawn(process.execPath, [`${ROOT}${script}`, ...args], { cwd: ROOT, stdio: 'pipe' });

/** Starts the stand-in of the platform service and returns its URL. */
const startPlatform = async (t: ExecutionContext): Promise<string> => {
  const child = startScript('packages/standins/dist/main.js', [
    'platform',
    '--listen',
    '127.0.0.1:0',
  ]);
  t.teardown(() => child.kill('SIGKILL'));
  for await (const line of createInterface({ input: child.stdout ?? process.stdin })) {
    const address = /event=listening .*http=(\S+)/.exec(line)?.[1];
    if (address !== undefined) {
      return `http://${address}`;
    }
  }
  throw new Error('the stand-in exited before it was listening');
};

const runCtlProcess = async (settings: string, line: string): Promise<ProcessRun> => {
  const args = [...line.split(' '), '--settings', settings];
  const child = startScript('packages/ctl/dist/main.js', args);
  const [output, errors, [exitCode]] = await Promise.all([
    text(child.stdout ?? process.stdin),
    text(child.stderr ?? process.stdin),
    once(child, 'exit') as Promise<[number]>,
  ]);
  return { errors, exitCode, output };
};

test('the program works with the store over HTTP, even when a response is lost', async (t) => {
  const storeUrl = await startPlatform(t);
  const directory = await mkdtemp(`${tmpdir()}/laburnumctl-`);
  t.teardown(() => rm(directory, { force: true, recursive: true }));
  const settings = `${directory}/settings.yaml`;
  const secret = 'a-secret-of-the-tests';
  const content = {
    operator: 'test',
    peers: { secret },
    platform: { deadlineMs: 60_000, storeUrl },
  };
  await writeFile(settings, JSON.stringify(content));

  const applyFlags = 'contract apply examples/hoa-sen/contracts/flags.yaml';
  const first = await runCtlProcess(settings, applyFlags);
  t.is(first.exitCode, 0, first.errors);
  t.regex(first.output, /^contract of team flags accepted at revision \d+\n$/);
  t.is((await runCtlProcess(settings, `${applyFlags} --expect-revision 1`)).exitCode, 3);

  const body = JSON.stringify({ count: 1, kind: 'loseAnswer', path: '/v3/kv/txn' });
  const faultResponse = await fetch(`${storeUrl}/control/fault`, { body, method: 'POST' });
  t.is(faultResponse.status, 200);
  const second = await runCtlProcess(
    settings,
    'contract apply examples/hoa-sen/contracts/reports.yaml',
  );
  t.is(second.exitCode, 0, second.errors);
  const history = await runCtlProcess(settings, 'contract history reports --json');
  t.is((JSON.parse(history.output) as unknown[]).length, 1);
  t.is((await runCtlProcess(settings, 'contract list')).output.split('\n').length, 4);
});
