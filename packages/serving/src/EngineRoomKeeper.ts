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

/** Options of a keeper. */
export interface EngineRoomKeeperOptions {
  readonly clock: MonotonicClock;
  /** Limits of an engine; undefined when this daemon does not know it. */
  readonly engineOf: (serverId: ServerId) => EngineLimits | undefined;
  readonly load: EngineLoad;
  /** Whose word names the load of a daemon. */
  readonly loadSourceOf: (memberId: MemberId) => MemberId;
  readonly memberId: MemberId;
  /** The daemon that grants room at an engine. Two may believe to be it: then each counts its own. */
  readonly ownerOf: (server: BackendServer) => MemberId;
  readonly send: (message: RoomMessage, to: MemberId) => void;
}

interface Waiter {
  readonly onAnswer: (isGranted: boolean) => void;
  readonly serverId: ServerId;
  readonly timer: NodeJS.Timeout;
}

/** Without an answer by then the owner is gone or cut off, and the daemon goes ahead. */
const OWNER_TIMEOUT_MS = 40;
/** An owner that did not answer is not asked again for this time. */
const OWNER_SILENT_MS = 500;

/** Asks the owners of engines for room, and grants it at the engines that this daemon owns. */
export class EngineRoomKeeper {
  private readonly silentSince = new Map<MemberId, number>();
  private readonly waiters = new Map<RequestId, Waiter>();

  constructor(private readonly options: EngineRoomKeeperOptions) {}

  /**
   * Asks for room at an engine. An owner that does not answer grants it.
   *
   * @param wish - the generation
   * @param server - the engine
   * @param onAnswer - told once, at once where this daemon owns the engine
   */
  ask(wish: RoomWish, server: BackendServer, onAnswer: (isGranted: boolean) => void): void {
    const { clock, load, memberId, ownerOf } = this.options;
    const nowMs = clock.nowMs();
    const owner = ownerOf(server);
    if (owner === memberId) {
      const engine = this.options.engineOf(server.serverId);
      onAnswer(!engine || grantsRoom(wish, load.totals(server.serverId, nowMs), engine));
      return;
    }
    if (nowMs - (this.silentSince.get(owner) ?? -Infinity) < OWNER_SILENT_MS) {
      onAnswer(true);
      return;
    }
    const timer = setTimeout(() => {
      this.silentSince.set(owner, clock.nowMs());
      this.settle(wish.requestId, server.serverId, true);
    }, OWNER_TIMEOUT_MS);
    this.waiters.set(wish.requestId, { onAnswer, serverId: server.serverId, timer });
    this.options.send({ kind: 'roomWanted', memberId, wish }, owner);
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

  private answer(wish: RoomWish, asker: MemberId): void {
    const { clock, engineOf, load, loadSourceOf, send } = this.options;
    const { plannedTokens, promptTokens, requestId, serverId, unreadTokens } = wish;
    const nowMs = clock.nowMs();
    const totals: EngineTotals = load.totals(serverId, nowMs);
    const engine = engineOf(serverId);
    const isGranted = !engine || grantsRoom(wish, totals, engine);
    if (isGranted) {
      const sourceId = loadSourceOf(asker);
      const share = { plannedTokens, readingTokens: unreadTokens, runs: 1, serverId };
      load.noteGrant({ share: { ...share, usedTokens: promptTokens }, sourceId }, nowMs);
    }
    send({ isGranted, kind: 'roomAnswer', requestId, serverId, totals }, asker);
  }

  private settle(requestId: RequestId, serverId: ServerId, isGranted: boolean): void {
    const waiter = this.waiters.get(requestId);
    if (waiter?.serverId !== serverId) {
      return;
    }
    clearTimeout(waiter.timer);
    this.waiters.delete(requestId);
    waiter.onAnswer(isGranted);
  }
}
