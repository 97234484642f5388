import { CONFIG_HEAD_KEY, CONTRACT_PREFIX, HISTORY_PREFIX } from '@laburnumgap/contracts';
import type { Member, MemberDirectory, PlatformStore, Revision, TeamId } from '@laburnumgap/kernel';
import { NO_DECISION_SINK, failure, toId, toNumberId } from '@laburnumgap/kernel';
import { createMemoryStore } from '@laburnumgap/key-value';
import type { RpcClients } from '@laburnumgap/rpc';
import { createRpcClients, startRpcServer } from '@laburnumgap/rpc';
import { NO_LOG } from '@laburnumgap/telemetry';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import type { ConfigSync } from '../../index.js';
import { startConfigSync, writeConfig } from '../../index.js';
import { contractText } from '../helpers/ConfigFleet.js';

const SECRET = 'a-secret-for-tests-only';
const TEAM = toId<TeamId>('reports');

const NO_MEMBERS: MemberDirectory = {
  members: () => [],
  onChange: () => () => undefined,
  rank: () => [],
  suspect: () => undefined,
};

const createDownStore = (): PlatformStore => {
  const down = (): Promise<never> =>
    Promise.resolve(failure({ detail: 'down', kind: 'unavailable' }) as never);
  return { ...createMemoryStore(), range: down, read: down };
};

const startSync = (
  t: ExecutionContext,
  store: PlatformStore,
  clients: RpcClients,
  seedAddresses: readonly string[] = [],
): ConfigSync => {
  const member: Pick<Member, 'failureDomain' | 'memberId'> = {
    failureDomain: toId('zone-1'),
    memberId: toId(`daemon-${seedAddresses.length}`),
  };
  const sync = startConfigSync({
    clients,
    clock: { nowMs: () => performance.now() },
    decisions: NO_DECISION_SINK,
    directory: NO_MEMBERS,
    log: NO_LOG,
    member,
    seedAddresses,
    store,
  });
  t.teardown(() => {
    sync.stop();
  });
  return sync;
};

/** Waits until a version of the team's contract is in force. */
const waitForVersion = (sync: ConfigSync, version: number): Promise<void> =>
  new Promise((resolve) => {
    const check = (): void => {
      if (sync.view.snapshot().contracts.get(TEAM)?.contract.scheduling.weight === version) {
        unsubscribe();
        resolve();
      }
    };
    const unsubscribe = sync.view.onChange(check);
    check();
  });

const acceptVersion = async (
  store: PlatformStore,
  version: number,
  expected: number,
): Promise<number> => {
  const written = await writeConfig(
    { store },
    {
      changeId: `change-${version}`,
      expectedRevision: toNumberId<Revision>(expected),
      historyKey: `${HISTORY_PREFIX}${TEAM}`,
      key: `${CONTRACT_PREFIX}${TEAM}`,
      nowEpochMs: 1,
      operator: 'operator',
      text: contractText(TEAM, version),
    },
  );
  return written.ok ? written.value : -1;
};

test('a daemon without store access follows a peer over gRPC, which requires the shared secret', async (t) => {
  const store = createMemoryStore();
  const clients = createRpcClients(SECRET);
  const clientsWithOtherSecret = createRpcClients('another-secret-of-somebody');
  const first = await acceptVersion(store, 1, 0);
  const parent = startSync(t, store, clients);
  const server = await startRpcServer({
    address: '127.0.0.1:0',
    handlers: { ConfigPeer: parent.handlers },
    secret: SECRET,
  });
  t.teardown(() => {
    clients.close();
    clientsWithOtherSecret.close();
    server.close();
  });
  await waitForVersion(parent, 1);

  const follower = startSync(t, createDownStore(), clients, [server.address]);
  const rejectedFollower = startSync(t, createDownStore(), clientsWithOtherSecret, [
    server.address,
  ]);
  await waitForVersion(follower, 1);
  t.true(Number.isFinite(follower.ageMs()));

  await acceptVersion(store, 2, first);
  await waitForVersion(follower, 2);
  t.is(rejectedFollower.view.snapshot().contracts.size, 0);
  const head = await store.read(CONFIG_HEAD_KEY);
  t.is(head.ok && head.value?.modRevision, follower.view.snapshot().revision);
});
