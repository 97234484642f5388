import type { EngineCacheEvent } from '@laburnumgap/kernel';

/** Options of {@link PrefixCacheView}. */
export interface PrefixCacheViewOptions {
  /** Maximum number of prefixes. The oldest is evicted first. */
  readonly maxPrefixes?: number;
}

/** Cache events that follow a sequence number, in order. */
export interface CacheEventPage {
  readonly events: readonly EngineCacheEvent[];
  readonly latestSequence: number;
}

interface CachedPrefix {
  confidence: number;
  readonly recordedMs: number;
  readonly tokens: number;
}

const DEFAULT_MAX_PREFIXES = 8_192;
const HALF_LIFE_MS = 60_000;
const GAP_CONFIDENCE_FACTOR = 0.5;
/** Prefixes below this confidence are treated as not cached. */
const MIN_CONFIDENCE = 0.1;

/**
 * Estimates the content of an engine's prefix cache from its cache events, which arrive late and
 * with gaps. Each gap in the sequence halves the confidence in all entries known before it, and
 * confidence decays with age.
 */
export class PrefixCacheView {
  private latestSequence = 0;
  private readonly maxPrefixes: number;
  /** Entries by prefix hash, least recently recorded first. */
  private readonly prefixes = new Map<string, CachedPrefix>();

  constructor(options: PrefixCacheViewOptions = {}) {
    this.maxPrefixes = options.maxPrefixes ?? DEFAULT_MAX_PREFIXES;
  }

  /** Sequence number after which to request further events. */
  afterSequence(): number {
    return this.latestSequence;
  }

  /** Number of prefixes that are estimated to be cached. */
  size(): number {
    return this.prefixes.size;
  }

  /**
   * Applies a page of events. A sequence number that decreased means that the engine was restarted
   * with an empty cache.
   */
  apply(page: CacheEventPage, nowMs: number): void {
    if (page.latestSequence < this.latestSequence) {
      this.prefixes.clear();
      this.latestSequence = 0;
    }
    for (const event of page.events) {
      this.recordSequence(event.sequence);
      this.prefixes.delete(event.prefixHash);
      if (event.kind === 'stored') {
        this.prefixes.set(event.prefixHash, {
          confidence: 1,
          recordedMs: nowMs,
          tokens: event.tokens,
        });
      }
    }
    this.evictOldest();
  }

  /**
   * Expected number of a prompt's tokens that are cached.
   *
   * @param prefixHashes - hashes of the prompt's prefixes at block boundaries, shortest first
   * @param nowMs - the current time
   * @returns the maximum over all prefixes of cached tokens times confidence
   */
  expectedTokens(prefixHashes: readonly string[], nowMs: number): number {
    let expectedTokens = 0;
    for (const hash of prefixHashes) {
      const known = this.prefixes.get(hash);
      if (!known) {
        continue;
      }
      const ageFactor = Math.pow(0.5, (nowMs - known.recordedMs) / HALF_LIFE_MS);
      const confidence = known.confidence * ageFactor;
      if (confidence >= MIN_CONFIDENCE) {
        expectedTokens = Math.max(expectedTokens, Math.round(known.tokens * confidence));
      }
    }
    return expectedTokens;
  }

  private evictOldest(): void {
    for (const hash of this.prefixes.keys()) {
      if (this.prefixes.size <= this.maxPrefixes) {
        return;
      }
      this.prefixes.delete(hash);
    }
  }

  /** Advances the latest sequence number and lowers the confidence of all entries after a gap. */
  private recordSequence(sequence: number): void {
    if (sequence > this.latestSequence + 1 && this.latestSequence > 0) {
      for (const prefix of this.prefixes.values()) {
        prefix.confidence *= GAP_CONFIDENCE_FACTOR;
      }
    }
    this.latestSequence = sequence;
  }
}
