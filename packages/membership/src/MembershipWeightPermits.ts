import type { MonotonicClock, PlatformStore, RandomSource, StoredValue } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';

/** Options of {@link createWeightPermits}. */
export interface WeightPermitsOptions {
  readonly clock: MonotonicClock;
  /** Longest time from sending an order until its transfer has started or failed. */
  readonly orderTimeoutMs: number;
  readonly random: RandomSource;
  readonly store: PlatformStore;
  /** Transfers that the weight store lets start within one window. */
  readonly transfersPerWindow: number;
  readonly windowMs: number;
}

/** The right to have one engine take weights from the weight store. */
export interface WeightPermit {
  /** Whether the transfer may still be started. */
  mayStart(): boolean;
}

/** Hands out permits so that all schedulers together keep within the weight store's rate. */
export interface WeightPermits {
  /** Takes a permit; undefined when none is free now or the store does not answer. */
  acquire(): Promise<WeightPermit | undefined>;
}

/** Prefix of the permits that are in use. */
export const PERMIT_PREFIX = '/laburnum/weights/permits/';

/** Longest time between taking a permit and sending the order. */
const MAX_ORDER_START_DELAY_MS = 5000;

/**
 * Creates a scheme of numbered permits in the platform's store. A permit is a key under a lease of
 * its own that nobody renews: it lasts for the longest time in which the transfer can start, and
 * one window more, and then lapses by itself. One read and two writes for each transfer.
 *
 * @param options - the store and the weight store's rate
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
