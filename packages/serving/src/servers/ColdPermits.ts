import type {
  BackendServer,
  ColdBudget,
  ColdReport,
  PermitDecision,
  ServerChange,
  ServingService,
} from '@laburnumgap/dispatch';
import { ColdServers, coldShare, divideColdBudget } from '@laburnumgap/dispatch';
import type { MonotonicClock, ServerId, ServiceId } from '@laburnumgap/kernel';
import type { ServingLog } from '../ServingLog.js';
import type { ServingMetrics } from '../ServingMetrics.js';

/** Options of {@link ColdPermits}. */
export interface ColdPermitsOptions {
  readonly clock: MonotonicClock;
  readonly findService: (service: ServiceId) => ServingService | undefined;
  readonly log: ServingLog;
  /** Number of known daemons, including this one. */
  readonly memberCount: () => number;
  readonly metrics: ServingMetrics;
  /** Reads the wall clock; the system's by default. */
  readonly nowEpochMs?: () => number;
  /** Called when a response says that a server has become cold, of which the others do not know. */
  readonly onBecameCold: () => void;
  /** Factor on the rate that the bound allows; cold servers get as many requests as others without it. */
  readonly overageFactor?: number;
  /** Number of known daemons that rank before this one for a server. */
  readonly rankOf: (serverId: ServerId) => number;
  readonly serverOf: (serverId: ServerId) => BackendServer | undefined;
  /** Requests in one second that the bound allows in addition. */
  readonly slackRequests?: number;
}

/** A decision on one request to a cold server. */
export interface ColdDecision {
  readonly decision: PermitDecision;
  /** Daemon that sends the request. */
  readonly holder: string;
  /** Requests that may be granted in one window. */
  readonly maxRequests: number;
  /** Whether this daemon decided as the owner, or for itself. */
  readonly source: 'alone' | 'owner';
}

/** Cold servers in one heartbeat, which has to fit into few IP fragments. */
const MAX_REPORTED_SERVERS = 16;
/** Assumed for entries that arrive before the configuration; no longer than any server starts. */
const UNKNOWN_COLD_START_MS = 5_000;

/**
 * Knows which servers are cold and what they may get, for the permits of this daemon. Without the settings
 * for cold servers, and for services without a cold rate, no server is cold.
 */
export class ColdPermits {
  /** Last value of the metric, which is sent when it changes. */
  private reportedCount = 0;
  private readonly servers = new ColdServers();

  constructor(private readonly options: ColdPermitsOptions) {}

  /**
   * Parts of the bound of a cold server.
   *
   * @param server - the server
   * @param isReportedCold - another daemon knows that it is cold
   * @returns undefined when it is warm, or when cold servers of its service get as many requests as others
   */
  budgetOf(server: BackendServer, isReportedCold = false): ColdBudget | undefined {
    const { overageFactor, slackRequests } = this.options;
    const requestsPerS = this.coldRequestsPerS(server);
    const isEnabled =
      requestsPerS > 0 && overageFactor !== undefined && slackRequests !== undefined;
    if (!isEnabled || !(isReportedCold || this.servers.isCold(server, this.nowMs()))) {
      return undefined;
    }
    return divideColdBudget({ overageFactor, requestsPerS, slackRequests });
  }

  /** Requests to a cold server that this daemon may send in one window without an owner. */
  shareOf({ serverId }: BackendServer, { aloneRequests }: ColdBudget): number {
    const { memberCount, rankOf } = this.options;
    return aloneRequests === 0 ? 0 : coldShare(aloneRequests, rankOf(serverId), memberCount());
  }

  /** Time for which a server is still cold. */
  remainingMs(server: BackendServer): number {
    return this.servers.remainingMs(server, this.nowMs());
  }

  /** Reads entries of the store, also those that another daemon forwarded. */
  onEntries(changes: readonly ServerChange[]): void {
    const { findService, nowEpochMs = Date.now } = this.options;
    for (const { revision, server } of changes) {
      if (!server) {
        continue;
      }
      const service = findService(server.service);
      const coldStartMs = service ? (service.coldStartMs ?? 0) : UNKNOWN_COLD_START_MS;
      const entry = { coldStartMs, nowEpochMs: nowEpochMs(), revision, server };
      if (this.servers.recordEntry(entry, this.nowMs())) {
        this.onCold(server, 'entry');
      }
    }
  }

  /** Reads the remaining time that a server states in a response. */
  onResponse(server: BackendServer, remainingColdMs: number): void {
    const becameCold = this.servers.recordResponse(server, remainingColdMs, this.nowMs());
    if (becameCold && this.onCold(server, 'response')) {
      this.options.onBecameCold();
    }
  }

  /** Records what other daemons know of registered servers. */
  onReports(reports: readonly ColdReport[]): void {
    for (const report of reports) {
      const server = this.options.serverOf(report.serverId);
      if (server && this.servers.recordReport(report, this.nowMs())) {
        this.onCold(server, 'peer');
      }
    }
  }

  /**
   * Treats servers as just started, for example when requests may be sent to a failure domain again after
   * a time in which no response showed whether they are cold. A later entry or response wins.
   */
  assumeCold(servers: readonly BackendServer[]): void {
    const observedMs = this.nowMs();
    for (const server of servers) {
      const { serverId, service, startedEpochMs } = server;
      const coldUntilMs = observedMs + (this.options.findService(service)?.coldStartMs ?? 0);
      const observation = { coldUntilMs, isReported: false, observedMs, serverId, startedEpochMs };
      const isExtended = coldUntilMs > observedMs + this.remainingMs(server);
      if (isExtended && this.servers.record(observation, observedMs)) {
        this.onCold(server, 'assumed');
      }
    }
  }

  /** Cold servers that other daemons may not know, for a heartbeat; empty where it has no effect. */
  reports(): readonly ColdReport[] {
    return this.servers
      .reports(this.nowMs())
      .filter(({ serverId }) => {
        const server = this.options.serverOf(serverId);
        return server !== undefined && this.budgetOf(server) !== undefined;
      })
      .slice(0, MAX_REPORTED_SERVERS);
  }

  /** Updates the remaining time in an entry, so that another daemon can read it. */
  forwarded(server: BackendServer): BackendServer {
    return this.servers.forwarded(server, this.nowMs());
  }

  /** Logs and counts a decision on one request. */
  onDecision(
    { serverId, service }: BackendServer,
    { decision, holder, maxRequests, source }: ColdDecision,
  ): void {
    const { kind } = decision;
    const delayMs = decision.kind === 'granted' ? decision.waitMs : decision.retryAfterMs;
    this.options.log.info('cold-permit', {
      delayMs,
      holder,
      maxRequests,
      outcome: kind,
      serverId,
      source,
    });
    this.options.metrics.increment(`cold_permits_${kind}`, 1, { service, source });
  }

  /** Logs and counts a permit that was not used. */
  onGivenBack({ serverId, service }: BackendServer): void {
    this.options.log.info('cold-permit-returned', { serverId });
    this.options.metrics.increment('cold_permits_returned', 1, { service });
  }

  /**
   * Forgets servers that are no longer registered, and reports how many are cold.
   *
   * @param isKnown - whether a server is registered
   */
  retain(isKnown: (serverId: ServerId) => boolean): void {
    this.servers.retain(isKnown);
    const coldCount = this.servers.coldCount(this.nowMs());
    if (this.options.overageFactor !== undefined && coldCount !== this.reportedCount) {
      this.reportedCount = coldCount;
      this.options.metrics.gauge('cold_servers', coldCount);
    }
  }

  /** Logs that a server became cold; returns whether that has an effect. */
  private onCold(server: BackendServer, source: string): boolean {
    const budget = this.budgetOf(server);
    if (!budget) {
      return false;
    }
    const { serverId, service, startedEpochMs } = server;
    const remainingMs = Math.round(this.remainingMs(server));
    this.options.log.info('server-cold', {
      ...budget,
      remainingMs,
      serverId,
      source,
      startedEpochMs,
    });
    this.options.metrics.increment('cold_starts', 1, { service, source });
    return true;
  }

  private coldRequestsPerS({ service }: BackendServer): number {
    return this.options.findService(service)?.coldRequestsPerS ?? 0;
  }

  private nowMs(): number {
    return this.options.clock.nowMs();
  }
}
