import type { EngineId, EngineOrder } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import { createWeightPermits } from '@laburnumgap/membership';
import { createMemoryStore, PlatformStoreState } from '@laburnumgap/key-value';
import type { ExecutionContext } from 'ava';
import test from 'ava';
import { startWeightsStandin } from '../../WeightsStandin.js';
import { LoopTimers } from '../support/LoopTimers.js';
import { engineFixture, ordersFixture, ordersInForce } from '../support/OrdersFixtures.js';
import { HandClock, orderFault } from '../support/StoreFixtures.js';

const ENGINES = 6;
const TRANSFERS_PER_WINDOW = 2;
const WINDOW_MS = 2000;
const WANTED = { adapters: [], models: ['m0', 'm1'], role: 'mixed' } as const;

test('an order whose answer was lost is read back and not repeated', async (t) => {
  const { control, server } = await engineFixture(t);
  const { decisions, orders, untilOutcome } = ordersFixture(t, control, createMemoryStore());
  await orderFault(server, { kind: 'loseAnswer', path: '/v1/orders' });
  orders.setTarget(WANTED);
  await untilOutcome('outcomeUnknown');
  // The next want can only be met after the state has been read back.
  const next = { ...WANTED, models: ['m0'] };
  orders.setTarget(next);
  await untilOutcome('inForce');
  t.deepEqual(await ordersInForce(server), ['m0,m1', 'm0']);
  t.deepEqual(
    decisions.filter(({ decision }) => decision === 'order').map(({ fields }) => fields.outcome),
    ['outcomeUnknown', 'inForce'],
  );
});

test('nothing is ordered, and the store is not asked, when the engine runs what is wanted', async (t) => {
  const { control, server } = await engineFixture(t);
  const state = new PlatformStoreState();
  const { decisions, orders } = ordersFixture(t, control, createMemoryStore({ state }));
  orders.setTarget({ ...WANTED, models: ['m0'] });
  for (let call = 0; call < 8; call += 1) {
    await control.state();
  }
  t.deepEqual(decisions, []);
  t.is(Number(state.revision), 1);
  t.deepEqual(await ordersInForce(server), []);
});

test('an engine that checks numbers refuses the old holder, which stands back', async (t) => {
  const { control } = await engineFixture(t);
  const store = createMemoryStore();
  const old = ordersFixture(t, control, store);
  old.orders.setTarget(WANTED);
  await old.untilOutcome('inForce');
  const self = { incarnation: toId<never>('1'), memberId: toId<never>('b') };
  const next = ordersFixture(t, control, store, { self });
  next.orders.setTarget({ ...WANTED, models: ['m2'] });
  await next.untilOutcome('inForce');
  old.orders.setTarget({ ...WANTED, models: ['m3'] });
  await old.untilOutcome('staleFencingNumber');
  const state = await control.state();
  t.deepEqual(state.ok && state.value.models, ['m2']);
});

test('without its lease a member sends nothing', async (t) => {
  const { control, server } = await engineFixture(t);
  const state = new PlatformStoreState();
  let waited = (): void => undefined;
  const waits = new Promise<void>((resolve) => (waited = resolve));
  const { orders } = ordersFixture(t, control, createMemoryStore({ state }), {
    decisions: {
      record: () => {
        waited();
      },
    },
    holdsLease: () => false,
  });
  orders.setTarget(WANTED);
  await waits;
  t.is(Number(state.revision), 1);
  t.deepEqual(await ordersInForce(server), []);
});

test('an order is not written when the right to send ends before the connection is ready', async (t) => {
  const { control, server } = await engineFixture(t);
  const order: EngineOrder = { ...WANTED, fencingNumber: toNumberId(1) };
  const answer = await control.order(order, () => false);
  t.is(answer.ok ? 'ok' : answer.error.kind, 'unavailable');
  t.deepEqual(await ordersInForce(server), []);
});

test('a model whose weights are refused is not in force', async (t) => {
  const weights = await startWeightsStandin({ listen: '127.0.0.1:0', maxTransfers: 1 });
  t.teardown(() => weights.close());
  const { control } = await engineFixture(t, { weightStoreUrl: weights.url });
  await fetch(`${weights.url}/v1/weights/other`);
  const order: EngineOrder = { ...WANTED, fencingNumber: toNumberId(1) };
  t.deepEqual(await control.order(order), {
    error: { kind: 'rejected', reason: 'weightsUnavailable', status: 503 },
    ok: false,
  });
  const state = await control.state();
  t.deepEqual(state.ok && state.value.models, ['m0']);
});

test('all schedulers together take no more permits than the weight store allows', async (t) => {
  const clock = new HandClock();
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

/** Six engines of three schedulers load two models each at once; counts what the weight store saw. */
async function loadEverywhere(t: ExecutionContext, withPermits: boolean) {
  const clock = new LoopTimers(ENGINES);
  const state = new PlatformStoreState();
  const weights = await startWeightsStandin({
    clock,
    listen: '127.0.0.1:0',
    maxTransfers: TRANSFERS_PER_WINDOW,
    transferMs: 0,
    windowMs: WINDOW_MS,
  });
  t.teardown(() => weights.close());
  const outcomes = Array.from({ length: ENGINES }, async (_, index) => {
    const store = createMemoryStore({ clock, state });
    const random = { nextUnit: () => index / ENGINES };
    const permits = createWeightPermits({
      clock,
      orderTimeoutMs: 1000,
      random,
      store,
      transfersPerWindow: TRANSFERS_PER_WINDOW,
      windowMs: WINDOW_MS,
    });
    const { control } = await engineFixture(t, { weightStoreUrl: weights.url });
    const self = { incarnation: toId<never>('1'), memberId: toId<never>(`s${index % 3}`) };
    const { orders, untilOutcome } = ordersFixture(t, control, store, {
      clock,
      engineId: toId<EngineId>(`e${index}`),
      permits: withPermits ? permits : undefined,
      random,
      self,
      timers: clock,
    });
    orders.setTarget({ ...WANTED, models: ['m0', 'm1', 'm2'] });
    await untilOutcome('inForce', 'm0,m1,m2');
  });
  await Promise.all(outcomes);
  const counts = await fetch(`${weights.url}/control/counts`);
  return (await counts.json()) as { readonly refused: number; readonly transfers: number };
}

test('with permits the weight store never refuses; without them it does', async (t) => {
  t.deepEqual(await loadEverywhere(t, true), { refused: 0, transfers: 12 });
  const naive = await loadEverywhere(t, false);
  t.true(naive.refused > 0);
});
