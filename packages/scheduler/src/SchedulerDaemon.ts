import type { AdmissionController } from '@laburnumgap/admission';
import { EngineAdmission, LengthModel, RequestHome } from '@laburnumgap/admission';
import type { DaemonContext, StartedDaemon } from '@laburnumgap/daemon';
import { startHttpServer } from '@laburnumgap/daemon';
import type { EngineId, MemberId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { Node } from '@laburnumgap/node';
import type { DaemonSettings } from '@laburnumgap/settings';
import { createAdmissionHandlers } from './SchedulerAdmissionService.js';
import type { EngineReportClient } from './SchedulerEnginePoller.js';
import { SchedulerEnginePoller } from './SchedulerEnginePoller.js';
import { SchedulerEngineRegistry } from './SchedulerEngineRegistry.js';
import { createInspectHandlers } from './SchedulerInspectService.js';
import { startSchedulerPoolReconciler } from './SchedulerPoolReconciler.js';
import { createSchedulerQuota } from './SchedulerQuotaService.js';
import { createRequestHomeHandlers } from './SchedulerRequestHomeService.js';

/** Options of {@link startScheduler}. */
export interface SchedulerOptions {
  readonly context: DaemonContext<DaemonSettings>;
  /** Creates the admission controller of an engine; replaceable in tests. */
  readonly createController?: (engineId: EngineId, nowMs: number) => AdmissionController;
  /** Creates the client that reads an engine's load and cache events; replaceable in tests. */
  readonly createReportClient?: (url: string) => EngineReportClient;
  /** Interval between polls of an engine; one second by default. */
  readonly loadIntervalMs?: number;
  readonly node: Node;
}

/**
 * Starts a scheduler: admission to engines, quota home, request home and the pool reconciler.
 *
 * @param options - daemon context, node and replaceable components
 * @returns the started daemon
 * @throws when an address cannot be bound
 */
export async function startScheduler(options: SchedulerOptions): Promise<StartedDaemon> {
  const { context, node } = options;
  const { actors, decisions, log, metrics, settings } = context;
  const { clock, configuration, directory, random, servers } = node;
  const home = new RequestHome();
  const lengths = new LengthModel();
  const memberId = toId<MemberId>(settings.member.id);
  const engines = new SchedulerEngineRegistry({
    actors,
    clock,
    createController:
      options.createController ??
      ((_engineId, startedMs) => new EngineAdmission({ lengths, random, startedMs })),
    decisions,
    directory,
    memberId,
    metrics,
    onEngineOpened: (engineId) => void enginePoller.pollEngine(engineId),
    servers,
  });
  const enginePoller = new SchedulerEnginePoller({
    clock,
    createReportClient: options.createReportClient,
    engines,
    intervalMs: options.loadIntervalMs,
    log,
    servers,
  });
  const http = await startHttpServer({
    address: settings.listen.http,
    stage: () => context.stage(),
  });
  const quota = createSchedulerQuota({ clock, configuration, decisions, directory });
  const member = await node.registerHandlers({
    Admission: createAdmissionHandlers({ clock, engines }),
    Inspect: createInspectHandlers({
      configuration,
      decisions,
      draining: () => context.stage() === 'draining',
      engines,
      configurationAgeMs: () => node.configurationAgeMs(),
      counts: () => ({ homeRecords: home.size(), quotaTeams: quota.teamCount() }),
      memberId,
    }),
    Quota: quota.handlers,
    RequestHome: createRequestHomeHandlers({ clock, decisions, home }),
  });
  engines.syncWithDirectories();
  const poolReconciler = startSchedulerPoolReconciler({ decisions, member, node, settings });
  return {
    addresses: { http: http.address, rpc: member.rpcAddress },
    drain: async () => {
      await poolReconciler.stop();
      await engines.drain();
      await enginePoller.stop();
      quota.stop();
      await node.drain();
      engines.stop();
      http.destroy();
    },
  };
}
