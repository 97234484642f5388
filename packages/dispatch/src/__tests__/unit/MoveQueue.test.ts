import type { MemberId, RequestId, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { MoveRequest } from '../../index.js';
import { MoveQueue } from '../../index.js';

function wishOf(request: string, source: string, ...targets: readonly string[]): MoveRequest {
  return {
    endsSoon: false,
    memberId: toId<MemberId>('m'),
    requestId: toId<RequestId>(request),
    sourceId: toId<ServerId>(source),
    targetIds: targets.map((target) => toId<ServerId>(target)),
    usedTokens: 3_000,
  };
}

function given(turns: MoveQueue, nowMs: number): readonly string[] {
  return turns
    .assignReady(nowMs)
    .map(({ targetId, request: wish }) => `${wish.requestId}>${targetId}`);
}

test('one copy at a time leaves a source', (t) => {
  const turns = new MoveQueue();
  turns.enqueue(wishOf('1', 's', 'a', 'b'), 0);
  turns.enqueue(wishOf('2', 's', 'a', 'b'), 0);
  t.deepEqual(given(turns, 0), ['1>a']);
  t.deepEqual(given(turns, 100), []);
  turns.finish(toId<RequestId>('1'));
  t.deepEqual(given(turns, 200), ['2>b']);
});

test('small copies come first, and streams that end by themselves last', (t) => {
  const turns = new MoveQueue();
  turns.enqueue({ ...wishOf('ending', 's', 'a'), endsSoon: true, usedTokens: 100 }, 0);
  turns.enqueue({ ...wishOf('large', 's', 'a'), usedTokens: 6_000 }, 0);
  turns.enqueue(wishOf('small', 's', 'a'), 0);
  t.deepEqual(given(turns, 0), ['small>a']);
  turns.finish(toId<RequestId>('small'));
  t.deepEqual(given(turns, 200), ['large>a']);
  turns.finish(toId<RequestId>('large'));
  t.deepEqual(given(turns, 400), ['ending>a']);
});

test('copies from two sources take different targets', (t) => {
  const turns = new MoveQueue();
  turns.enqueue(wishOf('1', 's1', 'a', 'b'), 0);
  turns.enqueue(wishOf('2', 's2', 'a', 'b'), 0);
  t.deepEqual(given(turns, 0), ['1>a', '2>b']);
});

test('a copy waits when its only target is busy', (t) => {
  const turns = new MoveQueue();
  turns.enqueue(wishOf('1', 's1', 'a'), 0);
  turns.enqueue(wishOf('2', 's2', 'a'), 0);
  t.deepEqual(given(turns, 0), ['1>a']);
  turns.finish(toId<RequestId>('1'));
  t.deepEqual(given(turns, 10), ['2>a']);
});

test('a turn whose end was lost does not block its links for good', (t) => {
  const turns = new MoveQueue();
  turns.enqueue(wishOf('1', 's', 'a'), 0);
  given(turns, 0);
  turns.enqueue(wishOf('2', 's', 'a'), 1_000);
  t.deepEqual(given(turns, 1_400), []);
  t.deepEqual(given(turns, 1_600), ['2>a']);
});

test('a wish that nobody waits for any more is forgotten', (t) => {
  const turns = new MoveQueue();
  turns.enqueue(wishOf('1', 's', 'a'), 0);
  t.true(turns.hasMoves());
  t.deepEqual(given(turns, 3_100), []);
  t.false(turns.hasMoves());
});

/** Replays an engine with many streams: the longest time that a last piece waits for a link. */
function longestPauseMs(isSerial: boolean): number {
  const copyMs = 190;
  const lastMs = 6;
  const streams = 5;
  const turns = new MoveQueue();
  let longest = 0;
  let linkFreeMs = 0;
  for (let index = 0; index < streams; index += 1) {
    turns.enqueue(wishOf(String(index), 's', 'a', 'b', 'c'), 0);
  }
  if (!isSerial) {
    // All copies start at once on one link; a last piece queues behind the copies that are left.
    return copyMs * (streams - 1) + lastMs;
  }
  for (let turn = turns.assignReady(linkFreeMs)[0]; turn; turn = turns.assignReady(linkFreeMs)[0]) {
    linkFreeMs += copyMs + lastMs;
    longest = Math.max(longest, lastMs);
    turns.finish(turn.request.requestId);
  }
  return longest;
}

test('turns keep the pause of each moved stream short', (t) => {
  const maxPauseMs = 180;
  t.true(longestPauseMs(true) < maxPauseMs);
  t.true(longestPauseMs(false) > maxPauseMs);
});
