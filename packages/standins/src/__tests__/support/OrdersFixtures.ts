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

/** An engine stand-in and a control client of it. */
export interface EngineFixture {
  readonly control: EngineControl;
  readonly server: StandinServer;
}

/** Starts an engine stand-in that serves the model `m0`, with a control client. */
export async function startEngineFixture(
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

/** Order loop of one member for one engine, with its decision records. */
export interface OrdersFixture {
  readonly decisions: DecisionRecord[];
  readonly orders: EngineReconciler;
  /** Waits until an order with the outcome and, if given, the models is recorded. */
  readonly waitForOutcome: (outcome: string, models?: string) => Promise<void>;
}

/** Starts the order loop of a member; its decisions are recorded. */
export function startOrdersFixture(
  t: ExecutionContext,
  control: EngineControl,
  store: PlatformStore,
  options: Partial<EngineReconcilerOptions> = {},
): OrdersFixture {
  const decisions: DecisionRecord[] = [];
  let notifyWaiter = (): void => undefined;
  const orders = startEngineReconciler({
    checksFencingNumbers: true,
    clock: { nowMs: () => performance.now() },
    control,
    decisions: {
      record: (decision) => {
        decisions.push(decision);
        notifyWaiter();
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
    waitForOutcome: async (outcome, models) => {
      const matches = ({ fields }: DecisionRecord): boolean =>
        fields.outcome === outcome && (models === undefined || fields.models === models);
      while (!decisions.some(matches)) {
        await new Promise<void>((resolve) => (notifyWaiter = resolve));
      }
    },
  };
}

/** Fetches the orders that an engine applied, each as its models joined by commas. */
export async function fetchAppliedOrders(server: StandinServer): Promise<readonly string[]> {
  const answer = await fetch(`${server.url}/control/orders`);
  const body = (await answer.json()) as { readonly orders: { readonly models: string[] }[] };
  return body.orders.map((order) => order.models.join(','));
}
