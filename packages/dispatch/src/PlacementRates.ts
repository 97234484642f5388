interface Placed {
  readonly atMs: number;
  readonly rank: number;
  readonly tokens: number;
}

/** Placements count for this long: short enough to follow the loss of engines within a target. */
const WINDOW_MS = 2_000;
const MS_PER_S = 1_000;

/** Rate at which generations of this daemon got capacity, by rank. */
export class PlacementRates {
  private placed: Placed[] = [];

  /** Records a placement. */
  record(rank: number, tokens: number, nowMs: number): void {
    this.dropExpired(nowMs);
    this.placed.push({ atMs: nowMs, rank, tokens });
  }

  /** Tokens a second by rank; ranks without recent placements are absent. */
  all(nowMs: number): ReadonlyMap<number, number> {
    this.dropExpired(nowMs);
    const rates = new Map<number, number>();
    for (const { rank, tokens } of this.placed) {
      rates.set(rank, (rates.get(rank) ?? 0) + (tokens * MS_PER_S) / WINDOW_MS);
    }
    return rates;
  }

  private dropExpired(nowMs: number): void {
    while (this.placed[0] && nowMs - this.placed[0].atMs >= WINDOW_MS) {
      this.placed.shift();
    }
  }
}
