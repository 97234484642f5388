import type { DecisionSink, TeamId } from '@laburnumgap/kernel';
import { NO_DECISION_SINK } from '@laburnumgap/kernel';
import { PAYBACK_WINDOW_MS, SHARE_TTL_MS } from './QuotaConstants.js';
import { QuotaHomeTeam } from './QuotaHomeTeam.js';
import type { QuotaContract, QuotaDemand, QuotaTeamShare } from './QuotaTypes.js';

/** Options of {@link createQuotaHome}. */
export interface QuotaHomeOptions {
  readonly contractOf: (teamId: TeamId) => QuotaContract | undefined;
  /** Records when the demands of all routers start or stop exceeding a limit. */
  readonly decisions?: DecisionSink;
  readonly liveRouters: () => number;
  readonly paybackWindowMs?: number;
  /**
   * Returns since when this process has seen no change in the set of schedulers; the start of the
   * process by default. Before that time another scheduler may have been the home and handed out
   * shares.
   */
  readonly schedulersUnchangedSinceMs?: () => number;
  readonly shareTtlMs?: number;
  readonly startedAtMs: number;
}

/**
 * Hands out shares of team limits to routers. A team's home is the scheduler that rendezvous hashing
 * ranks first for the team.
 */
export interface QuotaHome {
  /** Answers one router's demands; teams without a contract get no share. */
  acquire(
    routerId: string,
    demands: readonly QuotaDemand[],
    nowMs: number,
  ): readonly QuotaTeamShare[];
  /** Number of teams whose state is kept here. */
  teamCount(): number;
}

/**
 * Creates the quota home of teams. The sum of the shares that are valid at any time never exceeds the
 * contract. Shares handed out by an earlier home are not known: until they must have expired, a router
 * gets at most the larger of what it reports to hold and the limit divided by the live routers.
 *
 * @param options - contracts, number of routers and times
 * @returns the home
 */
export function createQuotaHome(options: QuotaHomeOptions): QuotaHome {
  const decisions = options.decisions ?? NO_DECISION_SINK;
  const shareTtlMs = options.shareTtlMs ?? SHARE_TTL_MS;
  const schedulersUnchangedSinceMs =
    options.schedulersUnchangedSinceMs ?? ((): number => options.startedAtMs);
  const teams = new Map<TeamId, QuotaHomeTeam>();

  const acquireTeamShare = (
    routerId: string,
    demand: QuotaDemand,
    nowMs: number,
  ): QuotaTeamShare | undefined => {
    const contract = options.contractOf(demand.teamId);
    if (!contract) {
      teams.delete(demand.teamId);
      return undefined;
    }
    const team = teams.get(demand.teamId) ?? new QuotaHomeTeam();
    teams.set(demand.teamId, team);
    const amounts = team.acquire(routerId, demand, {
      isWarmingUp: nowMs < Math.max(options.startedAtMs, schedulersUnchangedSinceMs()) + shareTtlMs,
      limits: contract.limits,
      liveRouters: options.liveRouters(),
      nowMs,
      paybackWindowMs: options.paybackWindowMs ?? PAYBACK_WINDOW_MS,
      shareTtlMs,
    });
    const { teamId } = demand;
    for (const { isContended, limit } of team.takeContentionChanges()) {
      const outcome = isContended ? 'divided' : 'free';
      decisions.record({ decision: 'limit', fields: { limit, outcome, teamId } });
    }
    return { ...amounts, contractRevision: contract.revision, teamId, validForMs: shareTtlMs };
  };

  const removeIdleTeams = (nowMs: number): void => {
    for (const [teamId, team] of teams) {
      if (team.isIdle(nowMs)) {
        teams.delete(teamId);
      }
    }
  };

  let nextSweepAtMs = -Infinity;
  return {
    acquire: (routerId, demands, nowMs) => {
      if (nowMs >= nextSweepAtMs) {
        removeIdleTeams(nowMs);
        nextSweepAtMs = nowMs + shareTtlMs;
      }
      return demands.flatMap((demand) => acquireTeamShare(routerId, demand, nowMs) ?? []);
    },
    teamCount: () => teams.size,
  };
}
