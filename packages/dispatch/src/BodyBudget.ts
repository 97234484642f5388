/** Options of {@link BodyBudget}. */
export interface BodyBudgetOptions {
  /** Memory limit of the process; nothing is bounded where it is unknown. */
  readonly memoryBytes?: number;
}

/**
 * Part of the memory for request bodies. A loaded process uses about half of its memory for everything
 * else, and bodies that were released are freed some time later.
 */
const MEMORY_SHARE = 1 / 4;
/** Smaller bodies are not bounded, so that large ones do not keep them out. */
const MAX_UNBOUNDED_BYTES = 16_384;

/**
 * Bounds the bytes of large request bodies that a daemon holds for all callers together. Answers the load
 * of many callers that upload large bodies at the same time, each within the limit of the configuration.
 */
export class BodyBudget {
  private heldBytes = 0;
  private readonly limitBytes: number;

  constructor({ memoryBytes = Infinity }: BodyBudgetOptions = {}) {
    this.limitBytes = memoryBytes * MEMORY_SHARE;
  }

  /**
   * Reserves room for a body.
   *
   * @param bytes - its length, or the part of it that has to be reserved in addition
   * @returns whether it may be held; a body that is alone always may
   */
  tryReserve(bytes: number): boolean {
    if (bytes <= MAX_UNBOUNDED_BYTES) {
      return true;
    }
    if (this.heldBytes > 0 && this.heldBytes + bytes > this.limitBytes) {
      return false;
    }
    this.heldBytes += bytes;
    return true;
  }

  /** Frees what was reserved by one call of {@link tryReserve}. */
  release(bytes: number): void {
    if (bytes > MAX_UNBOUNDED_BYTES) {
      this.heldBytes -= bytes;
    }
  }
}
