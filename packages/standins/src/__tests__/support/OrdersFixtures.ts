import type { EngineControl } from '@laburnumgap/engine';
import { createEngineControl } from '@laburnumgap/engine';
import type { DecisionRecord, PlatformStore } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { EngineReconciler, EngineReconcilerOptions } from '@laburnumgap/membership';
import { startEngineReconciler } from '@laburnumgap/membership';
import type { ExecutionContext } from 'ava';
import type { EngineStandinOptions } from '../../EngineStandin.js';
import { startEngineStandin } from '../../EngineStandin.js';
import type { StandinServer } from '../../StandinServer.js';

/** An engine stand-in with a control client. */
export interface EngineFixture {
  readonly control: EngineControl;
  readonly server: StandinServer;
}

/** Starts an engine stand-in. */
export async function engineFixture(
  t: ExecutionContext,
  options: Partial<EngineStandinOptions> = {},
): Promise<EngineFixture> {
  const server = await startEngineStandin({
    decodeIntervalMs: 1,
    listen: '127.0.0.1:0',
    models: ['m0'],
    ...options,
  });
  const control = createEngineControl({ deadlineMs: 1000, url: server.url });
  t.teardown(async () => {
    await control.close();
    await server.close();
  });
  return { control, server };
}

/** Orders of one member for one engine, with the decisions they made. */
export interface OrdersFixture {
  readonly decisions: DecisionRecord[];
  readonly orders: EngineReconciler;
  /** Waits for an order with that outcome and, where they are given, those models. */
  readonly untilOutcome: (outcome: string, models?: string) => Promise<void>;
}

/** Starts the orders of a member. */
export function ordersFixture(
  t: ExecutionContext,
  control: EngineControl,
  store: PlatformStore,
  options: Partial<EngineReconcilerOptions> = {},
): OrdersFixture {
  const decisions: DecisionRecord[] = [];
  let wake = (): void => undefined;
  const orders = startEngineReconciler({
    checksFencingNumbers: true,
    clock: { nowMs: () => performance.now() },
    control,
    decisions: {
      record: (decision) => {
        decisions.push(decision);
        wake();
      },
    },
    engineId: toId('e1'),
    holdsLease: () => true,
    orderTimeoutMs: 1000,
    self: { incarnation: toId('1'), memberId: toId('a') },
    store,
    ...options,
  });
  t.teardown(() => {
    orders.stop();
  });
  return {
    decisions,
    orders,
    untilOutcome: async (outcome, models) => {
      const isWanted = ({ fields }: DecisionRecord): boolean =>
        fields.outcome === outcome && (models === undefined || fields.models === models);
      while (!decisions.some(isWanted)) {
        await new Promise<void>((resolve) => (wake = resolve));
      }
    },
  };
}

/** Orders that took effect at an engine. */
export async function ordersInForce(server: StandinServer): Promise<readonly string[]> {
  const answer = await fetch(`${server.url}/control/orders`);
  const body = (await answer.json()) as { readonly orders: { readonly models: string[] }[] };
  return body.orders.map((order) => order.models.join(','));
}
