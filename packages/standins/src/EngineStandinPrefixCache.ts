import type { EngineCacheEvent } from '@laburnumgap/kernel';
import { BLOCK_TOKENS, prefixBlockHashes } from './EngineStandinTokens.js';

interface RecordedEvent {
  readonly atMs: number;
  readonly event: EngineCacheEvent;
}

const MAX_RETAINED_EVENTS = 10_000;

/** Prefix cache of a stand-in engine: an LRU cache of prompt blocks, with a log of its events. */
export class EngineStandinPrefixCache {
  /** Size of the prompt prefix that ends with a block, in tokens, by its hash; oldest use first. */
  readonly #blocks = new Map<string, number>();
  readonly #capacityBlocks: number;
  readonly #events: RecordedEvent[] = [];
  #sequence = 0;

  constructor(capacityTokens: number) {
    this.#capacityBlocks = Math.max(1, Math.floor(capacityTokens / BLOCK_TOKENS));
  }

  /**
   * Looks up the prompt's leading blocks, then stores all of its blocks.
   *
   * @param prompt - the text
   * @param nowMs - time of the events that storing and eviction record
   * @returns prompt tokens that were already cached
   */
  lookUpAndStore(prompt: string, nowMs: number): number {
    const hashes = prefixBlockHashes(prompt);
    const firstMissing = hashes.findIndex((hash) => !this.#blocks.has(hash));
    const cachedBlocks = firstMissing === -1 ? hashes.length : firstMissing;
    hashes.forEach((hash, index) => {
      const tokens = (index + 1) * BLOCK_TOKENS;
      if (!this.#blocks.delete(hash)) {
        this.#recordEvent('stored', hash, tokens, nowMs);
      }
      this.#blocks.set(hash, tokens);
    });
    this.#evict(nowMs);
    return cachedBlocks * BLOCK_TOKENS;
  }

  /**
   * Lists cache events.
   *
   * @param sequence - sequence number after which the list begins
   * @param publishedBeforeMs - newest time of an event that is listed
   * @param gapEveryNth - every n-th event is left out; 0 for none
   * @returns the events and the latest sequence number, as the protocol has them
   */
  eventsAfter(sequence: number, publishedBeforeMs: number, gapEveryNth: number): object {
    const published = this.#events.filter((recorded) => recorded.atMs <= publishedBeforeMs);
    const events = published
      .map((recorded) => recorded.event)
      .filter((event) => event.sequence > sequence)
      .filter((event) => gapEveryNth === 0 || event.sequence % gapEveryNth !== 0);
    return { events, latestSequence: published.at(-1)?.event.sequence ?? 0 };
  }

  #evict(nowMs: number): void {
    while (this.#blocks.size > this.#capacityBlocks) {
      const [hash, tokens] = this.#blocks.entries().next().value ?? ['', 0];
      this.#blocks.delete(hash);
      this.#recordEvent('evicted', hash, tokens, nowMs);
    }
  }

  #recordEvent(
    kind: EngineCacheEvent['kind'],
    prefixHash: string,
    tokens: number,
    nowMs: number,
  ): void {
    this.#sequence += 1;
    this.#events.push({
      atMs: nowMs,
      event: { kind, prefixHash, sequence: this.#sequence, tokens },
    });
    if (this.#events.length > MAX_RETAINED_EVENTS) {
      this.#events.shift();
    }
  }
}
