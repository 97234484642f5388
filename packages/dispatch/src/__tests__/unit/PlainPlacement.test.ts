import type { FailureDomainId, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import { ServerHealth, placePlainCall } from '../../index.js';
import { serverOf } from '../support/DispatchFixtures.js';

const SERVERS = [serverOf('a'), serverOf('b'), serverOf('c')];
const [A, B, C] = SERVERS.map(({ serverId }) => serverId) as [ServerId, ServerId, ServerId];

function place(
  health: ServerHealth,
  options: {
    calls?: ReadonlyMap<ServerId, number>;
    excluded?: readonly ServerId[];
    nowMs?: number;
  } = {},
): ServerId | undefined {
  return placePlainCall({
    callsInFlight: (serverId) => options.calls?.get(serverId) ?? 0,
    excluded: new Set(options.excluded),
    failureDomain: toId<FailureDomainId>('a'),
    health,
    nowMs: options.nowMs ?? 0,
    randomUnit: () => 0.5,
    servers: SERVERS,
  })?.serverId;
}

test('the server with the fewest calls is chosen', (t) => {
  t.is(
    place(new ServerHealth(), {
      calls: new Map([
        [A, 2],
        [B, 1],
        [C, 3],
      ]),
    }),
    B,
  );
});

test('a call is sent to each server at most once', (t) => {
  t.is(place(new ServerHealth(), { excluded: [A, B] }), C);
  t.is(place(new ServerHealth(), { excluded: [A, B, C] }), undefined);
});

test('a server that fails part of its calls gets fewer calls', (t) => {
  const health = new ServerHealth();
  for (let call = 0; call < 20; call += 1) {
    health.recordOutcome(A, call % 2 === 0 ? 'failed' : 'answered', 20, call);
    health.recordOutcome(B, 'answered', 20, call);
    health.recordOutcome(C, 'answered', 20, call);
  }
  t.is(
    place(health, {
      calls: new Map([
        [B, 1],
        [C, 1],
      ]),
    }),
    B,
  );
});

test('a service whose servers all fail still gets calls', (t) => {
  const health = new ServerHealth();
  for (const serverId of [A, B, C]) {
    health.recordOutcome(serverId, 'unreachable', 0, 0);
    for (let call = 0; call < 20; call += 1) {
      health.recordOutcome(serverId, 'failed', 20, 0);
    }
    health.recordOutcome(serverId, 'unreachable', 0, 0);
  }
  t.not(place(health, { nowMs: 1 }), undefined);
});

test('an unreachable server is excluded with a growing backoff', (t) => {
  const health = new ServerHealth();
  health.recordOutcome(A, 'unreachable', 0, 0);
  t.true(health.isUnreachable(A, 499));
  t.false(health.isUnreachable(A, 500));
  health.recordOutcome(A, 'unreachable', 0, 600);
  t.true(health.isUnreachable(A, 1_599));
  t.false(health.isUnreachable(A, 1_600));
  health.recordOutcome(A, 'answered', 10, 1_700);
  t.false(health.isUnreachable(A, 1_701));
});

test('the health of removed servers is dropped', (t) => {
  const health = new ServerHealth();
  health.recordOutcome(A, 'failed', 10, 0);
  health.retain(() => false);
  t.is(health.failureShare(A), 0);
});

test('a service whose servers are all silent gets no calls until a backoff is over', (t) => {
  const health = new ServerHealth();
  [A, B, C].forEach((serverId, index) => {
    health.recordOutcome(serverId, 'silent', 0, index * 100);
  });
  t.is(place(health, { nowMs: 499 }), undefined);
  t.is(place(health, { nowMs: 500 }), A);
  health.recordTrial(A, 500);
  t.is(place(health, { nowMs: 501 }), undefined, 'one call tries');
  health.recordConnected(A);
  t.is(place(health, { nowMs: 502 }), A);
  health.recordOutcome(A, 'silent', 0, 800);
  t.true(health.isSilent(A, 1_799));
  t.false(health.isSilent(A, 1_800));
  health.recordOutcome(B, 'unreachable', 0, 800);
  t.is(
    place(health, { excluded: [A, C], nowMs: 801 }),
    B,
    'a connection that is refused costs no time',
  );
});
