import type { DecisionSink, Member } from '@laburnumgap/kernel';
import type { PoolReconciler } from '@laburnumgap/membership';
import { createWeightPermits, startPoolReconciler } from '@laburnumgap/membership';
import type { Node } from '@laburnumgap/node';
import type { DaemonSettings } from '@laburnumgap/settings';

/** Options of {@link startSchedulerPoolReconciler}. */
export interface SchedulerPoolReconcilerOptions {
  readonly decisions: DecisionSink;
  readonly member: Member;
  readonly node: Node;
  readonly settings: DaemonSettings;
}

/** Longest time for an order, including the loading of weights. */
const ORDER_TIMEOUT_MS = 60_000;

/**
 * Starts the reconcilers that keep the engines owned by this scheduler on their pools' models.
 *
 * @param options - node, this member, settings and decision log
 * @returns the running reconcilers
 */
export function startSchedulerPoolReconciler(
  options: SchedulerPoolReconcilerOptions,
): PoolReconciler {
  const { decisions, member, node, settings } = options;
  const { clock, directory, random, servers, store } = node;
  const { weightStore } = settings.platform;
  const permits =
    weightStore &&
    createWeightPermits({ ...weightStore, clock, orderTimeoutMs: ORDER_TIMEOUT_MS, random, store });
  return startPoolReconciler({
    clock,
    decisions,
    directory,
    holdsLease: () => node.holdsLease(),
    member,
    orderTimeoutMs: ORDER_TIMEOUT_MS,
    permits,
    pools: settings.enginePools,
    random,
    servers,
    store,
  });
}
