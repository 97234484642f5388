import type { EngineCacheEvent } from '@laburnumgap/kernel';

/** Bounds of a cache view. */
export interface PrefixCacheViewOptions {
  readonly maxPrefixes?: number;
}

/** Cache events after a sequence number, in order. */
export interface CacheEventPage {
  readonly events: readonly EngineCacheEvent[];
  readonly latestSequence: number;
}

interface CachedPrefix {
  confidence: number;
  readonly notedMs: number;
  readonly tokens: number;
}

const DEFAULT_MAX_PREFIXES = 8_192;
const HALF_LIFE_MS = 60_000;
const GAP_CONFIDENCE = 0.5;
const MIN_CONFIDENCE = 0.1;

/**
 * What an engine's prefix cache probably holds. Events come late and with gaps: each gap halves
 * the confidence in everything known before it, and confidence falls with age.
 */
export class PrefixCacheView {
  private latestSequence = 0;
  private readonly maxPrefixes: number;
  /** By hash, oldest note first. */
  private readonly prefixes = new Map<string, CachedPrefix>();

  constructor(options: PrefixCacheViewOptions = {}) {
    this.maxPrefixes = options.maxPrefixes ?? DEFAULT_MAX_PREFIXES;
  }

  /** Sequence number after which further events are wanted. */
  afterSequence(): number {
    return this.latestSequence;
  }

  /** Number of prefixes thought to be cached. */
  size(): number {
    return this.prefixes.size;
  }

  /** Takes a page of events. Numbers that went back mean a restarted engine with an empty cache. */
  apply(page: CacheEventPage, nowMs: number): void {
    if (page.latestSequence < this.latestSequence) {
      this.prefixes.clear();
      this.latestSequence = 0;
    }
    for (const event of page.events) {
      this.noteSequence(event.sequence);
      this.prefixes.delete(event.prefixHash);
      if (event.kind === 'stored') {
        this.prefixes.set(event.prefixHash, {
          confidence: 1,
          notedMs: nowMs,
          tokens: event.tokens,
        });
      }
    }
    this.dropOldest();
  }

  /**
   * Expected cached tokens of a prompt.
   *
   * @param prefixHashes - hashes of its leading blocks, shortest first
   * @param nowMs - the time
   * @returns the most that any of its prefixes is expected to save
   */
  expectedTokens(prefixHashes: readonly string[], nowMs: number): number {
    let expectedTokens = 0;
    for (const hash of prefixHashes) {
      const known = this.prefixes.get(hash);
      if (!known) {
        continue;
      }
      const age = Math.pow(0.5, (nowMs - known.notedMs) / HALF_LIFE_MS);
      const confidence = known.confidence * age;
      if (confidence >= MIN_CONFIDENCE) {
        expectedTokens = Math.max(expectedTokens, Math.round(known.tokens * confidence));
      }
    }
    return expectedTokens;
  }

  private dropOldest(): void {
    for (const hash of this.prefixes.keys()) {
      if (this.prefixes.size <= this.maxPrefixes) {
        return;
      }
      this.prefixes.delete(hash);
    }
  }

  private noteSequence(sequence: number): void {
    if (sequence > this.latestSequence + 1 && this.latestSequence > 0) {
      for (const prefix of this.prefixes.values()) {
        prefix.confidence *= GAP_CONFIDENCE;
      }
    }
    this.latestSequence = sequence;
  }
}
