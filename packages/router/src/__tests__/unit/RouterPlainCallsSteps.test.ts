import type { IdempotencyKey } from '@laburnumgap/kernel';
import { RESULT_CODES, toId } from '@laburnumgap/kernel';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { v7 } from 'uuid';
import type { CallFaults } from '../utils/PlainCallsFaults.js';
import type { SeenCall } from '../utils/PlainCallsWorld.js';
import { PlainCallsWorld } from '../utils/PlainCallsWorld.js';

/** Every step between claim and answer, and who or what fails there. */
const STEPS: Record<string, CallFaults> = {
  none: {},
  'router dies before the claim': { routerDiesAt: 'before the claim' },
  'claim request lost': { loseClaimRequest: true },
  'claim commit unavailable': { claimCommit: 'unavailable' },
  'claim commit applied, its answer lost': { claimCommit: 'applied, no answer' },
  'claim commit not applied, its answer lost': { claimCommit: 'not applied, no answer' },
  'ledger dies before the claim commit': {
    claimCommit: 'not applied, no answer',
    ledgerDiesAtClaim: true,
  },
  'ledger dies after the claim commit': {
    claimCommit: 'applied, no answer',
    ledgerDiesAtClaim: true,
  },
  'claim reply lost': { loseClaimReply: true },
  'router dies with the claim': { routerDiesAt: 'claim granted' },
  'router pauses with the claim': { routerPausesAt: 'claim granted' },
  'no server takes a connection': { server: 'no connection' },
  'router dies connected': { routerDiesAt: 'connected' },
  'router pauses connected': { routerPausesAt: 'connected' },
  'caller gone before the call is sent': { callerGone: true },
  'reset before the effect': { server: 'reset before the effect' },
  'reset after the effect': { server: 'reset after the effect' },
  'answer too late': { server: 'answer too late' },
  'router dies with the answer': { routerDiesAt: 'answer received' },
  'router pauses with the answer': { routerPausesAt: 'answer received' },
  'settle commit unavailable': { settleCommit: 'unavailable' },
  'settle commit applied, its answer lost': { settleCommit: 'applied, no answer' },
  'settle commit not applied, its answer lost': { settleCommit: 'not applied, no answer' },
  'ledger dies before the settle commit': {
    ledgerDiesAtSettle: true,
    settleCommit: 'not applied, no answer',
  },
  'ledger dies after the settle commit': {
    ledgerDiesAtSettle: true,
    settleCommit: 'applied, no answer',
  },
  'router dies once the answer is recorded': { routerDiesAt: 'answer recorded' },
};

const RUNNING_AT_MOST_MS = 15_000;

function newKey(world: PlainCallsWorld): IdempotencyKey {
  return toId<IdempotencyKey>(v7({ msecs: world.epochMs }));
}

function nameOf({ outcome }: SeenCall): string {
  if (outcome === undefined) {
    return 'no answer';
  }
  return outcome.kind === 'answer' ? outcome.answer.body.toString() : outcome.refusal.code;
}

function isNotRun({ outcome }: SeenCall): boolean {
  return outcome?.kind === 'refusal' && RESULT_CODES[outcome.refusal.code].run === 'not_run';
}

/** At most one effect; none by a call that is said not to have run, nor if all are said so. */
function checkCalls(
  t: ExecutionContext,
  world: PlainCallsWorld,
  key: IdempotencyKey,
  calls: readonly SeenCall[],
  name: string,
): void {
  const effects = world.effectsByKey.get(key) ?? 0;
  t.true(effects <= 1, `${name}: ${effects} effects`);
  for (const call of calls) {
    t.false(isNotRun(call) && call.effects > 0, `${name}: ${nameOf(call)}`);
  }
  t.false(effects > 0 && calls.every(isNotRun), `${name}: all calls are said not to have run`);
}

test('a fault at any step leaves at most one effect, and true answers', async (t) => {
  const table: Record<string, string> = {};
  for (const [name, faults] of Object.entries(STEPS)) {
    const world = new PlainCallsWorld();
    const key = newKey(world);
    const first = await world.call(key, faults);
    const again = await world.call(key);
    world.epochMs += RUNNING_AT_MOST_MS;
    world.replaceAll();
    const last = await world.call(key);
    const effects = world.effectsByKey.get(key) ?? 0;
    const names = [first, again, last].map(nameOf);
    table[name] = `${names.join(' | ')} | effects ${effects}`;
    checkCalls(t, world, key, [first, again, last], name);
    world.stop();
  }
  t.snapshot(table, 'first call | again at once | after all VMs were replaced');
});

test('faults in pairs, of a call and of its repetition', async (t) => {
  for (const [firstName, firstFaults] of Object.entries(STEPS)) {
    for (const [secondName, secondFaults] of Object.entries(STEPS)) {
      const name = `${firstName}, then ${secondName}`;
      const world = new PlainCallsWorld();
      const key = newKey(world);
      const calls = [await world.call(key, firstFaults), await world.call(key, secondFaults)];
      world.epochMs += RUNNING_AT_MOST_MS;
      world.replaceAll();
      calls.push(await world.call(key));
      checkCalls(t, world, key, calls, name);
      world.stop();
    }
  }
});

test('two routers get the same key at once', async (t) => {
  const world = new PlainCallsWorld();
  const key = newKey(world);
  const calls = await Promise.all([world.call(key), world.call(key), world.call(key)]);
  t.is(world.effectsByKey.get(key), 1);
  t.is(calls.filter((call) => call.effects === 1).length, 1);
  checkCalls(t, world, key, calls, 'at once');
  world.stop();
});

test('a key is refused with another body, and outside its window', async (t) => {
  const world = new PlainCallsWorld();
  const key = newKey(world);
  t.is(nameOf(await world.call(key)), 'done by 1');
  t.is(nameOf(await world.call(key, {}, 'five')), 'IDEMPOTENCY_KEY_REUSED');
  const old = toId<IdempotencyKey>(v7({ msecs: world.epochMs - 15 * 60_000 - 1 }));
  t.is(nameOf(await world.call(old)), 'IDEMPOTENCY_KEY_EXPIRED');
  const future = toId<IdempotencyKey>(v7({ msecs: world.epochMs + 31_000 }));
  t.is(nameOf(await world.call(future)), 'IDEMPOTENCY_KEY_IN_FUTURE');
  t.deepEqual([...world.effectsByKey.values()], [1]);
  world.stop();
});
