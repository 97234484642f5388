import { CONFIG_HEAD_KEY } from '@laburnumgap/contracts';
import type { MemberId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import { createMemoryStore } from '@laburnumgap/key-value';
import type { InspectHandlers } from '@laburnumgap/rpc';
import { createRpcClients, startRpcServer } from '@laburnumgap/rpc';
import test from 'ava';
import type { CtlRun } from '../helpers/CtlBench.js';
import { CtlBench } from '../helpers/CtlBench.js';

const SECRET = 'a-secret-of-the-tests';

const inspectOf = (memberId: string, revision: number, draining = false): InspectHandlers => ({
  Explain: ({ request }, callback) => {
    const known = request.requestId === 'r-1';
    const decision = {
      atEpochMs: 1_764_763_200_000 + revision,
      decision: 'route',
      line: `by=${memberId}`,
    };
    callback(null, { decisions: known ? [decision] : [] });
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

test('daemons are asked for what is in force and why', async (t) => {
  const bench = new CtlBench(createMemoryStore(), createRpcClients(SECRET));
  const head = { key: CONFIG_HEAD_KEY, kind: 'put' as const, value: '' };
  await bench.store.commit({ guards: [], writes: [head] });
  const daemons: [id: string, revision: number, draining: boolean][] = [
    ['a-in-force', 2, false],
    ['b-behind', 1, false],
    ['c-draining', 2, true],
  ];
  for (const [id, revision, draining] of daemons) {
    const server = await startRpcServer({
      address: '127.0.0.1:0',
      handlers: { Inspect: inspectOf(id, revision, draining) },
      secret: SECRET,
    });
    t.teardown(() => {
      server.close();
    });
    await bench.register({ memberId: toId<MemberId>(id), rpcAddress: server.address });
  }
  await bench.register({ memberId: toId<MemberId>('d-gone'), rpcAddress: '127.0.0.1:1' });

  const peers = { deadlineMs: 60_000, secret: SECRET };
  const platform = { storeUrl: 'http://127.0.0.1:1' };
  bench.files.set('patient.yaml', JSON.stringify({ operator: 'test', peers, platform }));
  const run = (line: string): Promise<CtlRun> => bench.run(`${line} --settings patient.yaml`);
  t.snapshot(await run('status'), 'status');
  t.snapshot(await run('status --json'), 'status as JSON');
  t.snapshot(await run('explain r-1'), 'explain');
  t.snapshot(await run('explain r-2'), 'explain an unknown request');
});
