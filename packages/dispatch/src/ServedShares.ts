import { RecencyMap } from './RecencyMap.js';

/** Generations of one kind that were recently decided on; older ones count less. */
export interface ServedCounts {
  readonly offered: number;
  readonly served: number;
}

interface DatedCounts extends ServedCounts {
  readonly atMs: number;
}

/** Time in which a generation counts half as much: several times the length of a burst. */
const HALF_LIFE_MS = 20_000;
/** With fewer generations a share says nothing. */
const MIN_OFFERED = 4;
const NO_COUNTS: ServedCounts = { offered: 0, served: 0 };

/** Which share of the recent generations was served, by kind. Handles kinds that are passed over. */
export class ServedShares<K> {
  private readonly counts: RecencyMap<K, DatedCounts>;

  /**
   * @param maxKinds - kinds that are counted; the least recent one is forgotten first
   */
  constructor(maxKinds: number) {
    this.counts = new RecencyMap(maxKinds);
  }

  /** Records that a generation was served or refused. */
  record(kind: K, isServed: boolean, nowMs: number): void {
    const { offered, served } = this.countsOf(kind, nowMs);
    const servedNow = served + (isServed ? 1 : 0);
    this.counts.set(kind, { atMs: nowMs, offered: offered + 1, served: servedNow });
  }

  /** Recent generations of a kind. */
  countsOf(kind: K, nowMs: number): ServedCounts {
    const counts = this.counts.get(kind);
    if (!counts) {
      return NO_COUNTS;
    }
    const weight = 0.5 ** ((nowMs - counts.atMs) / HALF_LIFE_MS);
    return { offered: counts.offered * weight, served: counts.served * weight };
  }

  /**
   * Compares the kinds with the mean of all kinds.
   *
   * @param fraction - fraction of the mean
   * @param nowMs - monotonic time
   * @returns whether the served share of a kind is below that fraction
   */
  belowMean(fraction: number, nowMs: number): (kind: K) => boolean {
    const shares = new Map<K, number>();
    let sum = 0;
    for (const [kind] of this.counts.all()) {
      const share = servedShare(this.countsOf(kind, nowMs));
      if (share !== undefined) {
        shares.set(kind, share);
        sum += share;
      }
    }
    const limit = (fraction * sum) / Math.max(1, shares.size);
    return (kind) => (shares.get(kind) ?? Infinity) < limit;
  }
}

/**
 * Share of the generations that was served.
 *
 * @param counts - recent generations
 * @returns from 0 to 1; undefined with too few of them
 */
export function servedShare({ offered, served }: ServedCounts): number | undefined {
  return offered < MIN_OFFERED ? undefined : served / offered;
}
