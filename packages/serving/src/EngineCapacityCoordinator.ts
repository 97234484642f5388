import type {
  BackendServer,
  EngineLimits,
  EngineLoad,
  EngineTotals,
  RoomWish,
} from '@laburnumgap/dispatch';
import { grantsRoom } from '@laburnumgap/dispatch';
import type { MemberId, MonotonicClock, RequestId, ServerId } from '@laburnumgap/kernel';
import type { RoomMessage } from './PeerMessages.js';
import type { ServingLog } from './ServingLog.js';

/** Options of a keeper. */
export interface EngineCapacityCoordinatorOptions {
  readonly clock: MonotonicClock;
  /** Limits of an engine; undefined when this daemon does not know it. */
  readonly engineLimitsOf: (serverId: ServerId) => EngineLimits | undefined;
  readonly load: EngineLoad;
  readonly log: ServingLog;
  /** Whose word names the load of a daemon. */
  readonly loadSourceOf: (memberId: MemberId) => MemberId;
  readonly memberId: MemberId;
  /**
   * The daemon that grants room at an engine, without some that are silent. Two may believe to be it:
   * then each counts its own.
   */
  readonly ownerOf: (server: BackendServer, excluded: ReadonlySet<MemberId>) => MemberId;
  readonly send: (message: RoomMessage, to: MemberId) => void;
}

interface CapacityRequest {
  readonly onAnswer: (isGranted: boolean) => void;
  readonly server: BackendServer;
  readonly wish: RoomWish;
}

interface PendingRequest extends CapacityRequest {
  readonly timer: NodeJS.Timeout;
}

/** Without an answer by then the owner is gone or cut off: many round trips of one region. */
const OWNER_TIMEOUT_MS = 120;
/** An owner that did not answer is passed over for this time. */
const UNRESPONSIVE_OWNER_HOLD_MS = 500;
/** Owners that are tried before a daemon goes ahead alone: it may be the one that is cut off. */
const MAX_OWNERS = 2;

/** Asks the owners of engines for room, and grants it at the engines that this daemon owns. */
export class EngineCapacityCoordinator {
  private readonly unresponsiveSinceMs = new Map<MemberId, number>();
  private readonly pendingRequests = new Map<RequestId, PendingRequest>();

  constructor(private readonly options: EngineCapacityCoordinatorOptions) {}

  /**
   * Asks for room at an engine. Where no owner answers it counts as granted.
   *
   * @param wish - the generation
   * @param server - the engine
   * @param onAnswer - told once, at once where this daemon owns the engine
   */
  requestCapacity(
    wish: RoomWish,
    server: BackendServer,
    onAnswer: (isGranted: boolean) => void,
  ): void {
    this.askOwner({ onAnswer, server, wish }, 1);
  }

  /** Takes a message of another daemon. */
  onMessage(message: RoomMessage): void {
    if (message.kind === 'roomWanted') {
      this.answerRequest(message.wish, message.memberId);
      return;
    }
    const { clock, load } = this.options;
    const { isGranted, requestId, serverId, totals } = message;
    load.noteOwnerWord(serverId, totals, clock.nowMs());
    this.resolveRequest(requestId, serverId, isGranted);
  }

  private askOwner(request: CapacityRequest, attemptNumber: number): void {
    const { clock, log, memberId, ownerOf, send } = this.options;
    const { onAnswer, server, wish } = request;
    const { requestId, serverId } = wish;
    const nowMs = clock.nowMs();
    const ownerId = ownerOf(server, this.unresponsiveOwners(nowMs));
    if (ownerId === memberId) {
      onAnswer(this.decide(wish, nowMs).isGranted);
      return;
    }
    const timer = setTimeout(() => {
      this.unresponsiveSinceMs.set(ownerId, clock.nowMs());
      this.pendingRequests.delete(requestId);
      log.warn('owner-silent', { owner: ownerId, requestId, serverId });
      if (attemptNumber < MAX_OWNERS) {
        this.askOwner(request, attemptNumber + 1);
      } else {
        onAnswer(true);
      }
    }, OWNER_TIMEOUT_MS);
    this.pendingRequests.set(requestId, { ...request, timer });
    send({ kind: 'roomWanted', memberId, wish }, ownerId);
  }

  private unresponsiveOwners(nowMs: number): ReadonlySet<MemberId> {
    for (const [memberId, sinceMs] of this.unresponsiveSinceMs) {
      if (nowMs - sinceMs >= UNRESPONSIVE_OWNER_HOLD_MS) {
        this.unresponsiveSinceMs.delete(memberId);
      }
    }
    return new Set(this.unresponsiveSinceMs.keys());
  }

  private answerRequest(wish: RoomWish, requesterId: MemberId): void {
    const { clock, load, loadSourceOf, send } = this.options;
    const { plannedTokens, promptTokens, requestId, serverId, unreadTokens } = wish;
    const nowMs = clock.nowMs();
    const { isGranted, totals } = this.decide(wish, nowMs);
    if (isGranted) {
      const sourceId = loadSourceOf(requesterId);
      const share = { plannedTokens, readingTokens: unreadTokens, runs: 1, serverId };
      const isSummed = sourceId !== requesterId;
      load.noteGrant({ isSummed, share: { ...share, usedTokens: promptTokens }, sourceId }, nowMs);
    }
    send({ isGranted, kind: 'roomAnswer', requestId, serverId, totals }, requesterId);
  }

  /** An engine that this daemon does not know is not for it to decline. */
  private decide(wish: RoomWish, nowMs: number): { isGranted: boolean; totals: EngineTotals } {
    const { engineLimitsOf: engineLimits, load } = this.options;
    const totals = load.totals(wish.serverId, nowMs);
    const limits = engineLimits(wish.serverId);
    return { isGranted: !limits || grantsRoom(wish, totals, limits), totals };
  }

  private resolveRequest(requestId: RequestId, serverId: ServerId, isGranted: boolean): void {
    const pending = this.pendingRequests.get(requestId);
    if (pending?.wish.serverId !== serverId) {
      return;
    }
    clearTimeout(pending.timer);
    this.pendingRequests.delete(requestId);
    pending.onAnswer(isGranted);
  }
}
