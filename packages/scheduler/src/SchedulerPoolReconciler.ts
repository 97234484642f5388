import type { DecisionSink, Member } from '@laburnumgap/kernel';
import type { PoolReconciler } from '@laburnumgap/membership';
import { createWeightPermits, startPoolReconciler } from '@laburnumgap/membership';
import type { Node } from '@laburnumgap/node';
import type { DaemonSettings } from '@laburnumgap/settings';

/** What the orders of a scheduler are started with. */
export interface SchedulerPoolReconcilerOptions {
  readonly decisions: DecisionSink;
  readonly member: Member;
  readonly node: Node;
  readonly settings: DaemonSettings;
}

/** Longest time of an order, a load of weights included. */
const ORDER_TIMEOUT_MS = 60_000;

/**
 * Starts ordering the engines that this scheduler owns to run their pools' models.
 *
 * @param options - the node, this member and the settings
 * @returns the running orders
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
