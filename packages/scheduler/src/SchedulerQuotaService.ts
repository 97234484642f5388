import type { ConfigurationView } from '@laburnumgap/contracts';
import type {
  DecisionSink,
  MemberDirectory,
  MonotonicClock,
  TeamId,
  Teardown,
} from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { QuotaContract, QuotaDemand, QuotaTeamShare } from '@laburnumgap/quota';
import { createQuotaHome } from '@laburnumgap/quota';
import type { QuotaHandlers } from '@laburnumgap/rpc';

/** What the quota service is built from. */
export interface SchedulerQuotaOptions {
  readonly clock: MonotonicClock;
  readonly configuration: ConfigurationView;
  readonly decisions: DecisionSink;
  readonly directory: MemberDirectory;
}

/** The quota service with what it has to give back. */
export interface SchedulerQuotaService {
  readonly handlers: QuotaHandlers;
  stop(): void;
  /** Number of teams with state here. */
  teamCount(): number;
}

/**
 * Creates the Quota service over a quota home.
 *
 * @param options - contracts, members and the clock
 * @returns the service
 */
export function createQuotaService(options: SchedulerQuotaOptions): SchedulerQuotaService {
  const { clock, configuration, decisions, directory } = options;
  const steady = watchSchedulers(directory, clock);
  const contractOf = (teamId: TeamId): QuotaContract | undefined => {
    const inForce = configuration.snapshot().contracts.get(teamId);
    return inForce && { limits: inForce.contract.limits, revision: inForce.revision };
  };
  const home = createQuotaHome({
    contractOf,
    liveRouters: () => directory.members('router').length,
    startedAtMs: clock.nowMs(),
    steadySinceMs: steady.sinceMs,
  });
  return {
    handlers: {
      AcquireShare: ({ request }, callback) => {
        const demands = request.demands.map((demand) => ({
          ...demand,
          teamId: toId<TeamId>(demand.teamId),
        }));
        const shares = home.acquire(request.routerId, demands, clock.nowMs());
        for (const share of shares) {
          recordShortShare(decisions, request.routerId, share, demands);
        }
        callback(null, { shares: [...shares] });
      },
    },
    stop: steady.stop,
    teamCount: () => home.teamCount(),
  };
}

function recordShortShare(
  decisions: DecisionSink,
  routerId: string,
  share: QuotaTeamShare,
  demands: readonly QuotaDemand[],
): void {
  const { contractRevision, requestsPerSecond, runningRequests, teamId, tokensPerSecond } = share;
  const demand = demands.find((other) => other.teamId === teamId);
  const isShort =
    demand !== undefined &&
    (requestsPerSecond < demand.requestsPerSecond ||
      runningRequests < demand.runningRequests ||
      tokensPerSecond < demand.tokensPerSecond);
  if (isShort) {
    const fields = { contractRevision, requestsPerSecond, routerId, runningRequests };
    decisions.record({ decision: 'limit', fields: { ...fields, teamId, tokensPerSecond } });
  }
}

/** Since when the set of schedulers has not changed: before that a team had another home. */
function watchSchedulers(
  directory: MemberDirectory,
  clock: MonotonicClock,
): { readonly sinceMs: () => number; readonly stop: Teardown } {
  const setOf = (): string =>
    directory
      .members('scheduler')
      .map(({ incarnation, memberId }) => `${memberId}/${incarnation}`)
      .join(' ');
  let known = setOf();
  let sinceMs = clock.nowMs();
  const stop = directory.onChange(() => {
    const current = setOf();
    if (current !== known) {
      known = current;
      sinceMs = clock.nowMs();
    }
  });
  return { sinceMs: () => sinceMs, stop };
}
