import { readFileSync, readdirSync } from 'node:fs';
import type { InspectHandlers, RpcClients } from '@laburnumgap/rpc';
import { createRpcClients, startRpcServer } from '@laburnumgap/rpc';
import { createMemoryStore } from '@laburnumgap/key-value';
import test from 'ava';
import { CtlHarness, ROOT } from '../helpers/CtlHarness.js';

interface DocumentedCommand {
  readonly exitCode: number;
  readonly line: string;
}

/** Generous deadline, so that a slow machine does not fail the test. */
const RPC_TIMEOUT_MS = 60_000;
const SECRET = 'a-secret-of-the-tests';
const PAGES = [
  'OPERATIONS.md',
  ...readdirSync(`${ROOT}docs/operations`).map((name) => `operations/${name}`),
];

/**
 * Reads the commands in the shell blocks of a page; `# exits with N` gives an expected exit code.
 */
const readCommands = (page: string): DocumentedCommand[] => {
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
  test(`the commands of ${page} exit as documented`, async (t) => {
    const server = await startRpcServer({
      address: '127.0.0.1:0',
      handlers: { Inspect: INSPECT },
      secret: SECRET,
    });
    t.teardown(() => {
      server.close();
    });
    const clients = createRpcClients(SECRET);
    const clientsWithTimeout: RpcClients = {
      ...clients,
      unary: (call, request) => clients.unary(call, request, RPC_TIMEOUT_MS),
    };
    const harness = new CtlHarness(createMemoryStore(), clientsWithTimeout);
    await harness.registerMember({ rpcAddress: server.address });
    // The pages show 2 as the first revision of a contract, as in a store without earlier changes.
    const revisionOffset = page.endsWith('CONTRACTS.md') ? 1 : 0;
    for (const { exitCode, line } of readCommands(page)) {
      const adjustedLine = line.replace(
        /--expect-revision (\d+)/,
        (_all, revision: string) => `--expect-revision ${Number(revision) + revisionOffset}`,
      );
      const run = await harness.run(adjustedLine);
      t.is(run.exitCode, exitCode, `${line}\n${run.errors}`);
    }
    t.pass();
  });
}

test('every command is documented', (t) => {
  const lines = PAGES.flatMap(readCommands).map(({ line }) => `${line} `);
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
