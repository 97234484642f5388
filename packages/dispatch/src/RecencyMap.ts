/** Map of bounded size that forgets the entries which were not set for the longest time. */
export class RecencyMap<K, V> {
  private readonly entries = new Map<K, V>();

  /**
   * @param maxSize - number of entries that are kept
   */
  constructor(private readonly maxSize: number) {}

  get(key: K): V | undefined {
    return this.entries.get(key);
  }

  /** Sets an entry, which becomes the most recent one. */
  set(key: K, value: V): void {
    this.entries.delete(key);
    this.entries.set(key, value);
    if (this.entries.size > this.maxSize) {
      const [oldest] = this.entries.keys();
      if (oldest !== undefined) {
        this.entries.delete(oldest);
      }
    }
  }

  delete(key: K): void {
    this.entries.delete(key);
  }

  /** Entries, the least recent one first. */
  all(): readonly (readonly [K, V])[] {
    return [...this.entries];
  }

  size(): number {
    return this.entries.size;
  }
}
