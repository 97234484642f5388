import type {
  BackendServer,
  EngineLoad,
  EngineTotals,
  PlacementInput,
  PrefixCacheIndex,
  PromptShape,
  RouteTable,
  ServerRegistry,
  ServingRoute,
  SpeedReportAudience,
} from '@laburnumgap/dispatch';
import { atRuns, EngineSpeeds, PrefillShares } from '@laburnumgap/dispatch';
import type { MonotonicClock, ServerId, ServiceId } from '@laburnumgap/kernel';
import type { PackedSpeedReport } from '../peers/SpeedReports.js';
import { packSpeedReport, startCheckOf, unpackSpeedReports } from '../peers/SpeedReports.js';
import type { ServingLog } from '../ServingLog.js';
import type { ServingMetrics } from '../ServingMetrics.js';

/** Options of {@link EngineSpeedCoordinator}. */
export interface EngineSpeedCoordinatorOptions {
  readonly cachedPrefixes: Pick<PrefixCacheIndex, 'cachedTokens'>;
  readonly clock: MonotonicClock;
  readonly load: Pick<EngineLoad, 'totals'>;
  readonly log: ServingLog;
  readonly metrics: ServingMetrics;
  readonly registry: Pick<ServerRegistry, 'all' | 'get'>;
  /** The active configuration. */
  readonly routes: () => RouteTable | undefined;
  /** Callers compete for too little capacity, so that cached prefixes are weighed. */
  readonly sharesShortage: boolean;
  /** Whether cached prefixes are weighed at all. */
  readonly weighsPrefixes: boolean;
}

/** Load of an engine when a generation was sent there. */
export interface SentGeneration {
  readonly queuedTokens: number;
  readonly runs: number;
  readonly sentMs: number;
  readonly server: BackendServer;
  readonly unreadTokens: number;
}

/** The request that engines are ranked for. */
export interface SpeedQuery {
  /** The stream runs already and is moved. */
  readonly isMove: boolean;
  readonly route: ServingRoute;
  readonly service: ServiceId;
  /** Time since the request arrived. */
  readonly waitedMs: number;
}

/** Inputs of placement that depend on learned speeds, or are used where these matter. */
export type SpeedInput = Pick<
  PlacementInput,
  'avoidsOverdue' | 'speedOf' | 'uneven' | 'weighsPrefixes'
>;

interface ServiceSpeeds {
  isUneven: boolean;
  readonly prefillShares: PrefillShares;
  readonly speeds: EngineSpeeds;
}

interface GapLimits {
  readonly byService: Map<ServiceId, number>;
  readonly table: RouteTable | undefined;
}

/** Reports in one message, which has to fit into few IP fragments: about 640 bytes. */
const MAX_REPORTS = 16;
/** Heartbeats after changes of the load follow each other sooner and carry no reports. */
const REPORT_INTERVAL_MS = 450;
/** About the time in which heartbeats bring changes of the load. */
const TOTALS_VALID_MS = 100;
/** Interval at which the load of the engines is sampled. */
const SAMPLE_INTERVAL_MS = 500;
const METRICS_INTERVAL_MS = 5_000;
/** A prefix is assumed to be held for this long after it was read, as in the ranking of engines. */
const PREFIX_RETENTION_MS = 10_000;

/**
 * Feeds the learned speeds of the engines with what this daemon and others observe, and provides them
 * to placement. Each service has speeds of its own.
 */
export class EngineSpeedCoordinator {
  private readonly totals = new Map<
    ServerId,
    { readonly atMs: number; readonly totals: EngineTotals }
  >();
  private gapLimits: GapLimits = { byService: new Map(), table: undefined };
  private metricsSentMs = -Infinity;
  private readonly reportedMs = new Map<SpeedReportAudience, number>();
  private sampledMs = -Infinity;
  private readonly services = new Map<ServiceId, ServiceSpeeds>();

  constructor(private readonly options: EngineSpeedCoordinatorOptions) {}

  /**
   * Notes the load of an engine when a generation is sent there. Called before the generation counts.
   *
   * @param server - the engine
   * @param prompt - the generation
   * @returns the load, for {@link recordFirstEvent}
   */
  noteSent(server: BackendServer, { parts, promptTokens }: PromptShape): SentGeneration {
    const { cachedPrefixes, clock, load } = this.options;
    const nowMs = clock.nowMs();
    const { serverId } = server;
    const { readingTokens, runs } = load.totals(serverId, nowMs);
    const sinceMs = nowMs - PREFIX_RETENTION_MS;
    const cachedTokens = cachedPrefixes.cachedTokens(parts, serverId, sinceMs);
    const unreadTokens = Math.max(0, promptTokens - cachedTokens);
    return { queuedTokens: readingTokens, runs, sentMs: nowMs, server, unreadTokens };
  }

  /** Records the first event of a generation, which was not continued from a copy. */
  recordFirstEvent({ queuedTokens, runs, sentMs, server, unreadTokens }: SentGeneration): void {
    const nowMs = this.options.clock.nowMs();
    const sinceSentMs = nowMs - sentMs;
    this.speedsOf(server.service).speeds.recordFirstEvent(
      { queuedTokens, runs, server, sinceSentMs, unreadTokens },
      nowMs,
    );
  }

  /** Records events of a stream that followed others from the same engine. */
  recordEvents(server: BackendServer, gapMs: number, eventCount: number): void {
    const nowMs = this.options.clock.nowMs();
    const { readingTokens, runs } = this.recentTotals(server.serverId, nowMs);
    this.speedsOf(server.service).speeds.recordEvents(
      { eventCount, gapMs, isPrefilling: readingTokens > 0, runs, server },
      nowMs,
    );
  }

  /**
   * Inputs for the placement of one request.
   *
   * @param query - the request
   * @returns the speeds; without `uneven` where the engines do not differ
   */
  inputFor({ isMove, route, service, waitedMs }: SpeedQuery): SpeedInput {
    const { clock, sharesShortage } = this.options;
    const { isUneven, prefillShares, speeds } = this.speedsOf(service);
    const nowMs = clock.nowMs();
    const avoidsOverdue = isUneven || sharesShortage;
    const weighsPrefixes = this.options.weighsPrefixes && avoidsOverdue;
    return {
      ...(avoidsOverdue && { avoidsOverdue }),
      speedOf: (serverId) => speeds.confidentSpeedOf(serverId, nowMs),
      ...(isUneven && {
        uneven: {
          longStreamGapMs: this.longStreamGapMs(service),
          maxEventGapMs: route.maxEventGapMs,
          prefillShareOf: (serverId: ServerId) => prefillShares.shareOf(serverId),
          slowPeriods: speeds.slowPeriodPattern(),
          untilTargetMs: isMove ? Infinity : route.targetLatencyMs - waitedMs,
        },
      }),
      ...(weighsPrefixes && { weighsPrefixes }),
    };
  }

  /**
   * Learned time of one output token at an engine with its current load.
   *
   * @param server - the engine
   * @param tokensPerEvent - output tokens of an event
   * @returns milliseconds; undefined where the engines do not differ or too little is known
   */
  msPerToken(server: BackendServer, tokensPerEvent: number): number | undefined {
    const { clock, load } = this.options;
    const { isUneven, speeds } = this.speedsOf(server.service);
    const nowMs = clock.nowMs();
    const speed = isUneven ? speeds.confidentSpeedOf(server.serverId, nowMs) : undefined;
    const { runs } = load.totals(server.serverId, nowMs);
    return speed && atRuns(speed.eventMs, runs) / tokensPerEvent;
  }

  /** Encoded reports for one message to an audience; none when the last ones were sent just now. */
  reports(audience: SpeedReportAudience): readonly PackedSpeedReport[] {
    const nowMs = this.options.clock.nowMs();
    if (nowMs - (this.reportedMs.get(audience) ?? -Infinity) < REPORT_INTERVAL_MS) {
      return [];
    }
    this.reportedMs.set(audience, nowMs);
    const reports = [...this.services.values()].flatMap(({ speeds }) =>
      speeds.reports(audience, nowMs, MAX_REPORTS),
    );
    return reports.slice(0, MAX_REPORTS).map(packSpeedReport);
  }

  /**
   * Records the reports of another daemon on engines that are registered with the same start.
   *
   * @param value - field of a message; undefined in messages of other builds
   * @param isOwnDomain - whether the daemon is of this daemon's failure domain
   */
  onReports(value: unknown, isOwnDomain: boolean): void {
    const nowMs = this.options.clock.nowMs();
    for (const { startCheck, ...report } of unpackSpeedReports(value, MAX_REPORTS)) {
      const server = this.options.registry.get(report.serverId)?.server;
      if (server && startCheckOf(server.startedEpochMs) === startCheck) {
        const { startedEpochMs } = server;
        const { speeds } = this.speedsOf(server.service);
        speeds.recordReport({ ...report, startedEpochMs }, isOwnDomain, nowMs);
      }
    }
  }

  /** Samples the load of the engines and decides whether they differ in speed. */
  onTick(nowMs: number): void {
    if (nowMs - this.sampledMs < SAMPLE_INTERVAL_MS) {
      return;
    }
    this.sampledMs = nowMs;
    const { registry } = this.options;
    const isRegistered = (serverId: ServerId): boolean => registry.get(serverId) !== undefined;
    const isMetricsDue = nowMs - this.metricsSentMs >= METRICS_INTERVAL_MS;
    this.metricsSentMs = isMetricsDue ? nowMs : this.metricsSentMs;
    for (const [service, state] of this.services) {
      const { prefillShares, speeds } = state;
      speeds.retain(isRegistered);
      this.retainTotals(isRegistered);
      prefillShares.retain(isRegistered);
      const serverIds = this.engineIds(service);
      // Nothing else uses these shares, and the sums over all daemons take much of the processor.
      for (const serverId of state.isUneven ? serverIds : []) {
        prefillShares.record(serverId, this.recentTotals(serverId, nowMs).readingTokens > 0, nowMs);
      }
      this.decideUneven(service, state, serverIds, nowMs);
      if (isMetricsDue) {
        this.sendMetrics(service, state, serverIds, nowMs);
      }
    }
  }

  /** Load of an engine, summed at most every {@link TOTALS_VALID_MS}: events arrive far more often. */
  private recentTotals(serverId: ServerId, nowMs: number): EngineTotals {
    const known = this.totals.get(serverId);
    if (known && nowMs - known.atMs < TOTALS_VALID_MS) {
      return known.totals;
    }
    const totals = this.options.load.totals(serverId, nowMs);
    this.totals.set(serverId, { atMs: nowMs, totals });
    return totals;
  }

  private retainTotals(isRegistered: (serverId: ServerId) => boolean): void {
    for (const serverId of this.totals.keys()) {
      if (!isRegistered(serverId)) {
        this.totals.delete(serverId);
      }
    }
  }

  private decideUneven(
    service: ServiceId,
    state: ServiceSpeeds,
    serverIds: readonly ServerId[],
    nowMs: number,
  ): void {
    const isUneven = state.speeds.areUneven(serverIds, nowMs);
    if (isUneven === state.isUneven) {
      return;
    }
    state.isUneven = isUneven;
    const known = serverIds.flatMap(
      (serverId) => state.speeds.confidentSpeedOf(serverId, nowMs) ?? [],
    );
    const { factor, share } = state.speeds.slowPeriodPattern();
    this.options.log.info(isUneven ? 'engines-uneven' : 'engines-even', {
      engines: serverIds.length,
      enginesKnown: known.length,
      fastestEventMs: roundedTo10th(Math.min(...known.map(({ eventMs }) => eventMs))),
      service,
      slowPeriodFactor: roundedTo10th(factor),
      slowPeriodShare: Math.round(share * 100) / 100,
      slowestEventMs: roundedTo10th(Math.max(...known.map(({ eventMs }) => eventMs))),
    });
  }

  private sendMetrics(
    service: ServiceId,
    { isUneven, speeds }: ServiceSpeeds,
    serverIds: readonly ServerId[],
    nowMs: number,
  ): void {
    const { metrics } = this.options;
    const pattern = speeds.slowPeriodPattern();
    metrics.gauge('engine_speed_uneven', Number(isUneven), { service });
    metrics.gauge('engine_speed_slow_period_factor', pattern.factor, { service });
    metrics.gauge('engine_speed_slow_period_share', pattern.share, { service });
    for (const serverId of serverIds) {
      const speed = speeds.speedOf(serverId, nowMs);
      if (speed) {
        metrics.gauge('engine_speed_confidence', speed.confidence, { serverId });
        metrics.gauge('engine_speed_event_ms', speed.eventMs, { serverId });
        metrics.gauge('engine_speed_prefill_tokens_per_ms', speed.prefillTokensPerMs, { serverId });
        metrics.gauge('engine_speed_prefilling_event_ms', speed.prefillingEventMs, { serverId });
      }
    }
  }

  private engineIds(service: ServiceId): readonly ServerId[] {
    return this.options.registry
      .all()
      .flatMap(({ leaving, server }) =>
        !leaving && server.service === service ? [server.serverId] : [],
      );
  }

  /** Smallest gap that a route to a service allows, so that no stream there is endangered. */
  private longStreamGapMs(service: ServiceId): number {
    const table = this.options.routes();
    if (this.gapLimits.table !== table) {
      this.gapLimits = { byService: new Map(), table };
    }
    const known = this.gapLimits.byService.get(service);
    if (known !== undefined) {
      return known;
    }
    const gapsMs = (table?.configuration.routes ?? [])
      .filter(({ kind, maxEventGapMs, targets }) => {
        const goesThere = targets.some((target) => target.service === service);
        return kind === 'stream' && maxEventGapMs > 0 && goesThere;
      })
      .map(({ maxEventGapMs }) => maxEventGapMs);
    const gapMs = gapsMs.length > 0 ? Math.min(...gapsMs) : 0;
    this.gapLimits.byService.set(service, gapMs);
    return gapMs;
  }

  private speedsOf(service: ServiceId): ServiceSpeeds {
    const state = this.services.get(service) ?? {
      isUneven: false,
      prefillShares: new PrefillShares(),
      speeds: new EngineSpeeds(),
    };
    this.services.set(service, state);
    return state;
  }
}

function roundedTo10th(value: number): number {
  return Math.round(value * 10) / 10;
}
