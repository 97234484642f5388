import type { MonotonicClock, PlatformStore, RandomSource, StoredValue } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';

/** Options of {@link createWeightPermits}. */
export interface WeightPermitsOptions {
  readonly clock: MonotonicClock;
  /** Longest time from sending an order until its transfer has started or failed, in milliseconds. */
  readonly orderTimeoutMs: number;
  readonly random: RandomSource;
  readonly store: PlatformStore;
  /** Number of transfers that the weight store allows to start within one window. */
  readonly transfersPerWindow: number;
  readonly windowMs: number;
}

/** Permission for one engine to start one transfer from the weight store. */
export interface WeightPermit {
  /** Whether the permit is still valid for starting the transfer. */
  mayStart(): boolean;
}

/** Limits the transfers started by all schedulers together to the weight store's rate. */
export interface WeightPermits {
  /** Acquires a permit; undefined if none is free or the store does not answer. */
  acquire(): Promise<WeightPermit | undefined>;
}

/** Key prefix of the permits in use. */
export const PERMIT_PREFIX = '/laburnum/weights/permits/';

/** Longest time between acquiring a permit and sending the order. */
const MAX_ORDER_START_DELAY_MS = 5000;

/**
 * Creates numbered permits in the platform's store. A permit is a key under its own lease, which is
 * never renewed: it lasts for the longest time in which the transfer can start plus one window, and
 * then expires. Each transfer costs one read and two writes.
 *
 * @param options - platform store, rate of the weight store and timeouts
 * @returns the permits
 */
export function createWeightPermits(options: WeightPermitsOptions): WeightPermits {
  const { clock, orderTimeoutMs, store, windowMs } = options;
  const ttlMs = MAX_ORDER_START_DELAY_MS + orderTimeoutMs + windowMs;
  return {
    acquire: async () => {
      const used = await store.range(PERMIT_PREFIX);
      if (!used.ok) {
        return undefined;
      }
      const number = pickFreeNumber(used.value.values, options);
      if (number === undefined) {
        return undefined;
      }
      const grantSentAtMs = clock.nowMs();
      const lease = await store.grantLease(ttlMs);
      if (!lease.ok) {
        return undefined;
      }
      const key = `${PERMIT_PREFIX}${number}`;
      const taken = await store.commit({
        guards: [{ key, modRevision: toNumberId(0) }],
        writes: [{ key, kind: 'put', leaseId: lease.value.leaseId, value: '' }],
      });
      if (!taken.ok) {
        return undefined;
      }
      return { mayStart: () => clock.nowMs() < grantSentAtMs + MAX_ORDER_START_DELAY_MS };
    },
  };
}

function pickFreeNumber(
  used: readonly StoredValue[],
  options: WeightPermitsOptions,
): number | undefined {
  const usedKeys = new Set(used.map((value) => value.key));
  const free = Array.from({ length: options.transfersPerWindow }, (_, index) => index).filter(
    (index) => !usedKeys.has(`${PERMIT_PREFIX}${index}`),
  );
  return free[Math.floor(options.random.nextUnit() * free.length)];
}
