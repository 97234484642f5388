/** Part of a pool's memory; belongs to its taker until it is given back. */
export interface Slab {
  readonly buffer: Buffer;
  /** Index of the arena that it is a part of. */
  readonly arena: SlabArena;
}

/** One allocation, divided into slabs. */
interface SlabArena {
  readonly free: Slab[];
  /** Whether a slab was taken since the last trim. */
  wasUsed: boolean;
}

/** Size of a slab: about what is written to a socket at once. */
export const SLAB_BYTES = 16_384;
const SLABS_PER_ARENA = 64;
/** Bytes of one allocation: large enough for the system to take its memory back at once. */
export const ARENA_BYTES = SLAB_BYTES * SLABS_PER_ARENA;

/**
 * Memory for buffered bytes that is used again. Buffers of their own would be freed only by the next
 * collection of the heap, so that a process could exceed its memory with bytes that were dropped
 * before.
 */
export class SlabPool {
  private readonly arenas = new Set<SlabArena>();
  /** Arenas with free slabs; those used first come first, so that the others become free. */
  private readonly withFree = new Set<SlabArena>();
  private usedSlabs = 0;

  /** Takes a slab; allocates memory if none is free. */
  take(): Slab {
    const [arena = this.allocate()] = this.withFree;
    const slab = arena.free.pop();
    if (!slab) {
      throw new Error('an arena without a free slab was listed as free');
    }
    arena.wasUsed = true;
    if (arena.free.length === 0) {
      this.withFree.delete(arena);
    }
    this.usedSlabs += 1;
    return slab;
  }

  /** Gives a slab back, once. */
  give(slab: Slab): void {
    const { arena } = slab;
    arena.free.push(slab);
    this.withFree.add(arena);
    this.usedSlabs -= 1;
  }

  /** Frees the arenas of which no slab was used since the last call. */
  trim(): void {
    for (const arena of this.arenas) {
      if (arena.free.length === SLABS_PER_ARENA && !arena.wasUsed) {
        this.arenas.delete(arena);
        this.withFree.delete(arena);
      }
      arena.wasUsed = arena.free.length < SLABS_PER_ARENA;
    }
  }

  /** Bytes of all slabs, in use or not. */
  allocatedBytes(): number {
    return this.arenas.size * ARENA_BYTES;
  }

  /** Bytes of the slabs in use. */
  usedBytes(): number {
    return this.usedSlabs * SLAB_BYTES;
  }

  private allocate(): SlabArena {
    const memory = Buffer.allocUnsafeSlow(ARENA_BYTES);
    const arena: SlabArena = { free: [], wasUsed: true };
    for (let start = ARENA_BYTES - SLAB_BYTES; start >= 0; start -= SLAB_BYTES) {
      arena.free.push({ arena, buffer: memory.subarray(start, start + SLAB_BYTES) });
    }
    this.arenas.add(arena);
    this.withFree.add(arena);
    return arena;
  }
}
