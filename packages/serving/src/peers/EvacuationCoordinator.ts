import type {
  EvacuationChange,
  EvacuationRecord,
  EvacuationTransition,
} from '@laburnumgap/dispatch';
import { DomainEvacuations, evacuationRecords, NEW_ERA_HOLD_MS } from '@laburnumgap/dispatch';
import type { FailureDomainId, MonotonicClock, StoreEra } from '@laburnumgap/kernel';
import type { ServingLog } from '../ServingLog.js';
import type { ServingMetrics } from '../ServingMetrics.js';
import { NO_SERVING_METRICS } from '../ServingMetrics.js';
import type { StorePosition } from '../store/StorePosition.js';

/** Options of {@link EvacuationCoordinator}. */
export interface EvacuationCoordinatorOptions {
  readonly clock: MonotonicClock;
  readonly log: ServingLog;
  /** Receives metrics; discarded by default. */
  readonly metrics?: ServingMetrics;
  /** Called when requests may be sent to a failure domain again, whose servers are usually cold then. */
  readonly onEnded?: (failureDomain: FailureDomainId) => void;
}

/** Why a request was not sent to a server of an evacuated failure domain. */
export type AvoidedUse = 'control' | 'copy' | 'request' | 'tunnel';

/** Metrics are datagrams that can be lost, so that the gauge is repeated. */
const GAUGE_INTERVAL_MS = 10_000;

const EVENTS: Readonly<Record<EvacuationTransition['kind'], string>> = {
  began: 'domain-evacuated',
  ended: 'domain-evacuation-ended',
  held: 'domain-evacuation-held',
};

/**
 * Evacuated failure domains as this daemon knows them from the store and from other daemons. Logs each
 * change, and counts the requests that were affected.
 */
export class EvacuationCoordinator {
  private readonly evacuations = new DomainEvacuations();
  private gaugeSentMs = -Infinity;
  private readonly metrics: ServingMetrics;

  constructor(private readonly options: EvacuationCoordinatorOptions) {
    this.metrics = options.metrics ?? NO_SERVING_METRICS;
  }

  /**
   * Applies changes of the store, received from it or from a daemon that watches it.
   *
   * @param changes - the changes
   * @param era - era of their revisions
   * @param source - who reported them, for the log
   * @returns whether a domain began or ceased to be evacuated
   */
  applyChanges(changes: readonly EvacuationChange[], era: StoreEra, source: string): boolean {
    return this.report(this.evacuations.apply(changes, era, this.nowMs()), source);
  }

  /** Takes records of another daemon. */
  mergeReports(records: readonly EvacuationRecord[], source: string): void {
    this.report(this.evacuations.merge(records, this.nowMs()), source);
  }

  /**
   * Replaces what is known by a full read of the store.
   *
   * @param listed - all evacuations that the store lists
   * @param position - position up to which the listing is complete
   * @param source - who reported them, for the log
   * @returns whether a domain began or ceased to be evacuated
   */
  replace(listed: readonly EvacuationChange[], position: StorePosition, source: string): boolean {
    return this.replaceRecords(evacuationRecords(listed, position.era), position, source);
  }

  /** Replaces what is known by all records of another daemon, which are complete up to a position. */
  replaceRecords(
    records: readonly EvacuationRecord[],
    { era, revision }: StorePosition,
    source: string,
  ): boolean {
    const position = { era, revision };
    return this.report(this.evacuations.replace(records, position, this.nowMs()), source);
  }

  /** Ends evacuations that a new era of the store lacks, and repeats the gauge. Called periodically. */
  expire(): void {
    const nowMs = this.nowMs();
    this.report(this.evacuations.expire(nowMs), 'new-era');
    const isDue = nowMs - this.gaugeSentMs >= GAUGE_INTERVAL_MS;
    if (isDue && this.evacuations.reports().length > 0) {
      this.sendGauge();
    }
  }

  isEvacuated(failureDomain: FailureDomainId): boolean {
    return this.evacuations.isEvacuated(failureDomain);
  }

  /** One record for each domain that ever was evacuated, the most important first. */
  reports(): readonly EvacuationRecord[] {
    return this.evacuations.reports();
  }

  /** Counts a request that was not sent to a server because its domain is evacuated. */
  recordAvoided(use: AvoidedUse): void {
    this.metrics.increment('evacuation_avoided', 1, { use });
  }

  /** Counts a request that was refused because every server of its service is evacuated. */
  recordRefused(): void {
    this.metrics.increment('evacuation_refused');
  }

  private report(transitions: readonly EvacuationTransition[], source: string): boolean {
    for (const { kind, record } of transitions) {
      const { era, failureDomain, revision } = record;
      const fields = { era, failureDomain, revision, source };
      this.options.log.warn(
        EVENTS[kind],
        kind === 'held' ? { ...fields, holdMs: NEW_ERA_HOLD_MS } : fields,
      );
      this.metrics.increment('evacuation_changes', 1, { failure_domain: failureDomain, kind });
      if (kind === 'ended') {
        this.options.onEnded?.(failureDomain);
      }
    }
    if (transitions.length > 0) {
      this.sendGauge();
    }
    return transitions.some(({ kind }) => kind !== 'held');
  }

  private sendGauge(): void {
    this.gaugeSentMs = this.nowMs();
    this.metrics.gauge('evacuation_domains', this.evacuations.evacuatedCount());
  }

  private nowMs(): number {
    return this.options.clock.nowMs();
  }
}
