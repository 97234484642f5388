import type { EngineCacheEvent } from '@laburnumgap/kernel';
import { BLOCK_TOKENS, prefixHashes } from './EngineStandinTokens.js';

interface TimedEvent {
  readonly atMs: number;
  readonly event: EngineCacheEvent;
}

const MAX_KEPT_EVENTS = 10_000;

/** Prefix cache of a stand-in engine, by blocks of the prompt; the least recently used go first. */
export class EngineStandinPrefixCache {
  readonly #blocks = new Map<string, number>();
  readonly #capacityBlocks: number;
  readonly #events: TimedEvent[] = [];
  #sequence = 0;

  constructor(capacityTokens: number) {
    this.#capacityBlocks = Math.max(1, Math.floor(capacityTokens / BLOCK_TOKENS));
  }

  /** Stores the prompt's blocks; returns the tokens of it that were cached before. */
  use(prompt: string, nowMs: number): number {
    const hashes = prefixHashes(prompt);
    const firstMissing = hashes.findIndex((hash) => !this.#blocks.has(hash));
    const cachedBlocks = firstMissing === -1 ? hashes.length : firstMissing;
    hashes.forEach((hash, index) => {
      const tokens = (index + 1) * BLOCK_TOKENS;
      if (!this.#blocks.delete(hash)) {
        this.#note('stored', hash, tokens, nowMs);
      }
      this.#blocks.set(hash, tokens);
    });
    this.#evict(nowMs);
    return cachedBlocks * BLOCK_TOKENS;
  }

  /** Published events after a sequence number. */
  eventsAfter(sequence: number, publishedBeforeMs: number, gapEveryNth: number): object {
    const published = this.#events.filter((timed) => timed.atMs <= publishedBeforeMs);
    const events = published
      .map((timed) => timed.event)
      .filter((event) => event.sequence > sequence)
      .filter((event) => gapEveryNth === 0 || event.sequence % gapEveryNth !== 0);
    return { events, latestSequence: published.at(-1)?.event.sequence ?? 0 };
  }

  #evict(nowMs: number): void {
    while (this.#blocks.size > this.#capacityBlocks) {
      const [hash, tokens] = this.#blocks.entries().next().value ?? ['', 0];
      this.#blocks.delete(hash);
      this.#note('evicted', hash, tokens, nowMs);
    }
  }

  #note(kind: EngineCacheEvent['kind'], prefixHash: string, tokens: number, nowMs: number): void {
    this.#sequence += 1;
    this.#events.push({
      atMs: nowMs,
      event: { kind, prefixHash, sequence: this.#sequence, tokens },
    });
    if (this.#events.length > MAX_KEPT_EVENTS) {
      this.#events.shift();
    }
  }
}
