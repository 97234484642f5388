import type { IdempotencyKey } from '@laburnumgap/kernel';
import { RESULT_CODES, toId } from '@laburnumgap/kernel';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { v7 } from 'uuid';
import type { CallFaults } from '../utils/PlainCallsFaults.js';
import type { ObservedCall } from '../utils/PlainCallsSimulation.js';
import { PlainCallsSimulation } from '../utils/PlainCallsSimulation.js';

/** A fault at every step between the claim and the answer. */
const FAULTS_BY_STEP: Record<string, CallFaults> = {
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
  'caller gone before the call is sent': { callerDisconnected: true },
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

const MAX_RUNNING_MS = 15_000;

function newKey(simulation: PlainCallsSimulation): IdempotencyKey {
  return toId<IdempotencyKey>(v7({ msecs: simulation.epochMs }));
}

function describeOutcome({ outcome }: ObservedCall): string {
  if (outcome === undefined) {
    return 'no answer';
  }
  return outcome.kind === 'answer' ? outcome.answer.body.toString() : outcome.refusal.code;
}

function isNotRun({ outcome }: ObservedCall): boolean {
  return outcome?.kind === 'refusal' && RESULT_CODES[outcome.refusal.code].run === 'not_run';
}

/** Checks for at most one effect, and for none by calls that were answered as not run. */
function checkCalls(
  t: ExecutionContext,
  simulation: PlainCallsSimulation,
  key: IdempotencyKey,
  calls: readonly ObservedCall[],
  name: string,
): void {
  const effects = simulation.effectsByKey.get(key) ?? 0;
  t.true(effects <= 1, `${name}: ${effects} effects`);
  for (const call of calls) {
    t.false(isNotRun(call) && call.effects > 0, `${name}: ${describeOutcome(call)}`);
  }
  t.false(effects > 0 && calls.every(isNotRun), `${name}: all calls were answered as not run`);
}

test('a fault at any step leaves at most one effect, and the answers match it', async (t) => {
  const table: Record<string, string> = {};
  for (const [name, faults] of Object.entries(FAULTS_BY_STEP)) {
    const simulation = new PlainCallsSimulation();
    const key = newKey(simulation);
    const first = await simulation.call(key, faults);
    const again = await simulation.call(key);
    simulation.epochMs += MAX_RUNNING_MS;
    simulation.replaceLedgers();
    const last = await simulation.call(key);
    const effects = simulation.effectsByKey.get(key) ?? 0;
    const names = [first, again, last].map(describeOutcome);
    table[name] = `${names.join(' | ')} | effects ${effects}`;
    checkCalls(t, simulation, key, [first, again, last], name);
    simulation.stop();
  }
  t.snapshot(table, 'first call | immediate repetition | repetition after all VMs were replaced');
});

test('pairs of faults, one of a call and one of its repetition', async (t) => {
  for (const [firstName, firstFaults] of Object.entries(FAULTS_BY_STEP)) {
    for (const [secondName, secondFaults] of Object.entries(FAULTS_BY_STEP)) {
      const name = `${firstName}, then ${secondName}`;
      const simulation = new PlainCallsSimulation();
      const key = newKey(simulation);
      const calls = [
        await simulation.call(key, firstFaults),
        await simulation.call(key, secondFaults),
      ];
      simulation.epochMs += MAX_RUNNING_MS;
      simulation.replaceLedgers();
      calls.push(await simulation.call(key));
      checkCalls(t, simulation, key, calls, name);
      simulation.stop();
    }
  }
});

test('concurrent calls with the same key run once', async (t) => {
  const simulation = new PlainCallsSimulation();
  const key = newKey(simulation);
  const calls = await Promise.all([
    simulation.call(key),
    simulation.call(key),
    simulation.call(key),
  ]);
  t.is(simulation.effectsByKey.get(key), 1);
  t.is(calls.filter((call) => call.effects === 1).length, 1);
  checkCalls(t, simulation, key, calls, 'at once');
  simulation.stop();
});

test('a key is refused with another body, and outside its retention window', async (t) => {
  const simulation = new PlainCallsSimulation();
  const key = newKey(simulation);
  t.is(describeOutcome(await simulation.call(key)), 'done by 1');
  t.is(describeOutcome(await simulation.call(key, {}, 'five')), 'IDEMPOTENCY_KEY_REUSED');
  const old = toId<IdempotencyKey>(v7({ msecs: simulation.epochMs - 15 * 60_000 - 1 }));
  t.is(describeOutcome(await simulation.call(old)), 'IDEMPOTENCY_KEY_EXPIRED');
  const future = toId<IdempotencyKey>(v7({ msecs: simulation.epochMs + 31_000 }));
  t.is(describeOutcome(await simulation.call(future)), 'IDEMPOTENCY_KEY_IN_FUTURE');
  t.deepEqual([...simulation.effectsByKey.values()], [1]);
  simulation.stop();
});
