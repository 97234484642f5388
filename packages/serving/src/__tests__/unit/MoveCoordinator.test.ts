import { setTimeout as sleep } from 'node:timers/promises';
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

/** Two daemons of which the first coordinates; `isLost` decides which messages do not arrive. */
function startDaemons(isLost: (message: MoveMessage) => boolean = () => false) {
  const coordinators = new Map<MemberId, MoveCoordinator>();
  const clock = { nowMs: () => performance.now() };
  for (const memberId of [COORDINATOR, OTHER]) {
    coordinators.set(
      memberId,
      new MoveCoordinator({
        clock,
        currentCoordinatorId: () => COORDINATOR,
        memberId,
        send: (message, recipientId) => {
          if (!isLost(message)) {
            setImmediate(() => coordinators.get(recipientId)?.onMessage(message));
          }
        },
      }),
    );
  }
  const daemon = coordinators.get(OTHER);
  if (!daemon) {
    throw new Error('no daemon');
  }
  return daemon;
}

/** Requests turns and records their order; each move ends at once. */
async function orderOfTurns(t: ExecutionContext, sizes: readonly number[]): Promise<number[]> {
  const daemon = startDaemons();
  const order: number[] = [];
  await Promise.all(
    sizes.map(async (usedTokens) => {
      const request = requestOf(`r${usedTokens}`, usedTokens);
      t.is((await daemon.requestTurn(request)).kind, 'turn');
      order.push(usedTokens);
      daemon.releaseTurn(request.requestId);
    }),
  );
  return order;
}

test('load pattern: an engine leaves with streams of many sizes, and the first request is the largest', async (t) => {
  t.deepEqual(
    await orderOfTurns(t, [6_480, 4_638, 2_608, 3_482, 3_825]),
    [2_608, 3_482, 3_825, 4_638, 6_480],
  );
});

test('load pattern: a copy does not start beside another one while its engine still serves', async (t) => {
  const daemon = startDaemons();
  const first = requestOf('first', 2_000);
  t.is((await daemon.requestTurn(first)).kind, 'turn');
  let isResolved = false;
  const second = daemon.requestTurn(requestOf('second', 3_000)).then((outcome) => {
    isResolved = true;
    return outcome;
  });
  // Longer than the first copy may take.
  await sleep(1_300);
  t.false(isResolved);
  daemon.releaseTurn(first.requestId);
  t.is((await second).kind, 'turn');
});

test('a turn whose message was lost is sent again', async (t) => {
  let lost = 0;
  const daemon = startDaemons((message) => message.kind === 'moveTurn' && (lost += 1) === 1);
  t.is((await daemon.requestTurn(requestOf('r', 2_000))).kind, 'turn');
  t.is(lost, 2);
});

test('a request that was lost once is repeated', async (t) => {
  let lost = 0;
  const daemon = startDaemons((message) => message.kind === 'moveWanted' && (lost += 1) === 1);
  t.is((await daemon.requestTurn(requestOf('r', 2_000))).kind, 'turn');
});

test('a daemon whose coordinator does not respond proceeds without a turn', async (t) => {
  const daemon = startDaemons(() => true);
  t.is((await daemon.requestTurn(requestOf('r', 2_000))).kind, 'ungranted');
});

test('a turn that arrives twice is not given back while it is used', async (t) => {
  const daemon = startDaemons();
  const first = requestOf('first', 2_000);
  t.is((await daemon.requestTurn(first)).kind, 'turn');
  daemon.onMessage({ kind: 'moveTurn', requestId: first.requestId, targetId: toId<ServerId>('x') });
  let isResolved = false;
  const second = daemon.requestTurn(requestOf('second', 3_000)).then((outcome) => {
    isResolved = true;
    return outcome;
  });
  await sleep(100);
  t.false(isResolved);
  daemon.releaseTurn(first.requestId);
  t.is((await second).kind, 'turn');
});
