import type { BackendServer } from '@laburnumgap/dispatch';
import { ServerRegistry } from '@laburnumgap/dispatch';
import type { FailureDomainId, ServerId, ServiceId } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import type { BackendConnection, ConnectionListener, Permit, PermitListener } from '../../index.js';
import { ServerAccess } from '../../index.js';

const SERVICE = toId<ServiceId>('desk');

function serverOf(name: string): BackendServer {
  return {
    failureDomain: toId<FailureDomainId>('a'),
    host: '10.0.0.1',
    leaving: false,
    port: 80,
    serverId: toId<ServerId>(name),
    service: SERVICE,
    slots: 6,
    startedEpochMs: 1,
  };
}

const SERVER = serverOf('s1');

interface TestConnection {
  isOpen: boolean;
  readonly name: string;
  permit: Permit | undefined;
}

/** A server access whose connections open and whose permits are decided by the test. */
class TestAccess {
  readonly access: ServerAccess;
  readonly availableAfterMs = new Map<ServerId, number>();
  isLimited = false;
  mayUse = true;
  /** Names of the connections and refusals that the listener received. */
  readonly outcomes: string[] = [];
  readonly pendingConnections: ConnectionListener[] = [];
  readonly pendingPermits: PermitListener[] = [];
  readonly released: string[] = [];

  constructor() {
    const registry = new ServerRegistry();
    const servers = [SERVER, serverOf('s2')];
    registry.apply(
      servers.map((server) => ({ revision: toNumberId(1), server, serverId: server.serverId })),
      0,
    );
    this.access = new ServerAccess({
      clock: { nowMs: () => 0 },
      connections: {
        acquire: (_server, listener) => this.pendingConnections.push(listener),
        release: (_server, connection) => {
          this.released.push((connection as unknown as TestConnection).name);
        },
      },
      permits: {
        availableAfterMs: ({ serverId }) => this.availableAfterMs.get(serverId) ?? 0,
        isBrittle: () => false,
        isCold: () => false,
        isLimited: () => this.isLimited,
        mayUse: () => this.mayUse,
        requestPermit: (_server, _maxWaitMs, onDecision) => {
          if (this.isLimited) {
            this.pendingPermits.push(onDecision);
          } else {
            onDecision({ kind: 'granted', waitMs: 0 });
          }
        },
      },
      registry,
    });
  }

  acquire(): void {
    this.access.acquire(SERVER, 0, {
      onConnectFailed: (reason) => this.outcomes.push(reason),
      onConnected: (connection) => {
        this.outcomes.push((connection as unknown as TestConnection).name);
      },
      onLimited: (retryAfterMs) => this.outcomes.push(`limited ${retryAfterMs}`),
    });
  }

  open(name: string): TestConnection {
    const connection = {
      holdPermit: (permit: Permit | undefined) => {
        connection.permit = permit;
      },
      isOpen: true,
      isReusable: () => connection.isOpen,
      name,
      permit: undefined as Permit | undefined,
    };
    this.pendingConnections.shift()?.onConnected(connection as unknown as BackendConnection);
    return connection;
  }
}

test('without a limit a connection is provided at once', (t) => {
  const target = new TestAccess();
  target.acquire();
  target.open('c1');
  t.deepEqual(target.outcomes, ['c1']);
});

test('a permit comes before the connection, and a declined one opens none', (t) => {
  const target = new TestAccess();
  target.isLimited = true;
  target.acquire();
  t.is(target.pendingConnections.length, 0);
  target.pendingPermits.shift()?.({ kind: 'declined', retryAfterMs: 70 });
  t.deepEqual(target.outcomes, ['limited 70']);
  target.acquire();
  target.pendingPermits.shift()?.({ kind: 'granted', waitMs: 0 });
  target.open('c1');
  t.deepEqual(target.outcomes, ['limited 70', 'c1']);
  t.is(target.pendingPermits.length, 0, 'one permit a request');
});

test('a limit that is named while a connection is opened needs a permit before it is used', (t) => {
  const target = new TestAccess();
  target.acquire();
  target.isLimited = true;
  target.open('c1');
  t.deepEqual(target.outcomes, []);
  target.pendingPermits.shift()?.({ kind: 'declined', retryAfterMs: 70 });
  t.deepEqual(target.outcomes, ['limited 70']);
  t.deepEqual(target.released, ['c1']);
});

test('a connection that closes while its request waits for a permit is replaced', (t) => {
  const target = new TestAccess();
  target.acquire();
  target.isLimited = true;
  target.open('c1').isOpen = false;
  target.pendingPermits.shift()?.({ kind: 'granted', waitMs: 0 });
  t.deepEqual(target.outcomes, []);
  target.open('c2');
  t.deepEqual(target.outcomes, ['c2']);
});

test('servers that have reached their limits are passed over, and the first permit is the time to come back', (t) => {
  const target = new TestAccess();
  target.availableAfterMs.set(toId('s1'), 300);
  t.deepEqual(
    target.access.openServers(SERVICE).map(({ serverId }) => serverId),
    [toId<ServerId>('s2')],
  );
  t.is(target.access.openAgainAfterMs(SERVICE), undefined);
  target.availableAfterMs.set(toId('s2'), 200);
  t.deepEqual(target.access.openServers(SERVICE), []);
  t.is(target.access.openAgainAfterMs(SERVICE), 200);
});

test('a permit goes to the connection, and ends when none opens', (t) => {
  const target = new TestAccess();
  target.isLimited = true;
  const released: string[] = [];
  const permitOf = (name: string): Permit => ({
    isValidForCold: () => false,
    release: () => released.push(name),
    setUsed: () => undefined,
  });
  target.acquire();
  target.pendingPermits.shift()?.({ kind: 'granted', waitMs: 0 }, permitOf('p1'));
  const connection = target.open('c1');
  t.not(connection.permit, undefined);
  t.deepEqual(released, []);
  target.acquire();
  target.pendingPermits.shift()?.({ kind: 'granted', waitMs: 0 }, permitOf('p2'));
  target.pendingConnections.shift()?.onConnectFailed('refused');
  t.deepEqual(released, ['p2']);
  t.deepEqual(target.outcomes, ['c1', 'refused']);
});

test('a permit that is not valid any more when a connection opens is given back, and another requested', (t) => {
  const target = new TestAccess();
  target.isLimited = true;
  const released: string[] = [];
  const permitOf = (name: string): Permit => ({
    isValidForCold: () => false,
    release: () => released.push(name),
    setUsed: () => undefined,
  });
  target.acquire();
  target.pendingPermits.shift()?.({ kind: 'granted', waitMs: 0 }, permitOf('p1'));
  target.mayUse = false;
  target.open('c1');
  t.deepEqual(released, ['p1']);
  t.deepEqual(target.outcomes, []);
  target.mayUse = true;
  target.pendingPermits.shift()?.({ kind: 'granted', waitMs: 0 }, permitOf('p2'));
  t.deepEqual(target.outcomes, ['c1']);
  t.deepEqual(released, ['p1']);
});

test('nothing is sent with a second permit that is not valid any more either', (t) => {
  const target = new TestAccess();
  target.isLimited = true;
  target.mayUse = false;
  target.acquire();
  target.pendingPermits.shift()?.({ kind: 'granted', waitMs: 0 });
  target.open('c1');
  target.pendingPermits.shift()?.({ kind: 'granted', waitMs: 0 });
  t.is(target.outcomes.length, 1);
  t.regex(target.outcomes[0] ?? '', /^limited /);
  t.deepEqual(target.released, ['c1']);
});
