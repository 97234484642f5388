/** Time constant at which the use is learned while capacity suffices. */
const LEARNING_MS = 30_000;
/** The same in a shortage, in which a burst of one kind must not soon count as its usual use. */
const SHORTAGE_LEARNING_MS = 120_000;

/**
 * KV cache that the generations of each rank usually hold. Handles a burst of one kind: what the other
 * kind usually uses stays reserved for it.
 */
export class UsualUse {
  private updatedMs: number | undefined;
  private readonly usualTokens = new Map<number, number>();

  /**
   * Records the present use.
   *
   * @param usedTokens - tokens held, by rank; a rank that is absent holds none
   * @param isShort - whether generations wait for capacity
   * @param nowMs - monotonic time
   */
  record(usedTokens: ReadonlyMap<number, number>, isShort: boolean, nowMs: number): void {
    const timeConstantMs = isShort ? SHORTAGE_LEARNING_MS : LEARNING_MS;
    const elapsedMs = nowMs - (this.updatedMs ?? -Infinity);
    const weight = 1 - Math.exp(-elapsedMs / timeConstantMs);
    this.updatedMs = nowMs;
    for (const rank of new Set([...this.usualTokens.keys(), ...usedTokens.keys()])) {
      const usual = this.usualTokens.get(rank) ?? 0;
      this.usualTokens.set(rank, usual + ((usedTokens.get(rank) ?? 0) - usual) * weight);
    }
  }

  /** Tokens that the generations of a rank usually hold. */
  tokensOf(rank: number): number {
    return this.usualTokens.get(rank) ?? 0;
  }
}
