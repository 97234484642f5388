/** Most keys of one connection: it is replaced once in as many requests, and they take 4 KB. */
const MAX_KEYS = 1_024;
/** Most connections carry few requests. */
const INITIAL_KEYS = 16;
const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/**
 * Keys of the requests that were answered on one connection. Kept as hashes, since there can be hundreds
 * of connections; two keys with the same hash only cost a connection.
 */
export class AnsweredKeys {
  private count = 0;
  private hashes = new Uint32Array(INITIAL_KEYS);

  /** Adds a key; without effect when {@link isFull}. */
  add(key: string): void {
    if (this.isFull() || this.has(key)) {
      return;
    }
    if (this.count === this.hashes.length) {
      const grown = new Uint32Array(this.count * 2);
      grown.set(this.hashes);
      this.hashes = grown;
    }
    this.hashes[this.count] = hashOf(key);
    this.count += 1;
  }

  /** Whether a key was added; in rare cases also for one that was not. */
  has(key: string): boolean {
    const index = this.hashes.indexOf(hashOf(key));
    return index >= 0 && index < this.count;
  }

  /** Whether no further key can be remembered. */
  isFull(): boolean {
    return this.count === MAX_KEYS;
  }
}

/** FNV-1a. */
function hashOf(key: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < key.length; index += 1) {
    hash = Math.imul(hash ^ key.charCodeAt(index), FNV_PRIME);
  }
  return hash >>> 0;
}
