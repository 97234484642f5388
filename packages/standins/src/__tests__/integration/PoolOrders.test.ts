import { createEngineControl } from '@laburnumgap/engine';
import type {
  KnownServer,
  Member,
  MemberDirectory,
  ServerDirectory,
  ServerId,
} from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import { startPoolReconciler } from '@laburnumgap/membership';
import { createMemoryStore } from '@laburnumgap/key-value';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { fetchAppliedOrders, startEngineFixture } from '../support/OrdersFixtures.js';

const SELF: Member = {
  entryVm: toId('vm-1'),
  failureDomain: toId('south-1'),
  incarnation: toId('1'),
  memberId: toId('s1'),
  region: toId('south'),
  role: 'scheduler',
  rpcAddress: '127.0.0.1:1',
};
const OTHER_SCHEDULER: Member = { ...SELF, memberId: toId('s2') };
const POOL = { checksFencingNumbers: true, models: ['m0', 'm1'], name: 'reports' };

/** Member and server directories whose contents a test sets. */
class FakeDirectories {
  owner = SELF;
  servers: readonly KnownServer[] = [];
  readonly #listeners = new Set<() => void>();

  readonly memberDirectory: MemberDirectory = {
    members: () => [this.owner],
    onChange: (listener) => this.#addListener(listener),
    rank: () => [this.owner],
    suspect: () => undefined,
  };

  readonly serverDirectory: ServerDirectory = {
    markLeaving: () => undefined,
    onChange: (listener) => this.#addListener(listener),
    servers: () => this.servers,
  };

  notifyListeners(): void {
    this.#listeners.forEach((listener) => {
      listener();
    });
  }

  #addListener(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }
}

function createServer(
  id: string,
  address: string,
  overrides: Partial<KnownServer> = {},
): KnownServer {
  return {
    address,
    backend: { kind: 'model', pool: toId('reports') },
    failureDomain: toId('south-1'),
    leaving: false,
    region: toId('south'),
    serverId: toId<ServerId>(id),
    state: 'live',
    ...overrides,
  };
}

/**
 * Starts the order loops of a pool.
 *
 * @returns the URLs of the engines for which a control client was created; grows as they are
 */
function startOrders(
  t: ExecutionContext,
  directories: FakeDirectories,
  onOrder: (order: string) => void,
) {
  const controlledUrls: string[] = [];
  const orders = startPoolReconciler({
    clock: { nowMs: () => performance.now() },
    createControl: (url) => {
      controlledUrls.push(url);
      return createEngineControl({ url });
    },
    decisions: {
      record: ({ decision, fields }) => {
        if (decision === 'order') {
          onOrder(`${String(fields.engineId)} ${String(fields.outcome)}`);
        }
      },
    },
    directory: directories.memberDirectory,
    holdsLease: () => true,
    member: SELF,
    orderTimeoutMs: 1000,
    pools: [POOL],
    servers: directories.serverDirectory,
    store: createMemoryStore(),
  });
  t.teardown(() => orders.stop());
  return controlledUrls;
}

test('owned engines receive their models; leaving engines and those of other pools receive no orders', async (t) => {
  const [owned, leaving, ofOtherPool] = await Promise.all(
    [1, 2, 3].map(() => startEngineFixture(t)),
  );
  if (!owned || !leaving || !ofOtherPool) {
    t.fail();
    return;
  }
  const directories = new FakeDirectories();
  const orderOutcomes: string[] = [];
  const firstOrder = new Promise<void>((resolve) => {
    startOrders(t, directories, (order) => {
      orderOutcomes.push(order);
      resolve();
    });
  });
  directories.servers = [
    createServer('leaving', leaving.server.url, { leaving: true }),
    createServer('foreign', ofOtherPool.server.url, {
      backend: { kind: 'model', pool: toId('x') },
    }),
    createServer('owned', owned.server.url),
  ];
  directories.notifyListeners();
  await firstOrder;
  t.deepEqual(orderOutcomes, ['owned inForce']);
  t.deepEqual(await fetchAppliedOrders(owned.server), ['m0,m1']);
  t.deepEqual(await fetchAppliedOrders(leaving.server), []);
  t.deepEqual(await fetchAppliedOrders(ofOtherPool.server), []);
});

test('an engine of another scheduler receives orders once this scheduler owns it', async (t) => {
  const { server } = await startEngineFixture(t);
  const directories = new FakeDirectories();
  directories.owner = OTHER_SCHEDULER;
  directories.servers = [createServer('e1', server.url)];
  let controlledUrls: readonly string[] = [];
  const firstOrder = new Promise<void>((resolve) => {
    controlledUrls = startOrders(t, directories, () => {
      resolve();
    });
  });
  directories.notifyListeners();
  t.deepEqual(controlledUrls, []);
  directories.owner = SELF;
  directories.notifyListeners();
  t.deepEqual(controlledUrls, [server.url]);
  await firstOrder;
  t.deepEqual(await fetchAppliedOrders(server), ['m0,m1']);
});
