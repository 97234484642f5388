import type { EngineId, EngineOrder } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import { createWeightPermits } from '@laburnumgap/membership';
import { createMemoryStore, PlatformStoreState } from '@laburnumgap/key-value';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { startWeightsStandin } from '../../WeightsStandin.js';
import { LockstepTimers } from '../support/LockstepTimers.js';
import {
  fetchAppliedOrders,
  startEngineFixture,
  startOrdersFixture,
} from '../support/OrdersFixtures.js';
import { injectFault, FakeClock } from '../support/StoreFixtures.js';

const ENGINE_COUNT = 6;
const TRANSFERS_PER_WINDOW = 2;
const WINDOW_MS = 2000;
const WANTED_CONFIGURATION = { adapters: [], models: ['m0', 'm1'], role: 'mixed' } as const;

test('an order whose answer was lost is checked by reading the state and not repeated', async (t) => {
  const { control, server } = await startEngineFixture(t);
  const { decisions, orders, waitForOutcome } = startOrdersFixture(t, control, createMemoryStore());
  await injectFault(server, { kind: 'loseAnswer', path: '/v1/orders' });
  orders.setTarget(WANTED_CONFIGURATION);
  await waitForOutcome('outcomeUnknown');
  // The next order is sent only after the engine's state has been read.
  const next = { ...WANTED_CONFIGURATION, models: ['m0'] };
  orders.setTarget(next);
  await waitForOutcome('inForce');
  t.deepEqual(await fetchAppliedOrders(server), ['m0,m1', 'm0']);
  t.deepEqual(
    decisions.filter(({ decision }) => decision === 'order').map(({ fields }) => fields.outcome),
    ['outcomeUnknown', 'inForce'],
  );
});

test('no order is sent and nothing is written when the engine already has the wanted configuration', async (t) => {
  const { control, server } = await startEngineFixture(t);
  const state = new PlatformStoreState();
  const { decisions, orders } = startOrdersFixture(t, control, createMemoryStore({ state }));
  orders.setTarget({ ...WANTED_CONFIGURATION, models: ['m0'] });
  for (let call = 0; call < 8; call += 1) {
    await control.state();
  }
  t.deepEqual(decisions, []);
  t.is(Number(state.revision), 1);
  t.deepEqual(await fetchAppliedOrders(server), []);
});

test('an engine that checks fencing numbers refuses orders of its previous owner', async (t) => {
  const { control } = await startEngineFixture(t);
  const store = createMemoryStore();
  const previousOwner = startOrdersFixture(t, control, store);
  previousOwner.orders.setTarget(WANTED_CONFIGURATION);
  await previousOwner.waitForOutcome('inForce');
  const self = { incarnation: toId<never>('1'), memberId: toId<never>('b') };
  const next = startOrdersFixture(t, control, store, { self });
  next.orders.setTarget({ ...WANTED_CONFIGURATION, models: ['m2'] });
  await next.waitForOutcome('inForce');
  previousOwner.orders.setTarget({ ...WANTED_CONFIGURATION, models: ['m3'] });
  await previousOwner.waitForOutcome('staleFencingNumber');
  const state = await control.state();
  t.deepEqual(state.ok && state.value.models, ['m2']);
});

test('a member without its lease sends no order', async (t) => {
  const { control, server } = await startEngineFixture(t);
  const state = new PlatformStoreState();
  let notifyDecision = (): void => undefined;
  const decisionRecorded = new Promise<void>((resolve) => (notifyDecision = resolve));
  const { orders } = startOrdersFixture(t, control, createMemoryStore({ state }), {
    decisions: {
      record: () => {
        notifyDecision();
      },
    },
    holdsLease: () => false,
  });
  orders.setTarget(WANTED_CONFIGURATION);
  await decisionRecorded;
  t.is(Number(state.revision), 1);
  t.deepEqual(await fetchAppliedOrders(server), []);
});

test('an order is not sent when the permission to send ends before the connection is ready', async (t) => {
  const { control, server } = await startEngineFixture(t);
  const order: EngineOrder = { ...WANTED_CONFIGURATION, fencingNumber: toNumberId(1) };
  const answer = await control.order(order, () => false);
  t.is(answer.ok ? 'ok' : answer.error.kind, 'unavailable');
  t.deepEqual(await fetchAppliedOrders(server), []);
});

test('a model whose weight transfer is refused is not loaded', async (t) => {
  const weights = await startWeightsStandin({ listen: '127.0.0.1:0', maxTransfers: 1 });
  t.teardown(() => weights.close());
  const { control } = await startEngineFixture(t, { weightStoreUrl: weights.url });
  await fetch(`${weights.url}/v1/weights/other`);
  const order: EngineOrder = { ...WANTED_CONFIGURATION, fencingNumber: toNumberId(1) };
  t.deepEqual(await control.order(order), {
    error: { kind: 'rejected', reason: 'weightsUnavailable', status: 503 },
    ok: false,
  });
  const state = await control.state();
  t.deepEqual(state.ok && state.value.models, ['m0']);
});

test('all schedulers together take no more permits than the rate limit of the weight store', async (t) => {
  const clock = new FakeClock();
  const state = new PlatformStoreState();
  const schedulers = Array.from({ length: 5 }, (_, index) =>
    createWeightPermits({
      clock,
      orderTimeoutMs: 20_000,
      random: { nextUnit: () => index / 5 },
      store: createMemoryStore({ clock, state }),
      transfersPerWindow: 3,
      windowMs: 10_000,
    }),
  );
  const takeAll = async () => {
    const taken = await Promise.all(schedulers.map((permits) => permits.acquire()));
    return taken.filter((permit) => permit !== undefined);
  };
  const first = [...(await takeAll()), ...(await takeAll())];
  t.is(first.length, 3);
  t.true(first.every((permit) => permit.mayStart()));
  clock.advance(5000);
  t.false(first.some((permit) => permit.mayStart()));
  clock.advance(29_999);
  t.is((await takeAll()).length, 0);
  clock.advance(1);
  t.is([...(await takeAll()), ...(await takeAll())].length, 3);
});

/**
 * Lets six engines of three schedulers load two models each at the same time.
 *
 * @returns the transfers that the weight store started and refused
 */
async function loadModelsOnAllEngines(t: ExecutionContext, withPermits: boolean) {
  const clock = new LockstepTimers(ENGINE_COUNT);
  const state = new PlatformStoreState();
  const weights = await startWeightsStandin({
    clock,
    listen: '127.0.0.1:0',
    maxTransfers: TRANSFERS_PER_WINDOW,
    transferMs: 0,
    windowMs: WINDOW_MS,
  });
  t.teardown(() => weights.close());
  const engineLoads = Array.from({ length: ENGINE_COUNT }, async (_, index) => {
    const store = createMemoryStore({ clock, state });
    const random = { nextUnit: () => index / ENGINE_COUNT };
    const permits = createWeightPermits({
      clock,
      orderTimeoutMs: 1000,
      random,
      store,
      transfersPerWindow: TRANSFERS_PER_WINDOW,
      windowMs: WINDOW_MS,
    });
    const { control } = await startEngineFixture(t, { weightStoreUrl: weights.url });
    const self = { incarnation: toId<never>('1'), memberId: toId<never>(`s${index % 3}`) };
    const { orders, waitForOutcome } = startOrdersFixture(t, control, store, {
      clock,
      engineId: toId<EngineId>(`e${index}`),
      permits: withPermits ? permits : undefined,
      random,
      self,
      timers: clock,
    });
    orders.setTarget({ ...WANTED_CONFIGURATION, models: ['m0', 'm1', 'm2'] });
    await waitForOutcome('inForce', 'm0,m1,m2');
  });
  await Promise.all(engineLoads);
  const counts = await fetch(`${weights.url}/control/counts`);
  return (await counts.json()) as { readonly refused: number; readonly transfers: number };
}

test('the weight store refuses no transfer with permits and some without them', async (t) => {
  t.deepEqual(await loadModelsOnAllEngines(t, true), { refused: 0, transfers: 12 });
  const withoutPermits = await loadModelsOnAllEngines(t, false);
  t.true(withoutPermits.refused > 0);
});
