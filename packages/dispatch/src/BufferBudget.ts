import type { Branded } from '@laburnumgap/kernel';

/** One holder of buffered bytes; unique in a process. */
export type BufferHolderId = Branded<number, 'BufferHolderId'>;

/**
 * What bytes are buffered for: a caller's response, a request body that a server takes, a connection
 * that is passed on for another daemon, or a message that the daemon itself collects. Nobody reads the
 * last one yet, so it has no share and is never aborted.
 */
export type BufferHolderKind = 'caller' | 'collected' | 'request' | 'tunnel';

/** Holder of buffered bytes. */
export interface BufferHolder {
  readonly holderId: BufferHolderId;
  readonly kind: BufferHolderKind;
}

/** Whether the source of the bytes may be read further. */
export type BufferVerdict = 'accepted' | 'paused';

/** A reader whose bytes have to be dropped. */
export interface OverdueReader extends BufferHolder {
  readonly heldBytes: number;
  /** Why it is aborted: the bound was exceeded, or other readers could not go on. */
  readonly reason: 'bound' | 'starvation';
  /** Time since the reader last made real progress. */
  readonly stalledMs: number;
}

/** State of a {@link BufferBudget}, for logs and metrics. */
export interface BufferBudgetSummary {
  /** Bytes that are buffered in the process. */
  readonly heldBytes: number;
  readonly limitBytes: number;
  readonly pausedReaders: number;
  readonly readers: number;
  /** Buffered bytes, and what the system buffers for their readers. */
  readonly usedBytes: number;
}

/** Options of {@link BufferBudget}. */
export interface BufferBudgetOptions {
  /** Memory limit of the process. */
  readonly memoryBytes: number;
}

interface HolderState {
  heldBytes: number;
  isPaused: boolean;
  readonly kind: BufferHolderKind;
  /** Since when its source is paused; only valid while it is. */
  pausedMs: number;
  /** When the reader last made real progress, or its first byte was buffered. */
  progressMs: number;
  /** Bytes taken since `progressMs`. */
  takenBytes: number;
}

/**
 * Largest part of the process's memory for buffered bytes. A loaded process of 178 MB uses up to 99 MB
 * for everything else, so that half of the memory is the most that can be spared.
 */
const MAX_MEMORY_SHARE = 1 / 2;
/** Part of the memory that stays free: buffers that are not collected yet, and bursts between checks. */
const SPARE_MEMORY_SHARE = 1 / 8;
/** Bytes that can be buffered even when the rest of the process needs more memory than expected. */
const MIN_MEMORY_SHARE = 1 / 16;
/** Above this part of the limit, readers that hold more than their fair share are paused. */
const SCARCE_SHARE = 3 / 4;
/** Above this part of the limit every reader is paused; the rest is for bytes that cannot be refused. */
const FULL_SHARE = 7 / 8;
/** A paused reader goes on below this part of its fair share, so that it does not pause at once. */
const RESUME_SHARE = 3 / 4;
/**
 * Counted for each reader in addition: the receive buffer of the paused connection (131,072 bytes by
 * default in Linux), the send buffer to the reader, and the chunk that Node reads before it pauses.
 */
const READER_OVERHEAD_BYTES = 262_144;
/** Bytes that a reader has to take to count as not stalled; less may be a byte now and then. */
const PROGRESS_BYTES = 16_384;
/** Most bytes that are read at once when a paused source is resumed. */
const READ_BYTES = 65_536;
/**
 * A reader that has made no progress for this long yields to others that are paused: about twice the
 * 5.5 s for which callers pause whose responses have to arrive.
 */
const STALLED_MS = 10_000;
/** A paused source is starved after this: half of the 3 s after which servers cut off. */
const STARVED_MS = 1_500;
/** Holders whose bytes come from a source that can be paused. The others were received already. */
const PAUSABLE_KINDS: ReadonlySet<BufferHolderKind> = new Set(['caller', 'tunnel']);
/** A reader that holds less uses no share of the room: it has at most one chunk. */
const MIN_SHARED_BYTES = READ_BYTES;

/**
 * Bounds the bytes that a daemon buffers for all slow readers together: callers that do not read large
 * responses or streams, servers that do not take request bodies, and daemons that do not read tunnelled
 * connections. Handles a few readers with large responses, many readers that stall at once, and readers
 * that take a byte now and then.
 *
 * While there is room, everything is buffered. When room gets scarce, sources of readers above their
 * fair share are paused, later all. A reader is aborted only if the limit is exceeded nevertheless, or
 * if it has been stalled for long while others cannot go on for want of room: the one that has been
 * stalled longest first.
 */
export class BufferBudget {
  private collectedBytes = 0;
  private readonly holders = new Map<BufferHolderId, HolderState>();
  private limitBytes: number;
  private pausedCount = 0;
  private readerBytes = 0;
  private readerCount = 0;

  constructor(private readonly options: BufferBudgetOptions) {
    this.limitBytes = Math.floor(options.memoryBytes * MAX_MEMORY_SHARE);
  }

  /**
   * Counts bytes that were received for a holder.
   *
   * @param holder - the holder
   * @param bytes - their number
   * @param nowMs - monotonic time
   * @returns `paused` if nothing more may be read from their source until {@link takeResumable} names
   *   the holder
   */
  reserve({ holderId, kind }: BufferHolder, bytes: number, nowMs: number): BufferVerdict {
    const state = this.holders.get(holderId) ?? newState(kind, nowMs);
    this.holders.set(holderId, state);
    if (state.heldBytes === 0) {
      state.progressMs = nowMs;
      state.takenBytes = 0;
    }
    this.addBytes(state, bytes);
    if (!PAUSABLE_KINDS.has(kind) || this.mayRead(state, 1)) {
      return 'accepted';
    }
    if (!state.isPaused) {
      state.isPaused = true;
      state.pausedMs = nowMs;
      this.pausedCount += 1;
    }
    return 'paused';
  }

  /** Counts bytes as no longer buffered, whether or not the reader took them. */
  release(holderId: BufferHolderId, bytes: number): void {
    const state = this.holders.get(holderId);
    if (state) {
      this.addBytes(state, -Math.min(bytes, state.heldBytes));
    }
  }

  /** Records that a reader took bytes. They stay counted until they are released. */
  progress(holderId: BufferHolderId, bytes: number, nowMs: number): void {
    const state = this.holders.get(holderId);
    if (!state) {
      return;
    }
    state.takenBytes += bytes;
    if (state.takenBytes >= PROGRESS_BYTES) {
      state.progressMs = nowMs;
      state.takenBytes = 0;
    }
  }

  /** Forgets a holder that ended, with all its bytes. */
  remove(holderId: BufferHolderId): void {
    const state = this.holders.get(holderId);
    if (!state) {
      return;
    }
    this.addBytes(state, -state.heldBytes);
    this.unpause(state);
    this.holders.delete(holderId);
  }

  /**
   * Adapts the limit to the memory that the process uses for everything else.
   *
   * @param otherBytes - resident memory of the process without buffered bytes
   */
  recordOtherMemory(otherBytes: number): void {
    const { memoryBytes } = this.options;
    const roomBytes = memoryBytes * (1 - SPARE_MEMORY_SHARE) - otherBytes;
    const boundedBytes = Math.min(roomBytes, memoryBytes * MAX_MEMORY_SHARE);
    this.limitBytes = Math.floor(Math.max(boundedBytes, memoryBytes * MIN_MEMORY_SHARE));
  }

  /**
   * Takes the paused holders whose sources may be read again, those that hold least first, and no more
   * than the free room allows. They count as not paused afterwards.
   */
  takeResumable(): readonly BufferHolderId[] {
    if (this.pausedCount === 0) {
      return [];
    }
    let roomBytes = Math.max(0, this.limitBytes * FULL_SHARE - this.usedBytes());
    const resumed: BufferHolderId[] = [];
    for (const [holderId, state] of this.pausedByHeldBytes()) {
      if (state.heldBytes > 0 && (roomBytes < READ_BYTES || !this.mayRead(state, RESUME_SHARE))) {
        break;
      }
      roomBytes -= READ_BYTES;
      this.unpause(state);
      resumed.push(holderId);
    }
    return resumed;
  }

  /**
   * Decides which readers are aborted. Their holders have to be removed by the caller.
   *
   * @param nowMs - monotonic time
   * @returns the readers, longest stalled first; usually none
   */
  overdue(nowMs: number): readonly OverdueReader[] {
    const isExceeded = this.usedBytes() > this.limitBytes;
    if (!isExceeded && !this.isStarving(nowMs)) {
      return [];
    }
    const stalled = this.readersByStall();
    if (!isExceeded) {
      return stalled
        .filter(([, { progressMs }]) => nowMs - progressMs >= STALLED_MS)
        .slice(0, 1)
        .map(([holderId, state]) => toOverdue(holderId, state, 'starvation', nowMs));
    }
    const overdue: OverdueReader[] = [];
    let excessBytes = this.usedBytes() - this.limitBytes;
    for (const [holderId, state] of stalled) {
      if (excessBytes <= 0) {
        break;
      }
      excessBytes -= state.heldBytes + READER_OVERHEAD_BYTES;
      overdue.push(toOverdue(holderId, state, 'bound', nowMs));
    }
    return overdue;
  }

  /** Whether room is scarce, so that nothing should be buffered that can be passed on. */
  isScarce(): boolean {
    return this.usedBytes() > this.limitBytes * SCARCE_SHARE;
  }

  summary(): BufferBudgetSummary {
    return {
      heldBytes: this.collectedBytes + this.readerBytes,
      limitBytes: this.limitBytes,
      pausedReaders: this.pausedCount,
      readers: this.readerCount,
      usedBytes: this.usedBytes(),
    };
  }

  private usedBytes(): number {
    return this.collectedBytes + this.readerBytes + this.readerCount * READER_OVERHEAD_BYTES;
  }

  private mayRead({ heldBytes }: HolderState, shareFactor: number): boolean {
    const usedBytes = this.usedBytes();
    if (usedBytes <= this.limitBytes * SCARCE_SHARE) {
      return true;
    }
    return (
      usedBytes <= this.limitBytes * FULL_SHARE && heldBytes <= this.fairShareBytes() * shareFactor
    );
  }

  /**
   * Equal part of the room for each reader that uses one. What the others hold is subtracted, so that
   * streams with a few events do not take a share each.
   */
  private fairShareBytes(): number {
    let largeCount = 0;
    let roomBytes = this.limitBytes * FULL_SHARE;
    roomBytes -= this.readerCount * READER_OVERHEAD_BYTES + this.collectedBytes;
    for (const { heldBytes, kind } of this.holders.values()) {
      if (kind !== 'collected' && heldBytes >= MIN_SHARED_BYTES) {
        largeCount += 1;
      } else if (kind !== 'collected') {
        roomBytes -= heldBytes;
      }
    }
    return Math.max(MIN_SHARED_BYTES, roomBytes / Math.max(1, largeCount));
  }

  /** Whether a source is paused for so long that its server may cut it off, for a reader that reads. */
  private isStarving(nowMs: number): boolean {
    if (this.pausedCount === 0) {
      return false;
    }
    return [...this.holders.values()].some(
      ({ isPaused, pausedMs, progressMs }) =>
        isPaused && nowMs - pausedMs >= STARVED_MS && nowMs - progressMs < STALLED_MS,
    );
  }

  private pausedByHeldBytes(): readonly (readonly [BufferHolderId, HolderState])[] {
    return [...this.holders]
      .filter(([, { isPaused }]) => isPaused)
      .sort(([, one], [, other]) => one.heldBytes - other.heldBytes);
  }

  /**
   * Readers with bytes, longest stalled first. Those that hold under half of the fair share come last,
   * since aborting them frees little.
   */
  private readersByStall(): readonly (readonly [BufferHolderId, HolderState])[] {
    const minBytes = this.fairShareBytes() / 2;
    return [...this.holders]
      .filter(([, { heldBytes, kind }]) => kind !== 'collected' && heldBytes > 0)
      .sort(
        ([, one], [, other]) =>
          Number(one.heldBytes < minBytes) - Number(other.heldBytes < minBytes) ||
          one.progressMs - other.progressMs ||
          other.heldBytes - one.heldBytes,
      );
  }

  private addBytes(state: HolderState, bytes: number): void {
    const hadBytes = state.heldBytes > 0;
    state.heldBytes += bytes;
    if (state.kind === 'collected') {
      this.collectedBytes += bytes;
      return;
    }
    this.readerBytes += bytes;
    this.readerCount += Number(state.heldBytes > 0) - Number(hadBytes);
  }

  private unpause(state: HolderState): void {
    if (state.isPaused) {
      state.isPaused = false;
      this.pausedCount -= 1;
    }
  }
}

function newState(kind: BufferHolderKind, nowMs: number): HolderState {
  return {
    heldBytes: 0,
    isPaused: false,
    kind,
    pausedMs: nowMs,
    progressMs: nowMs,
    takenBytes: 0,
  };
}

function toOverdue(
  holderId: BufferHolderId,
  { heldBytes, kind, progressMs }: HolderState,
  reason: OverdueReader['reason'],
  nowMs: number,
): OverdueReader {
  return { heldBytes, holderId, kind, reason, stalledMs: nowMs - progressMs };
}
