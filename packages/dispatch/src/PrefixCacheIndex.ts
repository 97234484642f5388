import type { ServerId } from '@laburnumgap/kernel';
import type { PromptPart } from './PromptShape.js';

/** Prompt parts that are remembered; the one used longest ago is dropped first. */
const MAX_REMEMBERED_PARTS = 4_096;

/** Remembers which engines read which prompt parts, as far as they are shared between requests. */
export class PrefixCacheIndex {
  private readonly parts = new Map<string, Map<ServerId, number>>();

  /** Notes that an engine reads a prompt. The last part belongs to one request and counts too. */
  recordPrompt(parts: readonly PromptPart[], serverId: ServerId, nowMs: number): void {
    for (const { id } of parts) {
      const servers = this.parts.get(id) ?? new Map<ServerId, number>();
      this.parts.delete(id);
      this.parts.set(id, servers);
      servers.set(serverId, nowMs);
    }
    while (this.parts.size > MAX_REMEMBERED_PARTS) {
      this.parts.delete(this.parts.keys().next().value ?? '');
    }
  }

  /**
   * Tokens at the start of a prompt that an engine has read within the window.
   *
   * @param parts - parts of the prompt in order
   * @param serverId - the engine
   * @param sinceMs - older readings don't count
   * @returns tokens
   */
  cachedTokens(parts: readonly PromptPart[], serverId: ServerId, sinceMs: number): number {
    let tokens = 0;
    for (const part of parts) {
      const readAtMs = this.parts.get(part.id)?.get(serverId);
      if (readAtMs === undefined || readAtMs < sinceMs) {
        return tokens;
      }
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Forgets an engine that is gone. */
  removeServer(serverId: ServerId): void {
    for (const servers of this.parts.values()) {
      servers.delete(serverId);
    }
  }
}
