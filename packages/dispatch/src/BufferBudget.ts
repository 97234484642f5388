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
  /** Readers are aborted when more is buffered. */
  readonly boundBytes: number;
  /** Bytes that are buffered in the process. */
  readonly heldBytes: number;
  /** Sources are paused when nearly so much is used. */
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
  /** Period in which bytes were last reserved, and what the holder had at its start. */
  period: number;
  periodStartBytes: number;
  /** When the reader last made real progress, or its first byte was buffered. */
  progressMs: number;
  /** Bytes taken since `progressMs`. */
  takenBytes: number;
}

/**
 * Largest part of the process's memory up to which sources are read. A loaded process of 178 MB uses up
 * to 99 MB for everything else, and three responses of 24 MB have to fit.
 */
const MAX_MEMORY_SHARE = 7 / 16;
/** Largest part of the memory for bytes that are buffered, including those that cannot be refused. */
const MAX_BOUND_SHARE = 1 / 2;
/**
 * Part of the memory that sources are paused to keep free. With 3/16, freed buffers that the allocator
 * keeps after many stalled callers left no room for three responses of 24 MB.
 */
const SPARE_MEMORY_SHARE = 1 / 8;
/** Part of the memory that readers are aborted to keep free, for bursts between two checks. */
const MIN_SPARE_MEMORY_SHARE = 1 / 16;
/** Bytes that can be buffered even when the rest of the process needs more memory than expected. */
const MIN_MEMORY_SHARE = 1 / 16;
/** Above this part of the limit, readers that hold more than their fair share are paused. */
const SCARCE_SHARE = 3 / 4;
/** Above this part of the limit every reader is paused; the rest is for chunks that are on their way. */
const FULL_SHARE = 15 / 16;
/**
 * Most that is counted for a holder in addition: the receive buffer of its connection (131,072 bytes by
 * default in Linux), the send buffer to the reader, and chunks that were read and are not collected yet.
 */
const MAX_OVERHEAD_BYTES = 262_144;
/** The same for a holder of few bytes, such as a stream of small events, as a multiple of its bytes. */
const OVERHEAD_FACTOR = 4;
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
/**
 * Part of the limit that is read ahead in a period, so that responses that arrive together share the
 * room. All of it is read in 1.6 s, well before servers cut off.
 */
const PERIOD_SHARE = 1 / 16;
const PERIOD_MS = 100;
const NO_PERIOD = -1;
/** A reader that holds less uses no share of the room: it has at most one chunk. */
const MIN_SHARED_BYTES = READ_BYTES;

/**
 * Bounds the bytes that a daemon buffers for all slow readers together: callers that do not read large
 * responses or streams, servers that do not take request bodies, and daemons that do not read tunnelled
 * connections. Handles a few readers with large responses, many readers that stall at once, and readers
 * that take a byte now and then.
 *
 * While there is room, everything is buffered, at a bounded rate. When room gets scarce, sources of
 * readers above their fair share are paused, later all. A reader is aborted only if the bound is
 * exceeded nevertheless, or if it has been stalled for long while others cannot go on for want of room:
 * the one that has been stalled longest first.
 */
export class BufferBudget {
  /** Readers are aborted beyond this. */
  private boundBytes: number;
  private collectedBytes = 0;
  private readonly holders = new Map<BufferHolderId, HolderState>();
  /** Sources are paused near this. */
  private limitBytes: number;
  /** What all holders take beside their bytes. */
  private overheadBytes = 0;
  private pausedCount = 0;
  private period = NO_PERIOD;
  /** Bytes of readers at the start of the period. */
  private periodStartBytes = 0;
  private readerBytes = 0;
  /** Holders with bytes that somebody reads. */
  private readerCount = 0;
  /** Readers that hold so much that each has a share of the room. */
  private sharingCount = 0;

  constructor(private readonly options: BufferBudgetOptions) {
    this.limitBytes = Math.floor(options.memoryBytes * MAX_MEMORY_SHARE);
    this.boundBytes = Math.floor(options.memoryBytes * MAX_BOUND_SHARE);
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
    this.startPeriod(state, periodOf(nowMs));
    this.addBytes(state, bytes);
    if (!PAUSABLE_KINDS.has(kind) || this.mayRead(state, 0, nowMs)) {
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

  /** Records that the source of a holder has ended, so that nobody waits for it to be read. */
  endSource(holderId: BufferHolderId): void {
    const state = this.holders.get(holderId);
    if (state) {
      this.unpause(state);
    }
  }

  /** Holders whose sources are paused. */
  pausedHolders(): readonly BufferHolderId[] {
    return this.pausedCount === 0 ? [] : this.pausedByHeldBytes().map(([holderId]) => holderId);
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
   * Adapts the bounds to the memory that the process uses for everything else.
   *
   * @param otherBytes - resident memory of the process without buffered bytes
   */
  recordOtherMemory(otherBytes: number): void {
    this.limitBytes = this.partOfMemory(SPARE_MEMORY_SHARE, MAX_MEMORY_SHARE, otherBytes);
    this.boundBytes = this.partOfMemory(MIN_SPARE_MEMORY_SHARE, MAX_BOUND_SHARE, otherBytes);
  }

  /**
   * Takes the paused holders whose sources may be read again, those that hold least first, and no more
   * than the free room allows. They count as not paused afterwards.
   *
   * @param nowMs - monotonic time
   */
  takeResumable(nowMs: number): readonly BufferHolderId[] {
    if (this.pausedCount === 0) {
      return [];
    }
    let roomBytes = Math.max(0, this.limitBytes * FULL_SHARE - this.usedBytes());
    const resumed: BufferHolderId[] = [];
    for (const [holderId, state] of this.pausedByHeldBytes()) {
      if (
        state.heldBytes > 0 &&
        (roomBytes < READ_BYTES || !this.mayRead(state, READ_BYTES, nowMs))
      ) {
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
    const isExceeded = this.heldBytes() > this.boundBytes;
    if (!isExceeded && !this.isStarving(nowMs)) {
      return [];
    }
    const stalled = this.readersByStall();
    if (!isExceeded) {
      return stalled
        .filter(
          ([, { heldBytes, progressMs }]) =>
            heldBytes >= MIN_SHARED_BYTES && nowMs - progressMs >= STALLED_MS,
        )
        .slice(0, 1)
        .map(([holderId, state]) => toOverdue(holderId, state, 'starvation', nowMs));
    }
    const overdue: OverdueReader[] = [];
    let excessBytes = this.heldBytes() - this.boundBytes;
    for (const [holderId, state] of stalled) {
      if (excessBytes <= 0) {
        break;
      }
      excessBytes -= state.heldBytes;
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
      boundBytes: this.boundBytes,
      heldBytes: this.heldBytes(),
      limitBytes: this.limitBytes,
      pausedReaders: this.pausedCount,
      readers: this.readerCount,
      usedBytes: this.usedBytes(),
    };
  }

  private startPeriod(state: HolderState, period: number): void {
    if (this.period !== period) {
      this.period = period;
      this.periodStartBytes = this.readerBytes;
    }
    if (state.period !== period) {
      state.period = period;
      state.periodStartBytes = state.heldBytes;
    }
  }

  private partOfMemory(spareShare: number, maxShare: number, otherBytes: number): number {
    const { memoryBytes } = this.options;
    const roomBytes = memoryBytes * (1 - spareShare) - otherBytes;
    const partBytes = Math.min(roomBytes, memoryBytes * maxShare);
    return Math.floor(Math.max(partBytes, memoryBytes * MIN_MEMORY_SHARE));
  }

  private usedBytes(): number {
    return this.heldBytes() + this.overheadBytes;
  }

  private heldBytes(): number {
    return this.collectedBytes + this.readerBytes;
  }

  private mayRead(state: HolderState, nextBytes: number, nowMs: number): boolean {
    const usedBytes = this.usedBytes();
    if (this.hasUsedPeriod(state, nowMs)) {
      return false;
    }
    if (usedBytes <= this.limitBytes * SCARCE_SHARE) {
      return true;
    }
    return (
      usedBytes <= this.limitBytes * FULL_SHARE &&
      state.heldBytes + nextBytes <= this.fairShareBytes()
    );
  }

  /** Whether a holder has grown by its part of what is read ahead in a period, or all together have. */
  private hasUsedPeriod(
    { heldBytes, period, periodStartBytes }: HolderState,
    nowMs: number,
  ): boolean {
    const growthBytes = heldBytes - periodStartBytes;
    if (period !== periodOf(nowMs) || growthBytes <= 0) {
      return false;
    }
    const maxBytes = this.limitBytes * PERIOD_SHARE;
    return (
      growthBytes > maxBytes / Math.max(1, this.sharingCount) ||
      this.readerBytes - this.periodStartBytes > maxBytes
    );
  }

  /**
   * Equal part of the room for each reader that uses one. What the others hold is subtracted, so that
   * streams with a few events do not take a share each.
   */
  private fairShareBytes(): number {
    let roomBytes = this.limitBytes * FULL_SHARE;
    roomBytes -= this.overheadBytes + this.collectedBytes;
    for (const { heldBytes, kind } of this.holders.values()) {
      if (kind !== 'collected' && heldBytes < MIN_SHARED_BYTES) {
        roomBytes -= heldBytes;
      }
    }
    return Math.max(MIN_SHARED_BYTES, roomBytes / Math.max(1, this.sharingCount));
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
    const hadShare = state.heldBytes >= MIN_SHARED_BYTES;
    this.overheadBytes -= overheadOf(state);
    state.heldBytes += bytes;
    this.overheadBytes += overheadOf(state);
    if (state.kind === 'collected') {
      this.collectedBytes += bytes;
      return;
    }
    this.readerBytes += bytes;
    this.readerCount += Number(state.heldBytes > 0) - Number(hadBytes);
    this.sharingCount += Number(state.heldBytes >= MIN_SHARED_BYTES) - Number(hadShare);
  }

  private unpause(state: HolderState): void {
    if (state.isPaused) {
      state.isPaused = false;
      this.pausedCount -= 1;
    }
  }
}

function overheadOf({ heldBytes }: HolderState): number {
  return Math.min(MAX_OVERHEAD_BYTES, heldBytes * OVERHEAD_FACTOR);
}

function periodOf(nowMs: number): number {
  return Math.floor(nowMs / PERIOD_MS);
}

function newState(kind: BufferHolderKind, nowMs: number): HolderState {
  return {
    heldBytes: 0,
    isPaused: false,
    kind,
    pausedMs: nowMs,
    period: NO_PERIOD,
    periodStartBytes: 0,
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
