import type { BackendServer } from '@laburnumgap/dispatch';
import { ServerLimits, ServerRegistry } from '@laburnumgap/dispatch';
import type { FailureDomainId, ServerId, ServiceId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { ResponseMetadata } from '../../index.js';
import { ServerSignals } from '../../index.js';

const SERVER: BackendServer = {
  failureDomain: toId<FailureDomainId>('a'),
  host: '10.0.0.1',
  leaving: false,
  port: 80,
  serverId: toId<ServerId>('s1'),
  service: toId<ServiceId>('desk'),
  slots: 6,
  startedEpochMs: 1,
};
const STAMPED: ResponseMetadata = {
  isEncoded: false,
  isLeaving: false,
  isLimitUnreadable: false,
  isStamped: true,
  notRun: false,
  unreadableHeaders: [],
};

class TestSignals {
  changeCount = 0;
  readonly coldMs: number[] = [];
  readonly limits = new ServerLimits();
  readonly loggedEvents: string[] = [];
  private nowMs = 0;

  /** Evaluates a response, one second after the previous one. */
  evaluate(metadata: Partial<ResponseMetadata>, status = 200): void {
    this.nowMs += 1_000;
    const signals = new ServerSignals({
      clock: { nowMs: () => this.nowMs },
      limits: this.limits,
      log: {
        info: (event) => this.loggedEvents.push(event),
        warn: (event) => this.loggedEvents.push(event),
      },
      onBackoff: () => undefined,
      onCold: (_server, remainingColdMs) => this.coldMs.push(remainingColdMs),
      onRejected: () => undefined,
      onLeaving: () => undefined,
      onLimitChanged: () => {
        this.changeCount += 1;
      },
      protocol: { parseResponseMetadata: () => ({ ...STAMPED, ...metadata }) },
      registry: new ServerRegistry(),
    });
    signals.evaluate(SERVER, { canReuseConnection: true, headers: [], status });
  }

  limit(): number | undefined {
    return this.limits.requestsPerS(SERVER);
  }
}

test('a limit holds until a stamped response names none', (t) => {
  const target = new TestSignals();
  target.evaluate({ requestsPerS: 3 });
  t.is(target.limit(), 3);
  target.evaluate({ isStamped: false }, 503);
  t.is(target.limit(), 3, 'a response that the server did not make for a request');
  target.evaluate({});
  t.is(target.limit(), undefined);
});

test('a response without a stamp can name a limit', (t) => {
  const target = new TestSignals();
  target.evaluate({ isStamped: false, requestsPerS: 3 }, 503);
  t.is(target.limit(), 3);
});

test('an unreadable limit leaves the known one', (t) => {
  const target = new TestSignals();
  target.evaluate({ requestsPerS: 3 });
  target.evaluate({ isLimitUnreadable: true });
  t.is(target.limit(), 3);
});

test('a response of another server at the address says nothing of this one', (t) => {
  const target = new TestSignals();
  target.evaluate({ requestsPerS: 3 }, 421);
  t.is(target.limit(), undefined);
});

test('others are told when a limit begins or ends, and each change is logged', (t) => {
  const target = new TestSignals();
  for (const requestsPerS of [undefined, 3, 3, 4, undefined, undefined]) {
    target.evaluate({ requestsPerS });
  }
  t.is(target.changeCount, 2);
  t.deepEqual(target.loggedEvents, Array(3).fill('server-limit-changed'));
});

test('any response of the server says how long it is cold, and one of another server does not', (t) => {
  const target = new TestSignals();
  target.evaluate({ remainingColdMs: 700 });
  target.evaluate({ remainingColdMs: 0, isStamped: false }, 503);
  target.evaluate({});
  target.evaluate({ remainingColdMs: 900 }, 421);
  t.deepEqual(target.coldMs, [700, 0]);
});
