import type { MoveRequest } from '@laburnumgap/dispatch';
import { MoveQueue } from '@laburnumgap/dispatch';
import type { MemberId, MonotonicClock, RequestId, ServerId } from '@laburnumgap/kernel';
import type { MoveMessage } from './PeerMessages.js';

/** Options of {@link MoveCoordinator}. */
export interface MoveTurnCoordinatorOptions {
  readonly clock: MonotonicClock;
  /** Daemon that grants the turns. While views differ there can be two; then copies share links. */
  readonly currentCoordinatorId: () => MemberId;
  readonly memberId: MemberId;
  readonly send: (message: MoveMessage, recipientId: MemberId) => void;
}

/** Result of a request for a turn; `ungranted` means that no coordinator granted one in time. */
export type TurnOutcome =
  { readonly kind: 'turn'; readonly targetId: ServerId } | { readonly kind: 'ungranted' };

interface PendingTurn {
  readonly resolve: (outcome: TurnOutcome) => void;
  timer: NodeJS.Timeout;
}

/** A coordinator that does not acknowledge a request within this is dead or unreachable. */
const COORDINATOR_TIMEOUT_MS = 50;
/** Longest wait for a turn; a leaving engine ends soon after. */
const MAX_TURN_WAIT_MS = 1_100;
/** Interval of the check for turns that expired without a moveDone message. */
const QUEUE_CHECK_INTERVAL_MS = 100;

/**
 * Serializes KV-cache copies on the engines' network links. A daemon requests a turn before it
 * starts a copy; the daemon that is the coordinator at the time grants the turns.
 */
export class MoveCoordinator {
  private checkTimer: NodeJS.Timeout | undefined;
  private readonly coordinatorByRequest = new Map<RequestId, MemberId>();
  private readonly pendingTurns = new Map<RequestId, PendingTurn>();
  private readonly turnQueue = new MoveQueue();

  constructor(private readonly options: MoveTurnCoordinatorOptions) {}

  /**
   * Requests a turn from the coordinator.
   *
   * @param request - the stream to move and its possible targets
   * @returns the turn, or `ungranted` when none was granted in time and the daemon proceeds
   *   without one
   */
  requestTurn(request: Omit<MoveRequest, 'memberId'>): Promise<TurnOutcome> {
    const { memberId, currentCoordinatorId } = this.options;
    const coordinatorId = currentCoordinatorId();
    this.coordinatorByRequest.set(request.requestId, coordinatorId);
    return new Promise((resolve) => {
      const timer = this.startTimeout(request.requestId, COORDINATOR_TIMEOUT_MS);
      this.pendingTurns.set(request.requestId, { resolve, timer });
      this.send({ kind: 'moveWanted', wish: { ...request, memberId } }, coordinatorId);
    });
  }

  /** Releases a turn, or withdraws the request for one. */
  releaseTurn(requestId: RequestId): void {
    const coordinatorId = this.coordinatorByRequest.get(requestId);
    this.coordinatorByRequest.delete(requestId);
    if (coordinatorId !== undefined) {
      this.send({ kind: 'moveDone', requestId }, coordinatorId);
    }
  }

  /** Handles a message of another daemon or of this one. */
  onMessage(message: MoveMessage): void {
    const nowMs = this.options.clock.nowMs();
    switch (message.kind) {
      case 'moveDone':
        this.turnQueue.finish(message.requestId);
        this.grantTurns();
        break;
      case 'moveQueued':
        this.onQueued(message.requestId);
        break;
      case 'moveTurn':
        this.resolveTurn(message.requestId, { kind: 'turn', targetId: message.targetId });
        break;
      case 'moveWanted': {
        const { memberId, requestId } = message.wish;
        this.turnQueue.enqueue(message.wish, nowMs);
        this.send({ kind: 'moveQueued', requestId }, memberId);
        this.grantTurns();
        break;
      }
    }
  }

  private grantTurns(): void {
    for (const { targetId, request } of this.turnQueue.assignReady(this.options.clock.nowMs())) {
      this.send({ kind: 'moveTurn', requestId: request.requestId, targetId }, request.memberId);
    }
    this.checkTimer ??= setTimeout(() => {
      this.checkTimer = undefined;
      if (this.turnQueue.hasMoves()) {
        this.grantTurns();
      }
    }, QUEUE_CHECK_INTERVAL_MS);
  }

  private onQueued(requestId: RequestId): void {
    const pending = this.pendingTurns.get(requestId);
    if (pending) {
      clearTimeout(pending.timer);
      pending.timer = this.startTimeout(requestId, MAX_TURN_WAIT_MS);
    }
  }

  private resolveTurn(requestId: RequestId, outcome: TurnOutcome): void {
    const pending = this.pendingTurns.get(requestId);
    if (!pending) {
      if (outcome.kind === 'turn') {
        this.releaseTurn(requestId);
      }
      return;
    }
    clearTimeout(pending.timer);
    this.pendingTurns.delete(requestId);
    pending.resolve(outcome);
  }

  private send(message: MoveMessage, recipientId: MemberId): void {
    if (recipientId === this.options.memberId) {
      this.onMessage(message);
    } else {
      this.options.send(message, recipientId);
    }
  }

  private startTimeout(requestId: RequestId, timeoutMs: number): NodeJS.Timeout {
    return setTimeout(() => {
      this.resolveTurn(requestId, { kind: 'ungranted' });
    }, timeoutMs);
  }
}
