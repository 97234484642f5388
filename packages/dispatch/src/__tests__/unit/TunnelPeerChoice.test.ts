import type { MemberId, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { TunnelPeer, TunnelFailure } from '../../index.js';
import { TunnelPeerChoice } from '../../index.js';

const SERVER = toId<ServerId>('s1');
const OTHER_SERVER = toId<ServerId>('s2');

function candidates(count: number): readonly TunnelPeer[] {
  return Array.from({ length: count }, (_, index) => ({
    host: `10.0.0.${index}`,
    memberId: toId<MemberId>(`m${index}`),
  }));
}

/** Reproducible random numbers in [0, 1). */
function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}

function choose(
  choice: TunnelPeerChoice,
  among: readonly TunnelPeer[],
  nowMs: number,
  serverId = SERVER,
): MemberId | undefined {
  const randomUnit = (): number => 0;
  const input = { candidates: among, excluded: new Set<MemberId>(), nowMs, randomUnit, serverId };
  return choice.choose(input)?.memberId;
}

for (const [cutOff, helpers, maxRatio] of [
  [4, 2, 1.5],
  [60, 135, 2.5],
] as const) {
  test(`${cutOff} daemons that are cut off spread their connections over ${helpers} others`, (t) => {
    const loads = new Map<MemberId, number>();
    const among = candidates(helpers);
    const connections = 40;
    for (let daemon = 0; daemon < cutOff; daemon += 1) {
      const choice = new TunnelPeerChoice();
      const randomUnit = seededRandom(daemon + 1);
      for (let count = 0; count < connections; count += 1) {
        const excluded = new Set<MemberId>();
        const input = { candidates: among, excluded, nowMs: 0, randomUnit, serverId: SERVER };
        const peer = choice.choose(input);
        if (peer) {
          choice.recordOpened(peer.memberId);
          loads.set(peer.memberId, (loads.get(peer.memberId) ?? 0) + 1);
        }
      }
    }
    const mean = (cutOff * connections) / helpers;
    t.true(Math.max(...loads.values()) <= maxRatio * mean, `${Math.max(...loads.values())}`);
  });
}

const HOLDS: readonly (readonly [TunnelFailure, number, boolean])[] = [
  ['busy', 250, false],
  ['refused', 1_000, true],
  ['silent', 2_000, false],
  ['unanswered', 1_000, true],
  ['unavailable', 1_000, false],
];

for (const [failure, holdMs, isForServer] of HOLDS) {
  test(`a daemon that was ${failure} is left out for ${holdMs} ms${isForServer ? ' for that server' : ''}`, (t) => {
    const choice = new TunnelPeerChoice();
    const [first, second] = candidates(2);
    if (!first || !second) {
      t.fail();
      return;
    }
    choice.recordFailure(first.memberId, SERVER, failure, 0);
    t.is(choose(choice, [first, second], holdMs - 1), second.memberId);
    t.is(choose(choice, [first, second], holdMs), first.memberId);
    const forOther = isForServer ? first.memberId : second.memberId;
    t.is(choose(choice, [first, second], holdMs - 1, OTHER_SERVER), forOther);
  });
}

test('a daemon that was silent is asked again when there is no other', (t) => {
  const choice = new TunnelPeerChoice();
  const [only] = candidates(1);
  if (!only) {
    t.fail();
    return;
  }
  choice.recordFailure(only.memberId, SERVER, 'silent', 0);
  t.is(choose(choice, [only], 100), only.memberId);
  const excluded = new Set([only.memberId]);
  const input = { candidates: [only], excluded, nowMs: 100, randomUnit: () => 0 };
  t.is(choice.choose({ ...input, serverId: SERVER }), undefined, 'asked twice for one connection');
});

test('of two daemons the one with fewer open connections is chosen', (t) => {
  const choice = new TunnelPeerChoice();
  const among = candidates(2);
  const picks = [0, 0.9];
  let calls = 0;
  const randomUnit = (): number => picks[calls++ % 2] ?? 0;
  const input = { candidates: among, excluded: new Set<MemberId>(), nowMs: 0, randomUnit };
  choice.recordOpened(toId<MemberId>('m0'));
  t.is(choice.choose({ ...input, serverId: SERVER })?.memberId, toId<MemberId>('m1'));
  choice.recordClosed(toId<MemberId>('m0'));
  t.is(choice.choose({ ...input, serverId: SERVER })?.memberId, toId<MemberId>('m0'));
});
