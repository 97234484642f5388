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
import { engineFixture, ordersInForce } from '../support/OrdersFixtures.js';

const MEMBER: Member = {
  entryVm: toId('vm-1'),
  failureDomain: toId('south-1'),
  incarnation: toId('1'),
  memberId: toId('s1'),
  region: toId('south'),
  role: 'scheduler',
  rpcAddress: '127.0.0.1:1',
};
const OTHER: Member = { ...MEMBER, memberId: toId('s2') };
const POOL = { checksFencingNumbers: true, models: ['m0', 'm1'], name: 'reports' };

/** Directories that a test changes by hand. */
class Directories {
  owner = MEMBER;
  servers: readonly KnownServer[] = [];
  readonly #listeners = new Set<() => void>();

  readonly members: MemberDirectory = {
    members: () => [this.owner],
    onChange: (listener) => this.#listen(listener),
    rank: () => [this.owner],
    suspect: () => undefined,
  };

  readonly known: ServerDirectory = {
    markLeaving: () => undefined,
    onChange: (listener) => this.#listen(listener),
    servers: () => this.servers,
  };

  changed(): void {
    this.#listeners.forEach((listener) => {
      listener();
    });
  }

  #listen(listener: () => void): () => void {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }
}

function serverOf(id: string, address: string, overrides: Partial<KnownServer> = {}): KnownServer {
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

/** Starts the orders; gives the URLs of the engines that were taken charge of. */
function start(t: ExecutionContext, directories: Directories, onOrder: (id: string) => void) {
  const takenUrls: string[] = [];
  const orders = startPoolReconciler({
    clock: { nowMs: () => performance.now() },
    createControl: (url) => {
      takenUrls.push(url);
      return createEngineControl({ url });
    },
    decisions: {
      record: ({ decision, fields }) => {
        if (decision === 'order') {
          onOrder(`${String(fields.engineId)} ${String(fields.outcome)}`);
        }
      },
    },
    directory: directories.members,
    holdsLease: () => true,
    member: MEMBER,
    orderTimeoutMs: 1000,
    pools: [POOL],
    servers: directories.known,
    store: createMemoryStore(),
  });
  t.teardown(() => orders.stop());
  return takenUrls;
}

test('engines that are owned and stay get their models, others are left alone', async (t) => {
  const [owned, leaving, foreign] = await Promise.all([1, 2, 3].map(() => engineFixture(t)));
  if (!owned || !leaving || !foreign) {
    t.fail();
    return;
  }
  const directories = new Directories();
  const seen: string[] = [];
  const ordered = new Promise<void>((resolve) => {
    start(t, directories, (order) => {
      seen.push(order);
      resolve();
    });
  });
  directories.servers = [
    serverOf('leaving', leaving.server.url, { leaving: true }),
    serverOf('foreign', foreign.server.url, { backend: { kind: 'model', pool: toId('x') } }),
    serverOf('owned', owned.server.url),
  ];
  directories.changed();
  await ordered;
  t.deepEqual(seen, ['owned inForce']);
  t.deepEqual(await ordersInForce(owned.server), ['m0,m1']);
  t.deepEqual(await ordersInForce(leaving.server), []);
  t.deepEqual(await ordersInForce(foreign.server), []);
});

test('an engine of another scheduler is ordered once this one owns it', async (t) => {
  const { server } = await engineFixture(t);
  const directories = new Directories();
  directories.owner = OTHER;
  directories.servers = [serverOf('e1', server.url)];
  let takenUrls: readonly string[] = [];
  const ordered = new Promise<void>((resolve) => {
    takenUrls = start(t, directories, () => {
      resolve();
    });
  });
  directories.changed();
  t.deepEqual(takenUrls, []);
  directories.owner = MEMBER;
  directories.changed();
  t.deepEqual(takenUrls, [server.url]);
  await ordered;
  t.deepEqual(await ordersInForce(server), ['m0,m1']);
});
