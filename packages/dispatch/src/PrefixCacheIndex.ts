import type { ServerId } from '@laburnumgap/kernel';
import type { PromptPart } from './PromptShape.js';

/** Prompt parts in the index; the least recently used one is dropped first. */
const MAX_INDEXED_PARTS = 4_096;

/** Tracks which engines prefilled which prompt parts, to estimate what their prefix caches hold. */
export class PrefixCacheIndex {
  private readonly serversByPart = new Map<string, Map<ServerId, number>>();

  /** Records that an engine prefills a prompt, including the last part, which no request shares. */
  recordPrompt(parts: readonly PromptPart[], serverId: ServerId, nowMs: number): void {
    for (const { id } of parts) {
      const servers = this.serversByPart.get(id) ?? new Map<ServerId, number>();
      this.serversByPart.delete(id);
      this.serversByPart.set(id, servers);
      servers.set(serverId, nowMs);
    }
    while (this.serversByPart.size > MAX_INDEXED_PARTS) {
      this.serversByPart.delete(this.serversByPart.keys().next().value ?? '');
    }
  }

  /**
   * Tokens at the start of a prompt that an engine has prefilled since a point in time.
   *
   * @param parts - parts of the prompt in order
   * @param serverId - the engine
   * @param sinceMs - monotonic time; earlier prefills don't count
   * @returns tokens that the engine is expected to hold in its prefix cache
   */
  cachedTokens(parts: readonly PromptPart[], serverId: ServerId, sinceMs: number): number {
    let tokens = 0;
    for (const part of parts) {
      const prefilledAtMs = this.serversByPart.get(part.id)?.get(serverId);
      if (prefilledAtMs === undefined || prefilledAtMs < sinceMs) {
        return tokens;
      }
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Removes an engine that is gone. */
  removeServer(serverId: ServerId): void {
    for (const servers of this.serversByPart.values()) {
      servers.delete(serverId);
    }
  }
}
