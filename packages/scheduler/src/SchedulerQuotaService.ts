import { status } from '@grpc/grpc-js';
import type { ConfigurationView } from '@laburnumgap/contracts';
import type { DecisionSink, MemberDirectory, MonotonicClock, Teardown } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { QuotaDemand } from '@laburnumgap/quota';
import { createQuotaHome } from '@laburnumgap/quota';
import type { QuotaHandlers, TeamDemand__Output } from '@laburnumgap/rpc';

/** Options of {@link createSchedulerQuota}. */
export interface SchedulerQuotaOptions {
  readonly clock: MonotonicClock;
  readonly configuration: ConfigurationView;
  readonly decisions?: DecisionSink;
  readonly directory: MemberDirectory;
}

/** The quota home and its gRPC handlers. */
export interface SchedulerQuota {
  readonly handlers: QuotaHandlers;
  stop: Teardown;
  /** Number of teams whose state is kept here. */
  teamCount(): number;
}

/**
 * Creates the quota home of the teams whose routers call this scheduler.
 *
 * @param options - contracts, members and clock
 * @returns the handlers of the Quota service and their state
 */
export function createSchedulerQuota(options: SchedulerQuotaOptions): SchedulerQuota {
  const { clock, configuration, directory } = options;
  let schedulers = schedulerIncarnations(directory);
  let unchangedSinceMs = clock.nowMs();
  const stop = directory.onChange(() => {
    const current = schedulerIncarnations(directory);
    if (current !== schedulers) {
      schedulers = current;
      unchangedSinceMs = clock.nowMs();
    }
  });
  const home = createQuotaHome({
    contractOf: (teamId) => {
      const inForce = configuration.snapshot().contracts.get(teamId);
      return inForce && { limits: inForce.contract.limits, revision: inForce.revision };
    },
    decisions: options.decisions,
    liveRouters: () => Math.max(1, directory.members('router').length),
    schedulersUnchangedSinceMs: () => unchangedSinceMs,
    startedAtMs: clock.nowMs(),
  });
  return {
    handlers: {
      AcquireShare: ({ request }, callback) => {
        if (!request.demands.every(isValidDemand)) {
          callback({ code: status.INVALID_ARGUMENT, details: 'demands are not valid' });
          return;
        }
        const demands = request.demands.map(demandOf);
        const shares = home.acquire(request.routerId, demands, clock.nowMs());
        callback(null, { shares: [...shares] });
      },
    },
    stop,
    teamCount: () => home.teamCount(),
  };
}

function schedulerIncarnations(directory: MemberDirectory): string {
  return directory
    .members('scheduler')
    .map(({ incarnation }) => incarnation)
    .join(' ');
}

/** Checks the amounts sent by a peer: a single NaN would make the team's totals NaN. */
function isValidDemand(demand: TeamDemand__Output): boolean {
  const { teamId, ...amounts } = demand;
  return (
    teamId !== '' && Object.values(amounts).every((amount) => amount >= 0 && amount < Infinity)
  );
}

function demandOf(demand: TeamDemand__Output): QuotaDemand {
  return { ...demand, teamId: toId(demand.teamId) };
}
