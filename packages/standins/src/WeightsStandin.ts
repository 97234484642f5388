import type { MonotonicClock } from '@laburnumgap/kernel';
import type { StandinServer } from './StandinServer.js';
import { startStandinServer, whole } from './StandinServer.js';
import { setTimeout as sleep } from 'node:timers/promises';

/** Options of {@link startWeightsStandin}. */
export interface WeightsStandinOptions {
  /** Measures the window. */
  readonly clock?: MonotonicClock;
  readonly kill?: () => void;
  readonly listen: string;
  /** Transfers that may start within one window. */
  readonly maxTransfers?: number;
  readonly transferMs?: number;
  readonly windowMs?: number;
}

const DEFAULT_MAX_TRANSFERS = 2;
const DEFAULT_TRANSFER_MS = 50;
const DEFAULT_WINDOW_MS = 1000;
const MS_PER_SECOND = 1000;

/**
 * Starts a stand-in of the rate-limited weight store.
 *
 * @param options - address and rate
 * @returns the running stand-in
 * @throws when the address cannot be bound
 */
export async function startWeightsStandin(options: WeightsStandinOptions): Promise<StandinServer> {
  const windowMs = options.windowMs ?? DEFAULT_WINDOW_MS;
  const maxTransfers = options.maxTransfers ?? DEFAULT_MAX_TRANSFERS;
  const clock = options.clock ?? { nowMs: () => performance.now() };
  const counts = { refused: 0, transfers: 0 };
  let startsMs: number[] = [];
  return startStandinServer({
    control: (request) => (request.path === '/control/counts' ? whole(200, counts) : undefined),
    handle: async (request) => {
      if (!request.path.startsWith('/v1/weights/')) {
        return whole(404, { error: 'unknownPath' });
      }
      const nowMs = clock.nowMs();
      startsMs = startsMs.filter((startMs) => startMs > nowMs - windowMs);
      if (startsMs.length >= maxTransfers) {
        counts.refused += 1;
        const waitMs = (startsMs[0] ?? nowMs) + windowMs - nowMs;
        const retryAfterS = String(Math.max(1, Math.ceil(waitMs / MS_PER_SECOND)));
        return whole(429, { error: 'rateLimited' }, { 'retry-after': retryAfterS });
      }
      startsMs.push(nowMs);
      counts.transfers += 1;
      await sleep(options.transferMs ?? DEFAULT_TRANSFER_MS);
      return whole(200, { model: request.path.split('/').at(-1) });
    },
    kill: options.kill,
    listen: options.listen,
  });
}
