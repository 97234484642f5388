import type { DecisionSink, TeamId } from '@laburnumgap/kernel';
import { NO_DECISION_SINK } from '@laburnumgap/kernel';
import { PAYBACK_WINDOW_MS, SHARE_TTL_MS } from './QuotaConstants.js';
import { QuotaHomeTeam } from './QuotaHomeTeam.js';
import type { QuotaContract, QuotaDemand, QuotaTeamShare } from './QuotaTypes.js';

/** Options of {@link createQuotaHome}. */
export interface QuotaHomeOptions {
  readonly contractOf: (teamId: TeamId) => QuotaContract | undefined;
  /** Told when the demands of all routers begin or cease to exceed a limit. */
  readonly decisions?: DecisionSink;
  readonly liveRouters: () => number;
  readonly paybackWindowMs?: number;
  readonly shareTtlMs?: number;
  readonly startedAtMs: number;
  /**
   * Since when the set of schedulers has not changed, as this process knows. Another home may have
   * handed out shares before that; the start of the process by default.
   */
  readonly schedulersUnchangedSinceMs?: () => number;
}

/** Hands out shares of team limits to routers. */
export interface QuotaHome {
  /** Answers one router's demands. Teams without a contract get no share. */
  acquire(
    routerId: string,
    demands: readonly QuotaDemand[],
    nowMs: number,
  ): readonly QuotaTeamShare[];
  /** Number of teams with state here. */
  teamCount(): number;
}

/**
 * Creates the quota home of teams. The shares that are valid at one time never sum to more than the
 * contract. Shares of an earlier home are not known: until they must have lapsed, a router gets no
 * more than it says that it holds, or the limit divided by the live routers if that is more.
 *
 * @param options - contracts, routers and times
 * @returns the home
 */
export function createQuotaHome(options: QuotaHomeOptions): QuotaHome {
  const decisions = options.decisions ?? NO_DECISION_SINK;
  const shareTtlMs = options.shareTtlMs ?? SHARE_TTL_MS;
  const steadySinceMs = options.schedulersUnchangedSinceMs ?? ((): number => options.startedAtMs);
  const teams = new Map<TeamId, QuotaHomeTeam>();

  const acquireOne = (
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
      isWarmingUp: nowMs < Math.max(options.startedAtMs, steadySinceMs()) + shareTtlMs,
      limits: contract.limits,
      liveRouters: options.liveRouters(),
      nowMs,
      paybackWindowMs: options.paybackWindowMs ?? PAYBACK_WINDOW_MS,
      shareTtlMs,
    });
    const { teamId } = demand;
    for (const { isContended, limit } of team.takeContention()) {
      const outcome = isContended ? 'divided' : 'free';
      decisions.record({ decision: 'limit', fields: { limit, outcome, teamId } });
    }
    return { ...amounts, contractRevision: contract.revision, teamId, validForMs: shareTtlMs };
  };

  const forgetIdle = (nowMs: number): void => {
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
        forgetIdle(nowMs);
        nextSweepAtMs = nowMs + shareTtlMs;
      }
      return demands.flatMap((demand) => acquireOne(routerId, demand, nowMs) ?? []);
    },
    teamCount: () => teams.size,
  };
}
