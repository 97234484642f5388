import type { MoveRequest } from '@laburnumgap/dispatch';
import type { MemberId, RequestId, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import type { MoveMessage } from '../../index.js';
import { MoveCoordinator } from '../../index.js';

const COORDINATOR = toId<MemberId>('a');
const OTHER = toId<MemberId>('b');

function requestOf(name: string, usedTokens: number): Omit<MoveRequest, 'memberId'> {
  return {
    endsSoon: false,
    requestId: toId<RequestId>(name),
    sourceId: toId<ServerId>('leaving'),
    targetIds: ['x', 'y'].map((id) => toId<ServerId>(id)),
    usedTokens,
  };
}

interface Timer {
  readonly dueMs: number;
  isCancelled: boolean;
  readonly run: () => void;
}

/** Time that passes only when the test lets it. */
class VirtualTime {
  private currentMs = 0;
  private readonly timers: Timer[] = [];

  readonly clock = { nowMs: () => this.currentMs };

  readonly after = (delayMs: number, run: () => void): (() => void) => {
    const timer = { dueMs: this.currentMs + delayMs, isCancelled: false, run };
    this.timers.push(timer);
    return () => {
      timer.isCancelled = true;
    };
  };

  /** Runs what is due within a time, one timer after the other. */
  async pass(durationMs: number): Promise<void> {
    const untilMs = this.currentMs + durationMs;
    for (let timer = this.takeNext(untilMs); timer; timer = this.takeNext(untilMs)) {
      this.currentMs = timer.dueMs;
      timer.run();
      await settle();
    }
    this.currentMs = untilMs;
    await settle();
  }

  /** Lets time pass until a promise resolves. */
  async until<T>(promise: Promise<T>): Promise<T> {
    const state = { isResolved: false };
    const resolved = promise.finally(() => {
      state.isResolved = true;
    });
    await settle();
    for (let passedMs = 0; !state.isResolved && passedMs < MAX_WAIT_MS; passedMs += 1) {
      await this.pass(1);
    }
    return resolved;
  }

  private takeNext(untilMs: number): Timer | undefined {
    const [next] = this.timers
      .filter(({ dueMs, isCancelled }) => !isCancelled && dueMs <= untilMs)
      .sort((a, b) => a.dueMs - b.dueMs);
    if (next) {
      this.timers.splice(this.timers.indexOf(next), 1);
    }
    return next;
  }
}

const LINK_DELAY_MS = 1;
/** More than any request waits for its turn. */
const MAX_WAIT_MS = 10_000;

/** Runs what promises have left to do. */
function settle(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Two daemons of which the first coordinates; `isLost` decides which messages do not arrive. */
function startDaemons(isLost: (message: MoveMessage) => boolean = () => false) {
  const coordinators = new Map<MemberId, MoveCoordinator>();
  const time = new VirtualTime();
  const { after, clock } = time;
  for (const memberId of [COORDINATOR, OTHER]) {
    coordinators.set(
      memberId,
      new MoveCoordinator({
        after,
        clock,
        currentCoordinatorId: () => COORDINATOR,
        memberId,
        send: (message, recipientId) => {
          if (!isLost(message)) {
            after(LINK_DELAY_MS, () => coordinators.get(recipientId)?.onMessage(message));
          }
        },
      }),
    );
  }
  const daemon = coordinators.get(OTHER);
  if (!daemon) {
    throw new Error('no daemon');
  }
  return { daemon, time };
}

/** Requests turns and records their order; each move ends at once. */
async function orderOfTurns(t: ExecutionContext, sizes: readonly number[]): Promise<number[]> {
  const { daemon, time } = startDaemons();
  const order: number[] = [];
  const turns = Promise.all(
    sizes.map(async (usedTokens) => {
      const request = requestOf(`r${usedTokens}`, usedTokens);
      t.is((await daemon.requestTurn(request)).kind, 'turn');
      order.push(usedTokens);
      daemon.releaseTurn(request.requestId);
    }),
  );
  await time.until(turns);
  return order;
}

test('load pattern: an engine leaves with streams of many sizes, and the first request is the largest', async (t) => {
  t.deepEqual(
    await orderOfTurns(t, [6_480, 4_638, 2_608, 3_482, 3_825]),
    [2_608, 3_482, 3_825, 4_638, 6_480],
  );
});

test('load pattern: a copy does not start beside another one while its engine still serves', async (t) => {
  const { daemon, time } = startDaemons();
  const first = requestOf('first', 2_000);
  t.is((await time.until(daemon.requestTurn(first))).kind, 'turn');
  let isResolved = false;
  const second = daemon.requestTurn(requestOf('second', 3_000)).then((outcome) => {
    isResolved = true;
    return outcome;
  });
  // Longer than the first copy may take.
  await time.pass(1_300);
  t.false(isResolved);
  daemon.releaseTurn(first.requestId);
  t.is((await time.until(second)).kind, 'turn');
});

test('a turn whose message was lost is sent again', async (t) => {
  let lost = 0;
  const { daemon, time } = startDaemons(
    (message) => message.kind === 'moveTurn' && (lost += 1) === 1,
  );
  t.is((await time.until(daemon.requestTurn(requestOf('r', 2_000)))).kind, 'turn');
  t.is(lost, 2);
});

test('a request that was lost once is repeated', async (t) => {
  let lost = 0;
  const { daemon, time } = startDaemons(
    (message) => message.kind === 'moveWanted' && (lost += 1) === 1,
  );
  t.is((await time.until(daemon.requestTurn(requestOf('r', 2_000)))).kind, 'turn');
});

test('a daemon whose coordinator does not respond proceeds without a turn', async (t) => {
  const { daemon, time } = startDaemons(() => true);
  t.is((await time.until(daemon.requestTurn(requestOf('r', 2_000)))).kind, 'ungranted');
});

test('a turn that arrives twice is not given back while it is used', async (t) => {
  const { daemon, time } = startDaemons();
  const first = requestOf('first', 2_000);
  t.is((await time.until(daemon.requestTurn(first))).kind, 'turn');
  daemon.onMessage({ kind: 'moveTurn', requestId: first.requestId, targetId: toId<ServerId>('x') });
  let isResolved = false;
  const second = daemon.requestTurn(requestOf('second', 3_000)).then((outcome) => {
    isResolved = true;
    return outcome;
  });
  await time.pass(100);
  t.false(isResolved);
  daemon.releaseTurn(first.requestId);
  t.is((await time.until(second)).kind, 'turn');
});
