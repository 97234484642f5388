import { readFileSync, readdirSync } from 'node:fs';
import type { InspectHandlers, RpcClients } from '@laburnumgap/rpc';
import { createRpcClients, startRpcServer } from '@laburnumgap/rpc';
import { createMemoryStore } from '@laburnumgap/key-value';
import test from 'ava';
import { CtlBench, ROOT } from '../helpers/CtlBench.js';

interface DocumentedCommand {
  readonly exitCode: number;
  readonly line: string;
}

/** A busy machine decides no verdict. */
const PATIENCE_MS = 60_000;
const SECRET = 'a-secret-of-the-tests';
const PAGES = [
  'OPERATIONS.md',
  ...readdirSync(`${ROOT}docs/operations`).map((name) => `operations/${name}`),
];

/** Lines of the shell blocks of a page; `# exits with N` names an expected exit code. */
const commandsOf = (page: string): DocumentedCommand[] => {
  const text = readFileSync(`${ROOT}docs/${page}`, 'utf8');
  const blocks = [...text.matchAll(/```sh\n([\s\S]*?)```/g)].map((match) => match[1] ?? '');
  return blocks
    .flatMap((block) => block.split('\n'))
    .filter((line) => line.startsWith('laburnumctl '))
    .map((line) => {
      const [command = '', exitCode] = line.split(/\s+# exits with (\d)/);
      return { exitCode: Number(exitCode ?? 0), line: command.replace(/^laburnumctl /, '') };
    });
};

const INSPECT: InspectHandlers = {
  Explain: ({ request }, callback) => {
    const decision = { atEpochMs: 1, decision: 'route', line: 'engine=model-1' };
    callback(null, { decisions: request.requestId === 'r-unknown' ? [] : [decision] });
  },
  GetStatus: (_call, callback) => {
    callback(null, { configRevision: Number.MAX_SAFE_INTEGER, memberId: 'entry-1-router' });
  },
};

for (const page of PAGES) {
  test(`the commands of ${page} do what the page says`, async (t) => {
    const server = await startRpcServer({
      address: '127.0.0.1:0',
      handlers: { Inspect: INSPECT },
      secret: SECRET,
    });
    t.teardown(() => {
      server.close();
    });
    const clients = createRpcClients(SECRET);
    const patient: RpcClients = {
      ...clients,
      unary: (call, request) => clients.unary(call, request, PATIENCE_MS),
    };
    const bench = new CtlBench(createMemoryStore(), patient);
    await bench.register({ rpcAddress: server.address });
    // The first revision of a contract on the pages is 2, as in a store without any change.
    const shift = page.endsWith('CONTRACTS.md') ? 1 : 0;
    for (const { exitCode, line } of commandsOf(page)) {
      const shifted = line.replace(
        /--expect-revision (\d+)/,
        (_all, revision: string) => `--expect-revision ${Number(revision) + shift}`,
      );
      const run = await bench.run(shifted);
      t.is(run.exitCode, exitCode, `${line}\n${run.errors}`);
    }
    t.pass();
  });
}

test('the pages show every command', (t) => {
  const lines = PAGES.flatMap(commandsOf).map(({ line }) => `${line} `);
  const names = [
    'check-settings',
    'contract apply',
    'contract diff',
    'contract get',
    'contract history',
    'contract list',
    'contract remove',
    'explain',
    'hash-key',
    'status',
    'stop cancel',
    'stop list',
    'stop plan',
  ];
  const missing = names.filter((name) => !lines.some((line) => line.startsWith(`${name} `)));
  t.deepEqual(missing, []);
});
