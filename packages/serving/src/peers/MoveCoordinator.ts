import type { MoveRequest } from '@laburnumgap/dispatch';
import { MoveQueue } from '@laburnumgap/dispatch';
import type { MemberId, MonotonicClock, RequestId, ServerId, Teardown } from '@laburnumgap/kernel';
import type { MoveMessage } from './PeerMessages.js';
import { startResponseTimeout } from '../ResponseTimeout.js';

/** Options of {@link MoveCoordinator}. */
export interface MoveTurnCoordinatorOptions {
  /** Runs a function once after a delay; the returned function cancels it. */
  readonly after?: (delayMs: number, run: () => void) => Teardown;
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
  readonly coordinatorId: MemberId;
  isQueued: boolean;
  readonly request: MoveRequest;
  readonly resolve: (outcome: TurnOutcome) => void;
  readonly sinceMs: number;
  cancelRepeat: Teardown;
}

/** Time after which an unacknowledged request is repeated once, as datagrams can be lost. */
const ACKNOWLEDGE_TIMEOUT_MS = 30;
/** A coordinator that has not acknowledged a request by then is dead or unreachable. */
const COORDINATOR_TIMEOUT_MS = 60;
/** Interval at which a queued request is repeated, in case the message with its turn was lost. */
const REPEAT_INTERVAL_MS = 250;
/**
 * Longest wait for a turn, longer than engines serve after they announced to leave. A copy that is
 * started without a turn queues on the link before the last piece of another stream, and both can be
 * lost.
 */
const MAX_TURN_WAIT_MS = 2_500;
/**
 * Time to gather the requests of an engine that leaves before the first turn is granted. The first
 * request to arrive can be the largest copy, and delay all others.
 */
const GATHER_MS = 20;
/** Interval of the check for turns that expired without a moveDone message. */
const QUEUE_CHECK_INTERVAL_MS = 100;

/**
 * Serializes KV-cache copies on the engines' network links. A daemon requests a turn before it
 * starts a copy; the daemon that is the coordinator at the time grants the turns.
 */
export class MoveCoordinator {
  private readonly coordinatorByRequest = new Map<RequestId, MemberId>();
  private isCheckScheduled = false;
  private isGathering = false;
  /** Turns that this daemon uses now. */
  private readonly heldTurns = new Set<RequestId>();
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
    const { clock, currentCoordinatorId, memberId } = this.options;
    const { requestId } = request;
    const coordinatorId = currentCoordinatorId();
    this.coordinatorByRequest.set(requestId, coordinatorId);
    return new Promise((resolve) => {
      this.pendingTurns.set(requestId, {
        coordinatorId,
        isQueued: false,
        request: { ...request, memberId },
        resolve,
        sinceMs: clock.nowMs(),
        cancelRepeat: this.scheduleRepeat(requestId, ACKNOWLEDGE_TIMEOUT_MS),
      });
      this.repeatRequest(requestId);
    });
  }

  /** Releases a turn, or withdraws the request for one. */
  releaseTurn(requestId: RequestId): void {
    const coordinatorId = this.coordinatorByRequest.get(requestId);
    this.coordinatorByRequest.delete(requestId);
    this.heldTurns.delete(requestId);
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
        const active = this.turnQueue.enqueue(message.wish, nowMs);
        if (active) {
          this.send({ kind: 'moveTurn', requestId, targetId: active.targetId }, memberId);
          break;
        }
        this.send({ kind: 'moveQueued', requestId }, memberId);
        if (!this.isGathering) {
          this.isGathering = true;
          this.after(GATHER_MS, () => {
            this.isGathering = false;
            this.grantTurns();
          });
        }
        break;
      }
    }
  }

  private grantTurns(): void {
    for (const { targetId, request } of this.turnQueue.assignReady(this.options.clock.nowMs())) {
      this.send({ kind: 'moveTurn', requestId: request.requestId, targetId }, request.memberId);
    }
    if (this.isCheckScheduled) {
      return;
    }
    this.isCheckScheduled = true;
    this.after(QUEUE_CHECK_INTERVAL_MS, () => {
      this.isCheckScheduled = false;
      if (this.turnQueue.hasMoves()) {
        this.grantTurns();
      }
    });
  }

  private onQueued(requestId: RequestId): void {
    const pending = this.pendingTurns.get(requestId);
    if (pending && !pending.isQueued) {
      pending.isQueued = true;
      pending.cancelRepeat();
      pending.cancelRepeat = this.scheduleRepeat(requestId, REPEAT_INTERVAL_MS);
    }
  }

  private repeatRequest(requestId: RequestId): void {
    const pending = this.pendingTurns.get(requestId);
    if (pending) {
      this.send({ kind: 'moveWanted', wish: pending.request }, pending.coordinatorId);
    }
  }

  /** Repeats a request that was not answered, and gives it up when its time is over. */
  private scheduleRepeat(requestId: RequestId, delayMs: number): Teardown {
    return this.after(delayMs, () => {
      const pending = this.pendingTurns.get(requestId);
      if (!pending) {
        return;
      }
      const { isQueued, sinceMs } = pending;
      const maxWaitMs = isQueued ? MAX_TURN_WAIT_MS : COORDINATOR_TIMEOUT_MS;
      if (this.options.clock.nowMs() - sinceMs >= maxWaitMs) {
        this.resolveTurn(requestId, { kind: 'ungranted' });
        return;
      }
      const repeatMs = isQueued ? REPEAT_INTERVAL_MS : ACKNOWLEDGE_TIMEOUT_MS;
      pending.cancelRepeat = this.scheduleRepeat(requestId, repeatMs);
      this.repeatRequest(requestId);
    });
  }

  private resolveTurn(requestId: RequestId, outcome: TurnOutcome): void {
    const pending = this.pendingTurns.get(requestId);
    if (!pending) {
      // A turn can arrive twice, since requests are repeated, or after its request was given up.
      if (outcome.kind === 'turn' && !this.heldTurns.has(requestId)) {
        this.releaseTurn(requestId);
      }
      return;
    }
    if (outcome.kind === 'turn') {
      this.heldTurns.add(requestId);
    }
    pending.cancelRepeat();
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

  private after(delayMs: number, run: () => void): Teardown {
    const { after, clock } = this.options;
    return after ? after(delayMs, run) : startResponseTimeout(clock, delayMs, run);
  }
}
