import type { BackendServer } from '@laburnumgap/dispatch';
import { ServerRegistry } from '@laburnumgap/dispatch';
import type { FailureDomainId, ServerId, ServiceId } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import type { ConnectionListener, Permit, PermitListener } from '../../index.js';
import { ServerAccess } from '../../index.js';

const SERVICE = toId<ServiceId>('desk');
const BACKOFF_MS = 7_000;

function serverOf(name: string, domain: string): BackendServer {
  return {
    failureDomain: toId<FailureDomainId>(domain),
    host: '10.0.0.1',
    leaving: false,
    port: 80,
    serverId: toId<ServerId>(name),
    service: SERVICE,
    slots: 6,
    startedEpochMs: 1,
  };
}

const A1 = serverOf('a1', 'a');
const B1 = serverOf('b1', 'b');

/** A server access with one server in each of two domains. */
class TestAccess {
  readonly access: ServerAccess;
  readonly counted: string[] = [];
  readonly evacuated = new Set<string>();
  isBrittle = false;
  isCold = false;
  readonly outcomes: string[] = [];
  readonly pendingConnections: ConnectionListener[] = [];
  readonly pendingPermits: PermitListener[] = [];
  readonly registry = new ServerRegistry();

  constructor() {
    this.registry.apply(
      [A1, B1].map((server) => ({
        revision: toNumberId(1),
        server,
        serverId: server.serverId,
      })),
      0,
    );
    this.access = new ServerAccess({
      clock: { nowMs: () => 0 },
      connections: {
        acquire: (_server, listener) => this.pendingConnections.push(listener),
        release: () => undefined,
      },
      evacuations: {
        isEvacuated: (domain) => this.evacuated.has(domain),
        recordAvoided: (use) => this.counted.push(use),
        recordRefused: () => this.counted.push('refused'),
      },
      permits: {
        availableAfterMs: () => 0,
        isBrittle: () => this.isBrittle,
        isCold: () => this.isCold,
        isLimited: () => true,
        mayUse: () => true,
        requestPermit: (_server, _maxWaitMs, onDecision) => this.pendingPermits.push(onDecision),
      },
      registry: this.registry,
    });
  }

  acquire(savesStream = false): void {
    this.access.acquire(
      A1,
      0,
      {
        onConnectFailed: (reason) => this.outcomes.push(reason),
        onConnected: () => this.outcomes.push('connected'),
        onLimited: (_retryAfterMs, denial) => this.outcomes.push(denial),
      },
      { savesStream },
    );
  }

  openIds(): readonly string[] {
    return this.access.openServers(SERVICE).map(({ serverId }) => serverId);
  }
}

test('servers of an evacuated domain are not open, and the others are', (t) => {
  const target = new TestAccess();
  t.deepEqual(target.openIds(), ['a1', 'b1']);
  target.evacuated.add('a');
  t.deepEqual(target.openIds(), ['b1']);
  t.is(target.access.openAgainAfterMs(SERVICE), undefined);
  t.is(target.access.evacuationRefusal(SERVICE), undefined);
});

test('a service of which every server is evacuated names a time to retry and the reason', (t) => {
  const target = new TestAccess();
  target.evacuated.add('a').add('b');
  t.deepEqual(target.openIds(), []);
  t.true((target.access.openAgainAfterMs(SERVICE) ?? 0) > 0);
  t.not(target.access.openAgainAfterMs(SERVICE), Infinity);
  t.not(target.access.evacuationRefusal(SERVICE), undefined);
  t.deepEqual(target.counted, ['refused']);
});

test('the time to retry is that of the servers that are not evacuated', (t) => {
  const target = new TestAccess();
  target.evacuated.add('a');
  target.registry.backOff(B1, BACKOFF_MS);
  t.is(target.access.openAgainAfterMs(SERVICE), BACKOFF_MS);
});

for (const kind of ['isBrittle', 'isCold'] as const) {
  test(`no request waits for an evacuated server where ${kind} is true`, (t) => {
    const target = new TestAccess();
    target[kind] = true;
    t.true(target.access.hasRoomSoon(SERVICE));
    target.evacuated.add('a').add('b');
    t.false(target.access.hasRoomSoon(SERVICE));
  });
}

test('nothing is asked for or opened to an evacuated server', (t) => {
  const target = new TestAccess();
  target.evacuated.add('a');
  target.acquire();
  t.deepEqual(target.outcomes, ['evacuated']);
  t.is(target.pendingPermits.length + target.pendingConnections.length, 0);
  t.deepEqual(target.counted, ['request']);
});

test('a request that waits for a permit when the evacuation becomes known gives it back', (t) => {
  const target = new TestAccess();
  const released: string[] = [];
  const permit: Permit = {
    isValidForCold: () => true,
    release: () => released.push('permit'),
    setUsed: () => undefined,
  };
  target.acquire();
  target.evacuated.add('a');
  target.pendingPermits.shift()?.({ kind: 'granted', waitMs: 0 }, permit);
  t.deepEqual(target.outcomes, ['evacuated']);
  t.deepEqual(released, ['permit']);
  t.is(target.pendingConnections.length, 0);
});

test('the last check before writing refuses requests, continuations and control requests', (t) => {
  const target = new TestAccess();
  t.true(target.access.mayReceive(A1, 'newRun'));
  t.true(target.access.mayReceive(A1, 'continuation'));
  t.is(target.access.controlDenial(A1), undefined);
  target.evacuated.add('a');
  t.false(target.access.mayReceive(A1, 'newRun'));
  t.false(target.access.mayReceive(A1, 'continuation'));
  t.not(target.access.controlDenial(A1), undefined);
  t.true(target.access.mayReceive(B1, 'newRun'));
});

test('the last check before writing also refuses servers that leave or back off', (t) => {
  const target = new TestAccess();
  target.registry.backOff(A1, BACKOFF_MS);
  t.false(target.access.mayReceive(A1, 'newRun'));
  t.not(target.access.controlDenial(A1, { savesStream: true }), undefined);
  target.registry.markLeaving(B1, 0);
  t.false(target.access.mayReceive(B1, 'newRun'));
  t.true(
    target.access.mayReceive(B1, 'continuation'),
    'a leaving server still takes continuations',
  );
});

test('a control request that saves a stream at an evacuated engine is sent', (t) => {
  const target = new TestAccess();
  target.evacuated.add('a');
  t.is(target.access.controlDenial(A1, { savesStream: true }), undefined);
  target.acquire(true);
  target.pendingPermits.shift()?.({ kind: 'granted', waitMs: 0 });
  t.is(target.pendingConnections.length, 1);
  t.deepEqual(target.outcomes, []);
});
