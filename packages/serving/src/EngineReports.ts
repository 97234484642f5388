import type { BackendServer } from '@laburnumgap/dispatch';
import type { ServerId } from '@laburnumgap/kernel';
import type { BackendConnectionPool } from './BackendConnectionPool.js';
import { sendControlRequest } from './EngineControl.js';
import type { ServingLog } from './ServingLog.js';
import type { WireProtocol } from './ServingPorts.js';

/** Options of the reader of reports. */
export interface EngineReportsOptions {
  readonly connections: BackendConnectionPool;
  readonly log: ServingLog;
  readonly onLeaving: (serverId: ServerId) => void;
  readonly protocol: Pick<WireProtocol, 'parseReport' | 'reportRequest'>;
}

/** A report is answered at once or of no use any more. */
const REPORT_TIMEOUT_MS = 500;

/** Asks engines what they say of themselves. Each question costs as much as a health check. */
export class EngineReports {
  private readonly pendingServerIds = new Set<ServerId>();

  constructor(private readonly options: EngineReportsOptions) {}

  /** Asks one engine, unless it is being asked. */
  async requestReport(server: BackendServer): Promise<void> {
    const { connections, log, onLeaving, protocol } = this.options;
    const { serverId } = server;
    if (this.pendingServerIds.has(serverId)) {
      return;
    }
    this.pendingServerIds.add(serverId);
    const outcome = await sendControlRequest(
      connections,
      server,
      protocol.reportRequest(),
      REPORT_TIMEOUT_MS,
    );
    this.pendingServerIds.delete(serverId);
    if (outcome.kind !== 'answered') {
      log.info('report-failed', { reason: outcome.reason, serverId });
      return;
    }
    const report = protocol.parseReport(outcome.status, outcome.body);
    if (!report.ok) {
      log.warn('report-unreadable', { reason: report.error, serverId });
    } else if (report.value.isLeaving) {
      onLeaving(serverId);
    }
  }
}
