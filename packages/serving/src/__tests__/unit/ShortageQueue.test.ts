import type { Clock } from '@sinonjs/fake-timers';
import FakeTimers from '@sinonjs/fake-timers';
import type { CapacityPriority, WaitingGeneration } from '@laburnumgap/dispatch';
import type { MemberId, RequestId, ServerId, ServiceId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import { ShortageQueue } from '../../index.js';

const SERVICE = toId<ServiceId>('engines');
const LONG: WaitingGeneration = {
  arrivedMs: 0,
  callerTimeoutMs: 16_024,
  outputTokens: 748,
  plannedTokens: 3_200,
  promptTokens: 3_000,
  rank: 2,
  requestId: toId<RequestId>('long'),
  targetLatencyMs: 4_006,
};
const SHORT = {
  ...LONG,
  callerTimeoutMs: 6_016,
  outputTokens: 10,
  rank: 0,
  targetLatencyMs: 1_504,
};

interface TestQueue {
  readonly events: string[];
  freePlaces: number;
  readonly join: (kind: WaitingGeneration, name: string) => void;
  readonly queue: ShortageQueue;
}

/** A queue whose generations get capacity from a number of free places. */
function createQueue(nowMs: () => number): TestQueue {
  const events: string[] = [];
  const queue = new ShortageQueue({
    clock: { nowMs },
    engineCountOf: () => 34,
    log: {
      info: (event, fields) => {
        events.push(`${event} ${String(fields?.requestId ?? '')}`.trim());
      },
      warn: () => undefined,
    },
    metrics: { gauge: () => undefined, increment: () => undefined, observe: () => undefined },
    onWaiting: () => undefined,
    randomUnit: () => 0.5,
    serviceOf: () => SERVICE,
  });
  const join = (kind: WaitingGeneration, name: string): void => {
    const generation = { ...kind, arrivedMs: nowMs(), requestId: toId<RequestId>(name) };
    const onTurn = (): boolean => {
      if (created.freePlaces === 0) {
        return false;
      }
      created.freePlaces -= 1;
      events.push(`placed ${name}`);
      queue.recordPlaced(SERVICE, generation);
      return true;
    };
    const onRefused = (): void => {
      events.push(`refused ${name}`);
    };
    queue.join({ generation, onRefused, onTurn, service: SERVICE });
  };
  const created: TestQueue = { events, freePlaces: 0, join, queue };
  return created;
}

test.beforeEach((t) => {
  t.context = FakeTimers.install({ toFake: ['clearTimeout', 'setTimeout'] });
});
test.afterEach.always((t) => {
  (t.context as Clock).uninstall();
});

test.serial('load pattern: waiting generations are woken in the decided order', (t) => {
  const clock = t.context as Clock;
  const created = createQueue(() => clock.now);
  created.join(LONG, 'long 1');
  created.join(LONG, 'long 2');
  created.join(SHORT, 'short');
  clock.tick(30);
  created.freePlaces = 2;
  created.queue.onCapacityChanged();
  clock.tick(30);
  t.deepEqual(
    created.events.filter((event) => event.startsWith('placed')),
    ['placed short', 'placed long 1'],
  );
  t.true(created.queue.isShort(SERVICE));
});

test.serial(
  'a generation whose caller has disconnected frees its place in the queue at once',
  (t) => {
    const clock = t.context as Clock;
    const created = createQueue(() => clock.now);
    created.join(LONG, 'gone');
    created.join(LONG, 'here');
    created.queue.leave(SERVICE, toId<RequestId>('gone'));
    created.freePlaces = 1;
    clock.tick(5);
    t.true(created.events.includes('placed here'));
    t.is(created.events.at(-1), 'shortage-ended');
  },
);

test.serial('each decision has its log line, and a late short generation is refused', (t) => {
  const clock = t.context as Clock;
  const created = createQueue(() => clock.now);
  created.join(SHORT, 'short');
  clock.tick(1_500);
  t.deepEqual(created.events, [
    'shortage-began',
    'generation-queued short',
    'generation-not-queued short',
    'refused short',
    'shortage-ended',
  ]);
});

function requestOf(name: string, priority?: CapacityPriority) {
  return {
    believedReadingTokens: 0,
    plannedTokens: 3_200,
    ...(priority ? { priority } : {}),
    promptTokens: 3_000,
    requestId: toId<RequestId>(name),
    serverId: toId<ServerId>('e1'),
    unreadTokens: 3_000,
  };
}

test('the owner keeps capacity for the more urgent ones that others report, until they are silent', (t) => {
  let nowMs = 0;
  const { queue } = createQueue(() => nowMs);
  const row = { lateTokens: 0, offered: 0, placedTokensPerS: 0, served: 0, slackMs: 900 };
  // One for each of the 34 engines.
  const waiting = { ...row, onTimeCount: 34, onTimeTokens: 34 * 2_210, rank: 0, usedTokens: 0 };
  const requester = toId<MemberId>('requester');
  queue.recordReport(toId<MemberId>('other'), [{ ranks: [waiting], service: SERVICE }]);
  const lessUrgent = requestOf('r', { rank: 2, slackMs: 3_000 });
  const urgent = requestOf('r', { rank: 0, slackMs: 900 });
  t.is(queue.reserveFor(lessUrgent, requester).tokens, 2_210);
  t.is(queue.reserveFor(urgent, requester).tokens, 0);
  t.is(queue.reserveFor(requestOf('r'), requester).tokens, 0, 'a build without the field');
  nowMs = 3_000;
  t.is(queue.reserveFor(lessUrgent, requester).tokens, 0);
});

test('the owner keeps capacity for a more urgent request that it declined a moment ago', (t) => {
  let nowMs = 0;
  const { join, queue } = createQueue(() => nowMs);
  join(LONG, 'own');
  const none = { runs: 0, tokens: 0 };
  queue.recordDecision(requestOf('urgent', { rank: 0, slackMs: 900 }), true, none);
  const lessUrgent = requestOf('r', { rank: 1, slackMs: 3_000 });
  t.is(queue.reserveFor(lessUrgent, toId<MemberId>('m')).tokens, 3_200);
  nowMs = 200;
  t.is(queue.reserveFor(lessUrgent, toId<MemberId>('m')).tokens, 0);
  queue.leave(SERVICE, toId<RequestId>('own'));
});

test('of two large generations that hold an engine, the later one does not keep it from the earlier', (t) => {
  const { join, queue } = createQueue(() => 0);
  join(LONG, 'own');
  const requester = toId<MemberId>('m');
  const held = { isHeld: true, rank: 2 };
  const earlier = requestOf('earlier', { ...held, slackMs: 1_000 });
  const later = requestOf('later', { ...held, slackMs: 2_000 });
  queue.recordDecision(earlier, true, { runs: 0, tokens: 0 });
  queue.recordDecision(later, true, { runs: 0, tokens: 0 });
  t.is(queue.reserveFor(earlier, requester).tokens, 0);
  t.is(queue.reserveFor(later, requester).tokens, 3_200);
  const other = requestOf('other', { rank: 2, slackMs: 500 });
  t.is(queue.reserveFor(other, requester).tokens, 6_400);
  queue.leave(SERVICE, toId<RequestId>('own'));
});
