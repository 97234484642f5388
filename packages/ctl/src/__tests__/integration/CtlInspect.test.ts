import { CONFIG_HEAD_KEY } from '@laburnumgap/contracts';
import type { MemberId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import { createMemoryStore } from '@laburnumgap/key-value';
import type { InspectHandlers } from '@laburnumgap/rpc';
import { createRpcClients, startRpcServer } from '@laburnumgap/rpc';
import test from 'ava';
import type { CtlRun } from '../helpers/CtlHarness.js';
import { CtlHarness } from '../helpers/CtlHarness.js';

const SECRET = 'a-secret-of-the-tests';

const createInspectHandlers = (
  memberId: string,
  revision: number,
  draining = false,
): InspectHandlers => ({
  Explain: ({ request }, callback) => {
    const isKnown = request.requestId === 'r-1';
    const decision = {
      atEpochMs: 1_764_763_200_000 + revision,
      decision: 'route',
      line: `by=${memberId}`,
    };
    callback(null, { decisions: isKnown ? [decision] : [] });
  },
  GetStatus: (_call, callback) => {
    callback(null, {
      configAgeMs: 1.6,
      configRevision: revision,
      draining,
      facts: [{ name: 'homeRecords', value: '3' }],
      memberId,
      role: 'router',
    });
  },
});

test('status and explain query every daemon', async (t) => {
  const harness = new CtlHarness(createMemoryStore(), createRpcClients(SECRET));
  const head = { key: CONFIG_HEAD_KEY, kind: 'put' as const, value: '' };
  await harness.store.commit({ guards: [], writes: [head] });
  const daemons: [id: string, revision: number, draining: boolean][] = [
    ['a-in-force', 2, false],
    ['b-behind', 1, false],
    ['c-draining', 2, true],
  ];
  for (const [id, revision, draining] of daemons) {
    const server = await startRpcServer({
      address: '127.0.0.1:0',
      handlers: { Inspect: createInspectHandlers(id, revision, draining) },
      secret: SECRET,
    });
    t.teardown(() => {
      server.close();
    });
    await harness.registerMember({ memberId: toId<MemberId>(id), rpcAddress: server.address });
  }
  await harness.registerMember({ memberId: toId<MemberId>('d-gone'), rpcAddress: '127.0.0.1:1' });

  const peers = { deadlineMs: 60_000, secret: SECRET };
  const platform = { storeUrl: 'http://127.0.0.1:1' };
  harness.files.set('test-settings.yaml', JSON.stringify({ operator: 'test', peers, platform }));
  const run = (line: string): Promise<CtlRun> =>
    harness.run(`${line} --settings test-settings.yaml`);
  t.snapshot(await run('status'), 'status');
  t.snapshot(await run('status --json'), 'status as JSON');
  t.snapshot(await run('explain r-1'), 'explain');
  t.snapshot(await run('explain r-2'), 'explain an unknown request');
});
