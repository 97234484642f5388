import type { MonotonicClock } from '@laburnumgap/kernel';
import type { StandinServer } from './StandinServer.js';
import { jsonAnswer, startStandinServer } from './StandinServer.js';
import { setTimeout as sleep } from 'node:timers/promises';

/** Options of {@link startWeightsStandin}. */
export interface WeightsStandinOptions {
  /** Clock of the rate limit's window. */
  readonly clock?: MonotonicClock;
  /** Ends the process; without it, a kill closes the server and its connections. */
  readonly kill?: () => void;
  /** IP:PORT to listen on; port 0 takes a free port. */
  readonly listen: string;
  /** Transfers that may start within one window. */
  readonly maxTransfers?: number;
  /** Duration of one transfer. */
  readonly transferMs?: number;
  /** Length of the sliding window. */
  readonly windowMs?: number;
}

const DEFAULT_MAX_TRANSFERS = 2;
const DEFAULT_TRANSFER_MS = 50;
const DEFAULT_WINDOW_MS = 1000;
const MS_PER_SECOND = 1000;

/**
 * Starts a stand-in of the rate-limited weight store.
 *
 * @param options - address and rate limit
 * @returns the running stand-in
 * @throws when the address cannot be bound
 */
export async function startWeightsStandin(options: WeightsStandinOptions): Promise<StandinServer> {
  const windowMs = options.windowMs ?? DEFAULT_WINDOW_MS;
  const maxTransfers = options.maxTransfers ?? DEFAULT_MAX_TRANSFERS;
  const clock = options.clock ?? { nowMs: () => performance.now() };
  const counts = { refused: 0, transfers: 0 };
  let transferStartsMs: number[] = [];
  return startStandinServer({
    control: (call) => (call.path === '/control/counts' ? jsonAnswer(200, counts) : undefined),
    handle: async (request) => {
      if (!request.path.startsWith('/v1/weights/')) {
        return jsonAnswer(404, { error: 'unknownPath' });
      }
      const nowMs = clock.nowMs();
      transferStartsMs = transferStartsMs.filter((startMs) => startMs > nowMs - windowMs);
      if (transferStartsMs.length >= maxTransfers) {
        counts.refused += 1;
        const waitMs = (transferStartsMs[0] ?? nowMs) + windowMs - nowMs;
        const retryAfterS = String(Math.max(1, Math.ceil(waitMs / MS_PER_SECOND)));
        return jsonAnswer(429, { error: 'rateLimited' }, { 'retry-after': retryAfterS });
      }
      transferStartsMs.push(nowMs);
      counts.transfers += 1;
      await sleep(options.transferMs ?? DEFAULT_TRANSFER_MS);
      return jsonAnswer(200, { model: request.path.split('/').at(-1) });
    },
    kill: options.kill,
    listen: options.listen,
  });
}
