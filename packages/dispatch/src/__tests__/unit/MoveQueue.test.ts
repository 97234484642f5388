import type { MemberId, RequestId, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { MoveRequest } from '../../index.js';
import { MoveQueue } from '../../index.js';

function moveRequestOf(
  request: string,
  source: string,
  ...targets: readonly string[]
): MoveRequest {
  return {
    endsSoon: false,
    memberId: toId<MemberId>('m'),
    requestId: toId<RequestId>(request),
    sourceId: toId<ServerId>(source),
    targetIds: targets.map((target) => toId<ServerId>(target)),
    usedTokens: 3_000,
  };
}

function assigned(queue: MoveQueue, nowMs: number): readonly string[] {
  return queue
    .assignReady(nowMs)
    .map(({ request, targetId }) => `${request.requestId}>${targetId}`);
}

test('a source takes part in one copy at a time', (t) => {
  const queue = new MoveQueue();
  queue.enqueue(moveRequestOf('1', 's', 'a', 'b'), 0);
  queue.enqueue(moveRequestOf('2', 's', 'a', 'b'), 0);
  t.deepEqual(assigned(queue, 0), ['1>a']);
  t.deepEqual(assigned(queue, 100), []);
  queue.finish(toId<RequestId>('1'));
  t.deepEqual(assigned(queue, 200), ['2>b']);
});

test('small copies come first, and streams that end soon come last', (t) => {
  const queue = new MoveQueue();
  queue.enqueue({ ...moveRequestOf('ending', 's', 'a'), endsSoon: true, usedTokens: 100 }, 0);
  queue.enqueue({ ...moveRequestOf('large', 's', 'a'), usedTokens: 6_000 }, 0);
  queue.enqueue(moveRequestOf('small', 's', 'a'), 0);
  t.deepEqual(assigned(queue, 0), ['small>a']);
  queue.finish(toId<RequestId>('small'));
  t.deepEqual(assigned(queue, 200), ['large>a']);
  queue.finish(toId<RequestId>('large'));
  t.deepEqual(assigned(queue, 400), ['ending>a']);
});

test('copies from two sources take different targets', (t) => {
  const queue = new MoveQueue();
  queue.enqueue(moveRequestOf('1', 's1', 'a', 'b'), 0);
  queue.enqueue(moveRequestOf('2', 's2', 'a', 'b'), 0);
  t.deepEqual(assigned(queue, 0), ['1>a', '2>b']);
});

test('a copy waits when its only target is busy', (t) => {
  const queue = new MoveQueue();
  queue.enqueue(moveRequestOf('1', 's1', 'a'), 0);
  queue.enqueue(moveRequestOf('2', 's2', 'a'), 0);
  t.deepEqual(assigned(queue, 0), ['1>a']);
  queue.finish(toId<RequestId>('1'));
  t.deepEqual(assigned(queue, 10), ['2>a']);
});

test('a move whose end was never reported stops blocking its links', (t) => {
  const queue = new MoveQueue();
  queue.enqueue(moveRequestOf('1', 's', 'a'), 0);
  assigned(queue, 0);
  queue.enqueue(moveRequestOf('2', 's', 'a'), 1_000);
  t.deepEqual(assigned(queue, 1_400), []);
  t.deepEqual(assigned(queue, 1_600), ['2>a']);
});

test('a request that waited too long is dropped', (t) => {
  const queue = new MoveQueue();
  queue.enqueue(moveRequestOf('1', 's', 'a'), 0);
  t.true(queue.hasMoves());
  t.deepEqual(assigned(queue, 3_100), []);
  t.false(queue.hasMoves());
});

/** Simulates a leaving engine: the longest time for which the last piece of a copy waits. */
function longestPauseMs(isSerial: boolean): number {
  const copyMs = 190;
  const lastPieceMs = 6;
  const streams = 5;
  const queue = new MoveQueue();
  let longestMs = 0;
  let linkFreeMs = 0;
  for (let index = 0; index < streams; index += 1) {
    queue.enqueue(moveRequestOf(String(index), 's', 'a', 'b', 'c'), 0);
  }
  if (!isSerial) {
    // All copies share one link; the last piece of one waits behind the other copies.
    return copyMs * (streams - 1) + lastPieceMs;
  }
  for (let move = queue.assignReady(linkFreeMs)[0]; move; move = queue.assignReady(linkFreeMs)[0]) {
    linkFreeMs += copyMs + lastPieceMs;
    longestMs = Math.max(longestMs, lastPieceMs);
    queue.finish(move.request.requestId);
  }
  return longestMs;
}

test('one copy at a time keeps the pause of each moved stream short', (t) => {
  const maxPauseMs = 180;
  t.true(longestPauseMs(true) < maxPauseMs);
  t.true(longestPauseMs(false) > maxPauseMs);
});
