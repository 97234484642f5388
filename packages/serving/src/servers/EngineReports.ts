import type { BackendServer } from '@laburnumgap/dispatch';
import type { ServerId } from '@laburnumgap/kernel';
import type { EngineControl } from './EngineControl.js';
import type { ServerAccess } from './ServerAccess.js';
import type { ServingLog } from '../ServingLog.js';
import type { WireProtocol } from '../ServingPorts.js';

/** Options of {@link EngineReports}. */
export interface EngineReportsOptions {
  readonly engineControl: Pick<EngineControl, 'send'>;
  readonly log: ServingLog;
  readonly onLeaving: (server: BackendServer) => void;
  readonly protocol: Pick<WireProtocol, 'parseReport' | 'reportRequest'>;
  readonly serverAccess: Pick<ServerAccess, 'avoidsEvacuated'>;
}

/** Engines answer a report request immediately; a later report would be outdated. */
const REPORT_TIMEOUT_MS = 500;

/** Requests status reports from engines. A request costs the engine as much as a health check. */
export class EngineReports {
  private readonly pendingServerIds = new Set<ServerId>();

  constructor(private readonly options: EngineReportsOptions) {}

  /**
   * Requests the report of an engine, unless a request to it is pending or it is evacuated. Failures are
   * logged.
   *
   * @param server - the engine
   */
  async requestReport(server: BackendServer): Promise<void> {
    const { engineControl, log, onLeaving, protocol, serverAccess } = this.options;
    const { serverId } = server;
    if (this.pendingServerIds.has(serverId) || serverAccess.avoidsEvacuated(server, 'control')) {
      return;
    }
    this.pendingServerIds.add(serverId);
    const outcome = await engineControl.send(server, protocol.reportRequest(), REPORT_TIMEOUT_MS);
    this.pendingServerIds.delete(serverId);
    if (outcome.kind !== 'answered') {
      log.info('report-failed', { reason: outcome.reason, serverId });
      return;
    }
    const report = protocol.parseReport(outcome.status, outcome.body);
    if (!report.ok) {
      log.warn('report-unreadable', { reason: report.error, serverId });
    } else if (report.value.isLeaving) {
      onLeaving(server);
    }
  }
}
