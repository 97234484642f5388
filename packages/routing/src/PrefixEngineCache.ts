import type { EngineId } from '@laburnumgap/kernel';
import { DEFAULT_PREFIX_CAPACITY } from './RouteConstants.js';

/** LRU cache of the engine that last computed each prompt prefix, by the hash of the prefix. */
export class PrefixEngineCache {
  private readonly engines = new Map<string, EngineId>();

  constructor(private readonly capacity: number = DEFAULT_PREFIX_CAPACITY) {}

  /** Returns the engine that last computed the longest known prefix, or undefined. */
  findEngine(prefixHashes: readonly string[]): EngineId | undefined {
    for (let index = prefixHashes.length - 1; index >= 0; index -= 1) {
      const engineId = this.engines.get(prefixHashes[index] ?? '');
      if (engineId !== undefined) {
        return engineId;
      }
    }
    return undefined;
  }

  /** Removes all prefixes of an engine that is gone. */
  removeEngine(engineId: EngineId): void {
    for (const [prefixHash, cachedId] of this.engines) {
      if (cachedId === engineId) {
        this.engines.delete(prefixHash);
      }
    }
  }

  /** Records that an engine computes a prompt with these prefixes. */
  recordPrompt(prefixHashes: readonly string[], engineId: EngineId): void {
    for (const prefixHash of prefixHashes) {
      this.engines.delete(prefixHash);
      this.engines.set(prefixHash, engineId);
    }
    while (this.engines.size > this.capacity) {
      const oldest = this.engines.keys().next();
      this.engines.delete(oldest.value ?? '');
    }
  }
}
