import type { AdmissionController } from '@laburnumgap/admission';
import { EngineAdmission, LengthModel, RequestHome } from '@laburnumgap/admission';
import type { DaemonContext, StartedDaemon } from '@laburnumgap/daemon';
import { startHttpServer } from '@laburnumgap/daemon';
import type { EngineId, MemberId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { Node } from '@laburnumgap/node';
import type { DaemonSettings } from '@laburnumgap/settings';
import { createAdmissionHandlers } from './SchedulerAdmissionService.js';
import type { EngineReports } from './SchedulerEnginePoll.js';
import { SchedulerEnginePoll } from './SchedulerEnginePoll.js';
import { SchedulerEngines } from './SchedulerEngines.js';
import { createInspectHandlers } from './SchedulerInspectService.js';
import { startSchedulerOrders } from './SchedulerOrders.js';
import { createSchedulerQuota } from './SchedulerQuotaService.js';
import { createRequestHomeHandlers } from './SchedulerRequestHomeService.js';

/** What a scheduler is started with. */
export interface SchedulerOptions {
  readonly context: DaemonContext<DaemonSettings>;
  /** Builds the admission kernel of an engine. */
  readonly createController?: (engineId: EngineId, nowMs: number) => AdmissionController;
  /** Reads the reports of an engine. */
  readonly createReports?: (url: string) => EngineReports;
  readonly loadIntervalMs?: number;
  readonly node: Node;
}

/**
 * Starts a scheduler: admission to the engines it is in charge of, and the request home.
 *
 * @param options - daemon context, node and replaceable parts
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
  const engines = new SchedulerEngines({
    actors,
    clock,
    createController:
      options.createController ??
      ((_engineId, startedMs) => new EngineAdmission({ lengths, random, startedMs })),
    decisions,
    directory,
    memberId,
    metrics,
    onOpened: (engineId) => void poll.poll(engineId),
    servers,
  });
  const poll = new SchedulerEnginePoll({
    clock,
    createReports: options.createReports,
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
  engines.sync();
  const orders = startSchedulerOrders({ decisions, member, node, settings });
  return {
    addresses: { http: http.address, rpc: member.rpcAddress },
    drain: async () => {
      await orders.stop();
      await engines.drain();
      await poll.stop();
      quota.stop();
      await node.drain();
      engines.stop();
      http.destroy();
    },
  };
}
