import type { TeamId } from '@laburnumgap/kernel';
import type { AdmissionRequest, ReservationId } from './AdmissionTypes.js';

/** A request that waits for an engine. */
export interface QueuedRequest {
  readonly arrivedMs: number;
  readonly request: AdmissionRequest;
  /** Expected memory and time it takes, in token-steps. */
  readonly work: number;
}

/** Options of a fair queue. */
export interface FairQueueOptions {
  /** Share of its wait bound after which a request counts as one class higher. */
  readonly ageingShare?: number;
}

interface Lane {
  readonly entries: QueuedRequest[];
  readonly priorityClass: number;
  readonly teamId: TeamId;
  readonly weight: number;
  work: number;
}

const DEFAULT_AGEING_SHARE = 0.5;
const MAX_IDLE_TEAMS = 2_048;

/**
 * Weighted fair service in tokens. Every team has a counter of the tokens that it was served,
 * divided by its weight; within a class the team with the lowest counter goes first. A team that
 * comes back starts at the lowest counter of those that wait, so that it cannot save up service.
 * A request that waited long, or was preempted, counts as a higher class.
 */
export class FairQueue {
  private readonly ageingShare: number;
  private readonly counters = new Map<TeamId, number>();
  /** Lanes with waiting requests, by team and class. */
  private readonly lanes = new Map<string, Lane>();
  private queued = 0;

  constructor(options: FairQueueOptions = {}) {
    this.ageingShare = options.ageingShare ?? DEFAULT_AGEING_SHARE;
  }

  /** Number of waiting requests. */
  size(): number {
    return this.queued;
  }

  /** Charges tokens that a team was served. */
  charge(teamId: TeamId, weight: number, tokens: number): void {
    this.counters.set(teamId, (this.counters.get(teamId) ?? 0) + tokens / weight);
  }

  /** The request that is to be served next. */
  first(nowMs: number): QueuedRequest | undefined {
    let best: Lane | undefined;
    for (const lane of this.lanes.values()) {
      if (!best || this.precedes(lane, best, nowMs)) {
        best = lane;
      }
    }
    return best?.entries[0];
  }

  /** Adds a request: preempted ones first, then in order of arrival. */
  push(entry: QueuedRequest): void {
    const { request } = entry;
    this.liftCounter(request.teamId);
    const lane = this.laneOf(request);
    const index = lane.entries.findIndex(
      (other) => other.request.preemptions < request.preemptions,
    );
    lane.entries.splice(index < 0 ? lane.entries.length : index, 0, entry);
    lane.work += entry.work;
    this.queued += 1;
  }

  /** Takes a request out; undefined when it does not wait. */
  remove(reservationId: ReservationId): QueuedRequest | undefined {
    for (const lane of this.lanes.values()) {
      const index = lane.entries.findIndex(
        (entry) => entry.request.reservationId === reservationId,
      );
      if (index >= 0) {
        return this.removeAt(lane, index);
      }
    }
    return undefined;
  }

  /** Takes out every request whose wait bound has passed. */
  removeLate(nowMs: number): readonly QueuedRequest[] {
    return this.removeWhere((entry) => deadlineOf(entry) <= nowMs);
  }

  /** Takes out every request. */
  removeAll(): readonly QueuedRequest[] {
    return this.removeWhere(() => true);
  }

  /** When the next wait bound passes. */
  nextDeadlineMs(): number | undefined {
    let next: number | undefined;
    for (const lane of this.lanes.values()) {
      for (const entry of lane.entries) {
        next = Math.min(next ?? Infinity, deadlineOf(entry));
      }
    }
    return next;
  }

  /**
   * Work that is served before a new request of a team: all of its own that waits, and of each
   * other team what its weight gives it in the same time.
   */
  workAhead(teamId: TeamId, priorityClass: number, weight: number, work: number): number {
    const ownWork = this.lanes.get(laneKey(teamId, priorityClass))?.work ?? 0;
    const perWeight = (ownWork + work) / weight;
    let aheadWork = ownWork;
    for (const lane of this.lanes.values()) {
      if (lane.teamId === teamId || lane.priorityClass > priorityClass) {
        continue;
      }
      const isHigher = lane.priorityClass < priorityClass;
      aheadWork += isHigher ? lane.work : Math.min(lane.work, perWeight * lane.weight);
    }
    return aheadWork;
  }

  private effectiveClass(lane: Lane, nowMs: number): number {
    const [first] = lane.entries;
    if (!first) {
      return lane.priorityClass;
    }
    const stepMs = this.ageingShare * first.request.waitBoundMs;
    const steps = Math.floor((nowMs - first.arrivedMs) / stepMs);
    return Math.max(0, lane.priorityClass - steps - first.request.preemptions);
  }

  private laneOf(request: AdmissionRequest): Lane {
    const key = laneKey(request.teamId, request.priorityClass);
    const known = this.lanes.get(key);
    if (known) {
      return known;
    }
    const { priorityClass, teamId, weight } = request;
    const lane: Lane = { entries: [], priorityClass, teamId, weight, work: 0 };
    this.lanes.set(key, lane);
    return lane;
  }

  private liftCounter(teamId: TeamId): void {
    let lowest = Infinity;
    for (const lane of this.lanes.values()) {
      if (lane.teamId === teamId) {
        return;
      }
      lowest = Math.min(lowest, this.counters.get(lane.teamId) ?? 0);
    }
    const own = this.counters.get(teamId) ?? 0;
    this.counters.set(teamId, lowest === Infinity ? own : Math.max(own, lowest));
    this.forgetIdleTeams();
  }

  private forgetIdleTeams(): void {
    if (this.counters.size <= MAX_IDLE_TEAMS) {
      return;
    }
    const waiting = new Set([...this.lanes.values()].map((lane) => lane.teamId));
    for (const teamId of this.counters.keys()) {
      if (!waiting.has(teamId)) {
        this.counters.delete(teamId);
      }
    }
  }

  private precedes(lane: Lane, other: Lane, nowMs: number): boolean {
    const classDifference = this.effectiveClass(lane, nowMs) - this.effectiveClass(other, nowMs);
    if (classDifference !== 0) {
      return classDifference < 0;
    }
    const served = this.counters.get(lane.teamId) ?? 0;
    const otherServed = this.counters.get(other.teamId) ?? 0;
    if (served !== otherServed) {
      return served < otherServed;
    }
    return (lane.entries[0]?.arrivedMs ?? 0) < (other.entries[0]?.arrivedMs ?? 0);
  }

  private removeAt(lane: Lane, index: number): QueuedRequest | undefined {
    const [entry] = lane.entries.splice(index, 1);
    if (!entry) {
      return undefined;
    }
    lane.work -= entry.work;
    this.queued -= 1;
    if (lane.entries.length === 0) {
      this.lanes.delete(laneKey(lane.teamId, lane.priorityClass));
    }
    return entry;
  }

  private removeWhere(matches: (entry: QueuedRequest) => boolean): readonly QueuedRequest[] {
    const removed: QueuedRequest[] = [];
    for (const lane of [...this.lanes.values()]) {
      for (let index = lane.entries.length - 1; index >= 0; index -= 1) {
        const entry = lane.entries[index];
        if (entry && matches(entry)) {
          this.removeAt(lane, index);
          removed.push(entry);
        }
      }
    }
    return removed.reverse();
  }
}

/** When the wait bound of a request passes. */
function deadlineOf(entry: QueuedRequest): number {
  return entry.arrivedMs + entry.request.waitBoundMs;
}

function laneKey(teamId: TeamId, priorityClass: number): string {
  return `${priorityClass}/${teamId}`;
}
