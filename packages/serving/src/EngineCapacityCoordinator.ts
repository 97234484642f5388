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
  readonly engineOf: (serverId: ServerId) => EngineLimits | undefined;
  readonly load: EngineLoad;
  readonly log: ServingLog;
  /** Whose word names the load of a daemon. */
  readonly loadSourceOf: (memberId: MemberId) => MemberId;
  readonly memberId: MemberId;
  /**
   * The daemon that grants room at an engine, without some that are silent. Two may believe to be it:
   * then each counts its own.
   */
  readonly ownerOf: (server: BackendServer, without: ReadonlySet<MemberId>) => MemberId;
  readonly send: (message: RoomMessage, to: MemberId) => void;
}

interface Question {
  readonly onAnswer: (isGranted: boolean) => void;
  readonly server: BackendServer;
  readonly wish: RoomWish;
}

interface Waiter extends Question {
  readonly timer: NodeJS.Timeout;
}

/** Without an answer by then the owner is gone or cut off: many round trips of one region. */
const OWNER_TIMEOUT_MS = 120;
/** An owner that did not answer is passed over for this time. */
const OWNER_SILENT_MS = 500;
/** Owners that are tried before a daemon goes ahead alone: it may be the one that is cut off. */
const MAX_OWNERS = 2;

/** Asks the owners of engines for room, and grants it at the engines that this daemon owns. */
export class EngineCapacityCoordinator {
  private readonly silentSince = new Map<MemberId, number>();
  private readonly waiters = new Map<RequestId, Waiter>();

  constructor(private readonly options: EngineCapacityCoordinatorOptions) {}

  /**
   * Asks for room at an engine. Where no owner answers it counts as granted.
   *
   * @param wish - the generation
   * @param server - the engine
   * @param onAnswer - told once, at once where this daemon owns the engine
   */
  ask(wish: RoomWish, server: BackendServer, onAnswer: (isGranted: boolean) => void): void {
    this.askOwner({ onAnswer, server, wish }, 1);
  }

  /** Takes a message of another daemon. */
  heard(message: RoomMessage): void {
    if (message.kind === 'roomWanted') {
      this.answer(message.wish, message.memberId);
      return;
    }
    const { clock, load } = this.options;
    const { isGranted, requestId, serverId, totals } = message;
    load.noteOwnerWord(serverId, totals, clock.nowMs());
    this.settle(requestId, serverId, isGranted);
  }

  private askOwner(question: Question, count: number): void {
    const { clock, log, memberId, ownerOf, send } = this.options;
    const { onAnswer, server, wish } = question;
    const { requestId, serverId } = wish;
    const nowMs = clock.nowMs();
    const owner = ownerOf(server, this.silentNow(nowMs));
    if (owner === memberId) {
      onAnswer(this.judge(wish, nowMs).isGranted);
      return;
    }
    const timer = setTimeout(() => {
      this.silentSince.set(owner, clock.nowMs());
      this.waiters.delete(requestId);
      log.warn('owner-silent', { owner, requestId, serverId });
      if (count < MAX_OWNERS) {
        this.askOwner(question, count + 1);
      } else {
        onAnswer(true);
      }
    }, OWNER_TIMEOUT_MS);
    this.waiters.set(requestId, { ...question, timer });
    send({ kind: 'roomWanted', memberId, wish }, owner);
  }

  private silentNow(nowMs: number): ReadonlySet<MemberId> {
    for (const [memberId, sinceMs] of this.silentSince) {
      if (nowMs - sinceMs >= OWNER_SILENT_MS) {
        this.silentSince.delete(memberId);
      }
    }
    return new Set(this.silentSince.keys());
  }

  private answer(wish: RoomWish, asker: MemberId): void {
    const { clock, load, loadSourceOf, send } = this.options;
    const { plannedTokens, promptTokens, requestId, serverId, unreadTokens } = wish;
    const nowMs = clock.nowMs();
    const { isGranted, totals } = this.judge(wish, nowMs);
    if (isGranted) {
      const sourceId = loadSourceOf(asker);
      const share = { plannedTokens, readingTokens: unreadTokens, runs: 1, serverId };
      const isSummed = sourceId !== asker;
      load.noteGrant({ isSummed, share: { ...share, usedTokens: promptTokens }, sourceId }, nowMs);
    }
    send({ isGranted, kind: 'roomAnswer', requestId, serverId, totals }, asker);
  }

  /** An engine that this daemon does not know is not for it to decline. */
  private judge(wish: RoomWish, nowMs: number): { isGranted: boolean; totals: EngineTotals } {
    const { engineOf, load } = this.options;
    const totals = load.totals(wish.serverId, nowMs);
    const engine = engineOf(wish.serverId);
    return { isGranted: !engine || grantsRoom(wish, totals, engine), totals };
  }

  private settle(requestId: RequestId, serverId: ServerId, isGranted: boolean): void {
    const waiter = this.waiters.get(requestId);
    if (waiter?.wish.serverId !== serverId) {
      return;
    }
    clearTimeout(waiter.timer);
    this.waiters.delete(requestId);
    waiter.onAnswer(isGranted);
  }
}
