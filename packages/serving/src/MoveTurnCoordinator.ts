import type { MoveWish } from '@laburnumgap/dispatch';
import { MoveTurns } from '@laburnumgap/dispatch';
import type { MemberId, MonotonicClock, RequestId, ServerId } from '@laburnumgap/kernel';
import type { MoveMessage } from './PeerMessages.js';

/** Options of a keeper. */
export interface MoveTurnCoordinatorOptions {
  readonly clock: MonotonicClock;
  readonly memberId: MemberId;
  /** The daemon that gives the turns. Two may believe so: then copies share links. */
  readonly ownerId: () => MemberId;
  readonly send: (message: MoveMessage, to: MemberId) => void;
}

/** How a wait for a turn ended. */
export type TurnOutcome =
  { readonly kind: 'alone' } | { readonly kind: 'turn'; readonly targetId: ServerId };

interface Waiter {
  readonly resolve: (outcome: TurnOutcome) => void;
  timer: NodeJS.Timeout;
}

/** Without a word by then the owner is gone or cut off. */
const OWNER_TIMEOUT_MS = 50;
/** Longest wait for a turn; an engine that leaves is gone soon after. */
const TURN_WAIT_MS = 1_100;
/** Turns that end without a word are looked for this often. */
const CHECK_MS = 100;

/** Asks for turns on the engines' links, and gives them while this daemon is the one to ask. */
export class MoveTurnCoordinator {
  private checkTimer: NodeJS.Timeout | undefined;
  private readonly owners = new Map<RequestId, MemberId>();
  private readonly turns = new MoveTurns();
  private readonly waiters = new Map<RequestId, Waiter>();

  constructor(private readonly options: MoveTurnCoordinatorOptions) {}

  /** Waits for a turn. `alone` says that nobody gives one and the daemon goes ahead. */
  want(wish: Omit<MoveWish, 'memberId'>): Promise<TurnOutcome> {
    const { memberId, ownerId } = this.options;
    const owner = ownerId();
    this.owners.set(wish.requestId, owner);
    return new Promise((resolve) => {
      const timer = this.timeout(wish.requestId, OWNER_TIMEOUT_MS);
      this.waiters.set(wish.requestId, { resolve, timer });
      this.tell({ kind: 'moveWanted', wish: { ...wish, memberId } }, owner);
    });
  }

  /** Ends a turn. */
  done(requestId: RequestId): void {
    const owner = this.owners.get(requestId);
    this.owners.delete(requestId);
    if (owner !== undefined) {
      this.tell({ kind: 'moveDone', requestId }, owner);
    }
  }

  /** Takes a message of another daemon, or of this one. */
  heard(message: MoveMessage): void {
    const nowMs = this.options.clock.nowMs();
    switch (message.kind) {
      case 'moveDone':
        this.turns.done(message.requestId);
        this.give();
        break;
      case 'moveQueued':
        this.queued(message.requestId);
        break;
      case 'moveTurn':
        this.settle(message.requestId, { kind: 'turn', targetId: message.targetId });
        break;
      case 'moveWanted': {
        const { memberId, requestId } = message.wish;
        this.turns.want(message.wish, nowMs);
        this.tell({ kind: 'moveQueued', requestId }, memberId);
        this.give();
        break;
      }
    }
  }

  private give(): void {
    for (const { targetId, wish } of this.turns.next(this.options.clock.nowMs())) {
      this.tell({ kind: 'moveTurn', requestId: wish.requestId, targetId }, wish.memberId);
    }
    this.checkTimer ??= setTimeout(() => {
      this.checkTimer = undefined;
      if (this.turns.isBusy()) {
        this.give();
      }
    }, CHECK_MS);
  }

  private queued(requestId: RequestId): void {
    const waiter = this.waiters.get(requestId);
    if (waiter) {
      clearTimeout(waiter.timer);
      waiter.timer = this.timeout(requestId, TURN_WAIT_MS);
    }
  }

  private settle(requestId: RequestId, outcome: TurnOutcome): void {
    const waiter = this.waiters.get(requestId);
    if (!waiter) {
      if (outcome.kind === 'turn') {
        this.done(requestId);
      }
      return;
    }
    clearTimeout(waiter.timer);
    this.waiters.delete(requestId);
    waiter.resolve(outcome);
  }

  private tell(message: MoveMessage, to: MemberId): void {
    if (to === this.options.memberId) {
      this.heard(message);
    } else {
      this.options.send(message, to);
    }
  }

  private timeout(requestId: RequestId, ms: number): NodeJS.Timeout {
    return setTimeout(() => {
      this.settle(requestId, { kind: 'alone' });
    }, ms);
  }
}
