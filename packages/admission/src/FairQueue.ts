import type { TeamId } from '@laburnumgap/kernel';
import type { AdmissionRequest, ReservationId } from './AdmissionTypes.js';

/** A queued request. */
export interface QueuedRequest {
  readonly arrivedMs: number;
  readonly request: AdmissionRequest;
  /** Expected work, in tokens held in the KV cache times decoding steps. */
  readonly work: number;
}

/** Options of {@link FairQueue}. */
export interface FairQueueOptions {
  /** A request is promoted by one class for each such fraction of its wait bound that passes. */
  readonly ageingShare?: number;
}

/** Queued requests of one team and one priority class. */
interface TeamQueue {
  readonly entries: QueuedRequest[];
  readonly priorityClass: number;
  readonly teamId: TeamId;
  readonly weight: number;
  /** Sum of the work of all entries. */
  work: number;
}

const DEFAULT_AGEING_SHARE = 0.5;
/** Above this number, the counters of teams without queued requests are dropped. */
const MAX_SERVICE_COUNTERS = 2_048;

/**
 * Weighted fair queue that shares an engine by tokens. Each team has a service counter: the tokens
 * that it was served, divided by its weight. Within a priority class, the team with the lowest
 * counter is served first. The counter of a team that was idle is raised to the lowest counter of
 * the waiting teams, so that a team cannot accumulate credit while it is idle. A request that has
 * waited long or was preempted is promoted to a higher class.
 */
export class FairQueue {
  private readonly ageingShare: number;
  private queuedCount = 0;
  /** Tokens served per unit of weight, by team. */
  private readonly serviceCounters = new Map<TeamId, number>();
  /** Non-empty queues, by team and class. */
  private readonly teamQueues = new Map<string, TeamQueue>();

  constructor(options: FairQueueOptions = {}) {
    this.ageingShare = options.ageingShare ?? DEFAULT_AGEING_SHARE;
  }

  /** Number of queued requests. */
  size(): number {
    return this.queuedCount;
  }

  /** Adds served tokens to the service counter of a team. */
  charge(teamId: TeamId, weight: number, tokens: number): void {
    this.serviceCounters.set(teamId, (this.serviceCounters.get(teamId) ?? 0) + tokens / weight);
  }

  /** Returns the request to serve next, without removing it. */
  first(nowMs: number): QueuedRequest | undefined {
    let best: TeamQueue | undefined;
    for (const teamQueue of this.teamQueues.values()) {
      if (!best || this.precedes(teamQueue, best, nowMs)) {
        best = teamQueue;
      }
    }
    return best?.entries[0];
  }

  /** Adds a request. Within a queue, preempted requests come first, then the order of arrival. */
  push(entry: QueuedRequest): void {
    const { request } = entry;
    this.liftCounter(request.teamId);
    const teamQueue = this.teamQueueFor(request);
    const index = teamQueue.entries.findIndex(
      (other) => other.request.preemptions < request.preemptions,
    );
    teamQueue.entries.splice(index < 0 ? teamQueue.entries.length : index, 0, entry);
    teamQueue.work += entry.work;
    this.queuedCount += 1;
  }

  /** Removes a request. Returns undefined if it is not queued. */
  remove(reservationId: ReservationId): QueuedRequest | undefined {
    for (const teamQueue of this.teamQueues.values()) {
      const index = teamQueue.entries.findIndex(
        (entry) => entry.request.reservationId === reservationId,
      );
      if (index >= 0) {
        return this.removeAt(teamQueue, index);
      }
    }
    return undefined;
  }

  /** Removes all requests whose wait bound has passed. */
  removeExpired(nowMs: number): readonly QueuedRequest[] {
    return this.removeWhere((entry) => deadlineOf(entry) <= nowMs);
  }

  /** Removes all requests. */
  removeAll(): readonly QueuedRequest[] {
    return this.removeWhere(() => true);
  }

  /** Earliest time at which a wait bound passes; undefined if the queue is empty. */
  nextDeadlineMs(): number | undefined {
    let next: number | undefined;
    for (const teamQueue of this.teamQueues.values()) {
      for (const entry of teamQueue.entries) {
        next = Math.min(next ?? Infinity, deadlineOf(entry));
      }
    }
    return next;
  }

  /**
   * Work that will be served before a new request of a team: all queued work of the team in its
   * class, all queued work of other teams in higher classes, and the part of the other teams' work
   * in the same class that their weights entitle them to in the same time.
   *
   * @param teamId - team of the new request
   * @param priorityClass - class of the new request
   * @param weight - weight of the team
   * @param work - work of the new request
   * @returns the work ahead, in tokens times decoding steps
   */
  workAhead(teamId: TeamId, priorityClass: number, weight: number, work: number): number {
    const ownWork = this.teamQueues.get(teamQueueKey(teamId, priorityClass))?.work ?? 0;
    const ownWorkPerWeight = (ownWork + work) / weight;
    let aheadWork = ownWork;
    for (const teamQueue of this.teamQueues.values()) {
      if (teamQueue.teamId === teamId || teamQueue.priorityClass > priorityClass) {
        continue;
      }
      const isHigher = teamQueue.priorityClass < priorityClass;
      aheadWork += isHigher
        ? teamQueue.work
        : Math.min(teamQueue.work, ownWorkPerWeight * teamQueue.weight);
    }
    return aheadWork;
  }

  /** Class of the first request of a queue after promotions for waiting and preemptions. */
  private effectiveClass(teamQueue: TeamQueue, nowMs: number): number {
    const [first] = teamQueue.entries;
    if (!first) {
      return teamQueue.priorityClass;
    }
    const promotionIntervalMs = this.ageingShare * first.request.waitBoundMs;
    const promotions = Math.floor((nowMs - first.arrivedMs) / promotionIntervalMs);
    return Math.max(0, teamQueue.priorityClass - promotions - first.request.preemptions);
  }

  private teamQueueFor(request: AdmissionRequest): TeamQueue {
    const key = teamQueueKey(request.teamId, request.priorityClass);
    const known = this.teamQueues.get(key);
    if (known) {
      return known;
    }
    const { priorityClass, teamId, weight } = request;
    const teamQueue: TeamQueue = { entries: [], priorityClass, teamId, weight, work: 0 };
    this.teamQueues.set(key, teamQueue);
    return teamQueue;
  }

  /** Raises the counter of a team without queued requests to the lowest of the waiting teams. */
  private liftCounter(teamId: TeamId): void {
    let lowest = Infinity;
    for (const teamQueue of this.teamQueues.values()) {
      if (teamQueue.teamId === teamId) {
        return;
      }
      lowest = Math.min(lowest, this.serviceCounters.get(teamQueue.teamId) ?? 0);
    }
    const own = this.serviceCounters.get(teamId) ?? 0;
    this.serviceCounters.set(teamId, lowest === Infinity ? own : Math.max(own, lowest));
    this.forgetIdleTeams();
  }

  private forgetIdleTeams(): void {
    if (this.serviceCounters.size <= MAX_SERVICE_COUNTERS) {
      return;
    }
    const waiting = new Set([...this.teamQueues.values()].map((teamQueue) => teamQueue.teamId));
    for (const teamId of this.serviceCounters.keys()) {
      if (!waiting.has(teamId)) {
        this.serviceCounters.delete(teamId);
      }
    }
  }

  private precedes(teamQueue: TeamQueue, other: TeamQueue, nowMs: number): boolean {
    const classDifference =
      this.effectiveClass(teamQueue, nowMs) - this.effectiveClass(other, nowMs);
    if (classDifference !== 0) {
      return classDifference < 0;
    }
    const served = this.serviceCounters.get(teamQueue.teamId) ?? 0;
    const otherServed = this.serviceCounters.get(other.teamId) ?? 0;
    if (served !== otherServed) {
      return served < otherServed;
    }
    return (teamQueue.entries[0]?.arrivedMs ?? 0) < (other.entries[0]?.arrivedMs ?? 0);
  }

  private removeAt(teamQueue: TeamQueue, index: number): QueuedRequest | undefined {
    const [entry] = teamQueue.entries.splice(index, 1);
    if (!entry) {
      return undefined;
    }
    teamQueue.work -= entry.work;
    this.queuedCount -= 1;
    if (teamQueue.entries.length === 0) {
      this.teamQueues.delete(teamQueueKey(teamQueue.teamId, teamQueue.priorityClass));
    }
    return entry;
  }

  private removeWhere(matches: (entry: QueuedRequest) => boolean): readonly QueuedRequest[] {
    const removed: QueuedRequest[] = [];
    for (const teamQueue of [...this.teamQueues.values()]) {
      for (let index = teamQueue.entries.length - 1; index >= 0; index -= 1) {
        const entry = teamQueue.entries[index];
        if (entry && matches(entry)) {
          this.removeAt(teamQueue, index);
          removed.push(entry);
        }
      }
    }
    return removed.reverse();
  }
}

/** Time at which the wait bound of a request passes. */
function deadlineOf(entry: QueuedRequest): number {
  return entry.arrivedMs + entry.request.waitBoundMs;
}

function teamQueueKey(teamId: TeamId, priorityClass: number): string {
  return `${priorityClass}/${teamId}`;
}
