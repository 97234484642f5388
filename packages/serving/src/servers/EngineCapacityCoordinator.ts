import type {
  BackendServer,
  CapacityReserve,
  EngineLimits,
  EngineLoad,
  EngineTotals,
  CapacityRequest,
} from '@laburnumgap/dispatch';
import { grantsCapacity, lacksCapacity } from '@laburnumgap/dispatch';
import type { MemberId, MonotonicClock, RequestId, ServerId, Teardown } from '@laburnumgap/kernel';
import type { CapacityMessage } from '../peers/PeerMessages.js';
import { startResponseTimeout } from '../ResponseTimeout.js';
import type { ServingLog } from '../ServingLog.js';

/** Keeps capacity of engines for more urgent generations in a shortage. */
export interface CapacityKeeper {
  /** Records whether an own engine lacked capacity for a request, with what was kept from it. */
  recordDecision(request: CapacityRequest, isLacking: boolean, kept: CapacityReserve): void;
  /** Capacity that is kept from a request; the requester is undefined for this daemon. */
  reserveFor(request: CapacityRequest, requesterId: MemberId | undefined): CapacityReserve;
}

/** Options of {@link EngineCapacityCoordinator}. */
export interface EngineCapacityCoordinatorOptions {
  /** Absent where daemons do not share a shortage. */
  readonly capacityKeeper?: CapacityKeeper;
  readonly clock: MonotonicClock;
  /** Limits of an engine; undefined when this daemon does not know the engine. */
  readonly engineLimitsOf: (serverId: ServerId) => EngineLimits | undefined;
  readonly load: EngineLoad;
  /** Source under which the load of a daemon is recorded: the daemon or its failure domain. */
  readonly loadSourceOf: (memberId: MemberId) => MemberId;
  readonly log: ServingLog;
  readonly memberId: MemberId;
  /**
   * Daemon that grants capacity at an engine, not counting excluded daemons. While views differ
   * there can be two owners; each then counts only its own grants.
   */
  readonly ownerOf: (server: BackendServer, excluded: ReadonlySet<MemberId>) => MemberId;
  readonly send: (message: CapacityMessage, recipientId: MemberId) => void;
}

interface OwnerQuery {
  readonly capacityRequest: CapacityRequest;
  readonly onDecision: (isGranted: boolean) => void;
  readonly server: BackendServer;
}

interface PendingQuery extends OwnerQuery {
  readonly cancelTimeout: Teardown;
}

/**
 * An owner that does not respond within this is dead or unreachable: many round trips in a region.
 */
const OWNER_TIMEOUT_MS = 120;
/** An owner that did not respond is not asked again for this time. */
const UNRESPONSIVE_OWNER_HOLD_MS = 500;
/** Owners to try before proceeding without a grant: this daemon may itself be partitioned. */
const MAX_OWNERS = 2;

/**
 * Requests capacity for generations from the owners of the engines, and grants it at the engines
 * that this daemon owns. Prevents daemons from overcommitting an engine between two load reports.
 */
export class EngineCapacityCoordinator {
  private readonly pendingQueries = new Map<RequestId, PendingQuery>();
  private readonly unresponsiveSinceMs = new Map<MemberId, number>();

  constructor(private readonly options: EngineCapacityCoordinatorOptions) {}

  /**
   * Requests capacity at an engine. Counts as granted when no owner responds.
   *
   * @param capacityRequest - the generation
   * @param server - the engine
   * @param onDecision - called once with the decision; synchronously when this daemon owns the
   *   engine
   */
  requestCapacity(
    capacityRequest: CapacityRequest,
    server: BackendServer,
    onDecision: (isGranted: boolean) => void,
  ): void {
    this.askOwner({ capacityRequest, onDecision, server }, 1);
  }

  /** Handles a message of another daemon. */
  onMessage(message: CapacityMessage): void {
    if (message.kind === 'roomWanted') {
      this.respond(message.wish, message.memberId);
      return;
    }
    const { clock, load } = this.options;
    const { isGranted, requestId, serverId, totals } = message;
    load.recordOwnerReport(serverId, totals, clock.nowMs());
    this.resolveQuery(requestId, serverId, isGranted);
  }

  private askOwner(query: OwnerQuery, attemptNumber: number): void {
    const { clock, log, memberId, ownerOf, send } = this.options;
    const { capacityRequest, onDecision, server } = query;
    const { requestId, serverId } = capacityRequest;
    const nowMs = clock.nowMs();
    const ownerId = ownerOf(server, this.unresponsiveOwners(nowMs));
    if (ownerId === memberId) {
      onDecision(this.decide(capacityRequest, undefined, nowMs).isGranted);
      return;
    }
    const cancelTimeout = startResponseTimeout(clock, OWNER_TIMEOUT_MS, () => {
      this.unresponsiveSinceMs.set(ownerId, clock.nowMs());
      this.pendingQueries.delete(requestId);
      log.warn('owner-silent', { owner: ownerId, requestId, serverId });
      if (attemptNumber < MAX_OWNERS) {
        this.askOwner(query, attemptNumber + 1);
      } else {
        onDecision(true);
      }
    });
    this.pendingQueries.set(requestId, { ...query, cancelTimeout });
    send({ kind: 'roomWanted', memberId, wish: capacityRequest }, ownerId);
  }

  private unresponsiveOwners(nowMs: number): ReadonlySet<MemberId> {
    for (const [memberId, sinceMs] of this.unresponsiveSinceMs) {
      if (nowMs - sinceMs >= UNRESPONSIVE_OWNER_HOLD_MS) {
        this.unresponsiveSinceMs.delete(memberId);
      }
    }
    return new Set(this.unresponsiveSinceMs.keys());
  }

  private respond(capacityRequest: CapacityRequest, requesterId: MemberId): void {
    const { clock, load, loadSourceOf, send } = this.options;
    const { longRuns, plannedTokens, promptTokens, requestId, serverId, unreadTokens } =
      capacityRequest;
    const nowMs = clock.nowMs();
    const { isGranted, totals } = this.decide(capacityRequest, requesterId, nowMs);
    if (isGranted) {
      const sourceId = loadSourceOf(requesterId);
      const share = {
        ...(longRuns !== undefined && { longRuns }),
        plannedTokens,
        readingTokens: unreadTokens,
        runs: 1,
        serverId,
      };
      const isAggregated = sourceId !== requesterId;
      load.recordGrant(
        {
          isAggregated: isAggregated,
          share: { ...share, usedTokens: promptTokens },
          reporterId: sourceId,
        },
        nowMs,
      );
    }
    send({ isGranted, kind: 'roomAnswer', requestId, serverId, totals }, requesterId);
  }

  /**
   * Grants unless the engine's limits forbid it; an engine without known limits is never declined.
   */
  private decide(
    capacityRequest: CapacityRequest,
    requesterId: MemberId | undefined,
    nowMs: number,
  ): { isGranted: boolean; totals: EngineTotals } {
    const { capacityKeeper, engineLimitsOf, load } = this.options;
    const totals = load.totals(capacityRequest.serverId, nowMs);
    const limits = engineLimitsOf(capacityRequest.serverId);
    const reserve = capacityKeeper?.reserveFor(capacityRequest, requesterId);
    const isGranted = !limits || grantsCapacity(capacityRequest, totals, limits, reserve);
    if (reserve && limits) {
      const isLacking = lacksCapacity(capacityRequest, totals, limits, reserve);
      capacityKeeper?.recordDecision(capacityRequest, isLacking, reserve);
    }
    return { isGranted, totals };
  }

  private resolveQuery(requestId: RequestId, serverId: ServerId, isGranted: boolean): void {
    const pending = this.pendingQueries.get(requestId);
    if (pending?.capacityRequest.serverId !== serverId) {
      return;
    }
    pending.cancelTimeout();
    this.pendingQueries.delete(requestId);
    pending.onDecision(isGranted);
  }
}
