import type {
  CapacityPriority,
  CapacityRequest,
  CapacityReserve,
  ShortageRefusal,
  WaitingGeneration,
} from '@laburnumgap/dispatch';
import { ShortageAdmission } from '@laburnumgap/dispatch';
import type { MemberId, MonotonicClock, RequestId, ServerId, ServiceId } from '@laburnumgap/kernel';
import type { ServiceShortage } from '../peers/ShortageReportCodec.js';
import { MAX_REPORTED_SERVICES } from '../peers/ShortageReportCodec.js';
import type { ServingLog } from '../ServingLog.js';
import type { ServingMetrics } from '../ServingMetrics.js';

/** Options of {@link ShortageQueue}. */
export interface ShortageQueueOptions {
  readonly clock: MonotonicClock;
  /** Engines of a service that are in use. */
  readonly engineCountOf: (service: ServiceId) => number;
  readonly log: ServingLog;
  readonly metrics: ServingMetrics;
  /** Called when generations wait of which the other daemons do not know yet. */
  readonly onWaiting: () => void;
  readonly randomUnit: () => number;
  /** Service of an engine; undefined for an unknown one. */
  readonly serviceOf: (serverId: ServerId) => ServiceId | undefined;
}

/** A generation that waits in a {@link ShortageQueue}. */
export interface QueuedGeneration {
  readonly generation: WaitingGeneration;
  readonly onRefused: (refusal: ShortageRefusal) => void;
  /**
   * Requests capacity at the best engine. The request ends with {@link ShortageQueue.onDeclined} or
   * {@link ShortageQueue.recordPlaced}.
   *
   * @returns false when no engine has capacity, as far as this daemon knows
   */
  readonly onTurn: (priority: CapacityPriority) => boolean;
  readonly service: ServiceId;
}

interface ServiceQueue {
  readonly admission: ShortageAdmission;
  /** Generations whose capacity request is under way. */
  readonly asking: Set<RequestId>;
  readonly entries: Map<RequestId, QueuedGeneration>;
  /** When the last shortage began; undefined while there is none. */
  shortSinceMs: number | undefined;
}

/** Delay after capacity was seen, so that one heartbeat with several changes wakes the queue once. */
const WAKE_DELAY_MS = 2;
/** Added for each rank, so that daemons with more urgent generations ask the owners first. */
const WAKE_DELAY_PER_RANK_MS = 4;
/** Late generations get the capacity that the others leave. */
const LATE_WAKE_DELAY_MS = 30;
/** Capacity also becomes free with the progress of time, of which nothing informs the queue. */
const RECHECK_MS = 20;
/** Generations for which no engine had capacity, after which the others are not tried in this turn. */
const MAX_MISFITS = 8;
/** Capacity requests under way: several engines can have become free at once. */
const MAX_ASKING = 4;

/**
 * The waiting generations of this daemon, by service. Wakes them in the order that
 * {@link ShortageAdmission} decides when capacity is seen, instead of each by its own timer. Keeps
 * capacity at the engines that this daemon owns for more urgent generations.
 */
export class ShortageQueue {
  private readonly queues = new Map<ServiceId, ServiceQueue>();
  private timer: NodeJS.Timeout | undefined;
  private timerDueMs = Infinity;

  constructor(private readonly options: ShortageQueueOptions) {}

  /** Whether generations of a service wait, so that a new one has to wait for its turn. */
  isShort(service: ServiceId): boolean {
    return this.queues.get(service)?.admission.isShort() ?? false;
  }

  /** Adds a generation for which there is no capacity now. */
  join(queued: QueuedGeneration): void {
    const { clock, log, metrics, onWaiting } = this.options;
    const { generation, service } = queued;
    const queue = this.queueOf(service);
    const nowMs = clock.nowMs();
    if (queue.shortSinceMs === undefined) {
      queue.shortSinceMs = nowMs;
      log.info('shortage-began', { service });
    }
    queue.admission.add(generation);
    queue.entries.set(generation.requestId, queued);
    const { rank, slackMs } = queue.admission.priorityOf(generation, nowMs);
    log.info('generation-queued', {
      rank,
      requestId: generation.requestId,
      service,
      slackMs: Math.round(slackMs),
      waiting: queue.admission.waitingCount(),
    });
    metrics.increment('shortage_queued', 1, { rank: String(rank) });
    onWaiting();
    this.wakeAfter(WAKE_DELAY_MS);
  }

  /** Removes a generation that has ended, whose caller has left, or that starts its search again. */
  leave(service: ServiceId, requestId: RequestId): void {
    const queue = this.queues.get(service);
    if (!queue) {
      return;
    }
    queue.admission.remove(requestId);
    queue.asking.delete(requestId);
    if (queue.entries.delete(requestId)) {
      this.onCapacityChanged();
    }
    this.endShortage(service, queue);
  }

  /** Records that a generation got capacity, whether or not it waited. */
  recordPlaced(service: ServiceId, generation: WaitingGeneration): void {
    const { clock, metrics } = this.options;
    const queue = this.queueOf(service);
    const nowMs = clock.nowMs();
    queue.asking.delete(generation.requestId);
    if (queue.entries.delete(generation.requestId)) {
      metrics.observe('shortage_wait_ms', nowMs - generation.arrivedMs, {
        rank: String(generation.rank),
      });
    }
    queue.admission.recordPlaced(generation, nowMs);
    this.endShortage(service, queue);
  }

  /** Lets a generation wait for its next turn after the owner of an engine declined it. */
  onDeclined(service: ServiceId, requestId: RequestId): void {
    if (this.queues.get(service)?.asking.delete(requestId)) {
      this.wakeAfter(RECHECK_MS);
    }
  }

  /** Priority of a generation that does not wait. */
  priorityOf(service: ServiceId, generation: WaitingGeneration): CapacityPriority {
    return this.queueOf(service).admission.priorityOf(generation, this.options.clock.nowMs());
  }

  /** Wakes the waiting generations after the load of the engines has changed. */
  onCapacityChanged(): void {
    let delayMs = Infinity;
    const nowMs = this.options.clock.nowMs();
    for (const { admission, entries } of this.queues.values()) {
      for (const { generation } of entries.values()) {
        const { rank, slackMs } = admission.priorityOf(generation, nowMs);
        const onTimeDelayMs = WAKE_DELAY_MS + rank * WAKE_DELAY_PER_RANK_MS;
        delayMs = Math.min(delayMs, slackMs > 0 ? onTimeDelayMs : LATE_WAKE_DELAY_MS);
      }
    }
    if (delayMs < Infinity) {
      this.wakeAfter(delayMs);
    }
  }

  /** Learns the usual use of the ranks. Called ten times a second. */
  onTick(): void {
    const { clock, metrics } = this.options;
    const nowMs = clock.nowMs();
    for (const [service, { admission }] of this.queues) {
      admission.learnUse(nowMs);
      metrics.gauge('shortage_waiting', admission.waitingCount(), { service });
    }
  }

  /** Report of this daemon for its heartbeats. */
  report(): readonly ServiceShortage[] {
    const nowMs = this.options.clock.nowMs();
    return this.reportBy((admission) => admission.report(nowMs));
  }

  /** Summed report of this daemon and others of its failure domain. */
  domainReport(memberIds: ReadonlySet<MemberId>): readonly ServiceShortage[] {
    const nowMs = this.options.clock.nowMs();
    return this.reportBy((admission) => admission.domainReport(memberIds, nowMs));
  }

  /** Records the report of another daemon, or of another failure domain. */
  recordReport(sourceId: MemberId, report: readonly ServiceShortage[]): void {
    const nowMs = this.options.clock.nowMs();
    report.forEach(({ service }) => this.queueOf(service));
    for (const [service, { admission }] of this.queues) {
      const ranks = report.find((reported) => reported.service === service)?.ranks ?? [];
      admission.recordReport(sourceId, ranks, nowMs);
    }
    this.onCapacityChanged();
  }

  /** Capacity that is kept from a request at an engine of this daemon. */
  reserveFor(request: CapacityRequest, requesterId: MemberId | undefined): CapacityReserve {
    const { clock, engineCountOf, serviceOf } = this.options;
    const service = serviceOf(request.serverId);
    const queue = service === undefined ? undefined : this.queues.get(service);
    if (service === undefined || !queue) {
      return { runs: 0, tokens: 0 };
    }
    const engineCount = engineCountOf(service);
    return queue.admission.reserveFor(request, requesterId, engineCount, clock.nowMs());
  }

  /** Records whether an engine of this daemon lacked capacity for a request. */
  recordDecision(request: CapacityRequest, isLacking: boolean, kept: CapacityReserve): void {
    const { clock, log, metrics, serviceOf } = this.options;
    const { priority, requestId, serverId } = request;
    const service = serviceOf(serverId);
    if (service === undefined || !priority) {
      return;
    }
    this.queueOf(service).admission.recordDecision(request, isLacking, clock.nowMs());
    if (isLacking && kept.tokens > 0) {
      metrics.increment('shortage_kept', 1, { rank: String(priority.rank) });
      log.info('capacity-kept', {
        keptRuns: kept.runs,
        keptTokens: Math.round(kept.tokens),
        rank: priority.rank,
        requestId,
        serverId,
        slackMs: Math.round(priority.slackMs),
      });
    }
  }

  private reportBy(
    ranksOf: (admission: ShortageAdmission) => ServiceShortage['ranks'],
  ): readonly ServiceShortage[] {
    return [...this.queues]
      .map(([service, { admission }]) => ({ ranks: ranksOf(admission), service }))
      .filter(({ ranks }) => ranks.length > 0)
      .slice(0, MAX_REPORTED_SERVICES);
  }

  private wakeAfter(delayMs: number): void {
    const dueMs = this.options.clock.nowMs() + delayMs;
    if (dueMs >= this.timerDueMs) {
      return;
    }
    clearTimeout(this.timer);
    this.timerDueMs = dueMs;
    this.timer = setTimeout(() => {
      this.timerDueMs = Infinity;
      this.wake();
    }, delayMs);
  }

  private wake(): void {
    for (const [service, queue] of this.queues) {
      this.decide(service, queue);
      this.endShortage(service, queue);
    }
    if ([...this.queues.values()].some(({ admission }) => admission.isShort())) {
      this.wakeAfter(RECHECK_MS);
    }
  }

  private decide(service: ServiceId, { admission, asking, entries }: ServiceQueue): void {
    const { clock, randomUnit } = this.options;
    const { refusals, turns } = admission.decide(clock.nowMs(), randomUnit);
    for (const refused of refusals) {
      const entry = entries.get(refused.requestId);
      entries.delete(refused.requestId);
      asking.delete(refused.requestId);
      if (entry) {
        this.refuse(service, entry, refused);
      }
    }
    let misfits = 0;
    for (const { priority, requestId } of turns) {
      const entry = entries.get(requestId);
      if (!entry || asking.has(requestId)) {
        continue;
      }
      if (misfits >= MAX_MISFITS || asking.size >= MAX_ASKING) {
        return;
      }
      asking.add(requestId);
      if (!entry.onTurn(priority)) {
        asking.delete(requestId);
        misfits += 1;
      }
    }
  }

  private refuse(service: ServiceId, entry: QueuedGeneration, refused: ShortageRefusal): void {
    const { log, metrics } = this.options;
    const { expectedWaitMs, reason, requestId, retryAfterMs, slackMs, waitedMs } = refused;
    const { rank } = entry.generation;
    log.info('generation-not-queued', {
      expectedWaitMs: expectedWaitMs === undefined ? undefined : Math.round(expectedWaitMs),
      rank,
      reason,
      requestId,
      retryAfterMs,
      service,
      slackMs: Math.round(slackMs),
      waitedMs: Math.round(waitedMs),
    });
    metrics.increment('shortage_refusals', 1, { rank: String(rank), reason });
    metrics.observe('shortage_retry_after_ms', retryAfterMs, { rank: String(rank) });
    entry.onRefused(refused);
  }

  private endShortage(service: ServiceId, queue: ServiceQueue): void {
    if (queue.shortSinceMs !== undefined && !queue.admission.isShort()) {
      const durationMs = Math.round(this.options.clock.nowMs() - queue.shortSinceMs);
      queue.shortSinceMs = undefined;
      this.options.log.info('shortage-ended', { durationMs, service });
    }
  }

  private queueOf(service: ServiceId): ServiceQueue {
    let queue = this.queues.get(service);
    if (!queue) {
      queue = {
        admission: new ShortageAdmission(),
        asking: new Set(),
        entries: new Map(),
        shortSinceMs: undefined,
      };
      this.queues.set(service, queue);
    }
    return queue;
  }
}
