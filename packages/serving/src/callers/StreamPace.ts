/** Tokens over which the time of one is averaged: events arrive in bursts. */
const MIN_TOKENS = 64;

/** Averages the time of one output token over parts of a stream. */
export class StreamPace {
  private sumMs = 0;
  private tokens = 0;

  /**
   * Adds events that followed others.
   *
   * @param gapMs - time since the events before
   * @param tokens - output tokens of the events
   * @returns mean time of one token when a part is over, otherwise undefined
   */
  add(gapMs: number, tokens: number): number | undefined {
    this.sumMs += gapMs;
    this.tokens += tokens;
    return this.tokens < MIN_TOKENS ? undefined : this.end();
  }

  /**
   * Ends a part before it is over.
   *
   * @returns mean time of one token; undefined without any
   */
  end(): number | undefined {
    if (this.tokens === 0) {
      return undefined;
    }
    const tokenMs = this.sumMs / this.tokens;
    this.sumMs = 0;
    this.tokens = 0;
    return tokenMs;
  }
}
