import type { Refusal, TeamId } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import { IDLE_TEAM_TIMEOUT_MS } from './QuotaConstants.js';
import { QuotaTeamLimiter } from './QuotaTeamLimiter.js';
import type { QuotaAmounts, QuotaContract, QuotaDemand, QuotaTeamShare } from './QuotaTypes.js';

/** Options of {@link createQuotaLimiter}. */
export interface QuotaLimiterOptions {
  readonly contractOf: (teamId: TeamId) => QuotaContract | undefined;
  readonly idleTeamTimeoutMs?: number;
  readonly liveRouters: () => number;
}

/** The request may run; it counts as running until it is released. */
export interface QuotaAdmitted {
  readonly kind: 'admitted';
}

/** Enforces team limits at one router, within the shares that the router holds. */
export interface QuotaLimiter {
  /**
   * Applies the answer of a quota home.
   *
   * @param shares - the shares
   * @param nowMs - the time; validity counts from the earliest unanswered call of `demands`
   */
  applyShares(shares: readonly QuotaTeamShare[], nowMs: number): void;
  /** Charges input or output tokens of an admitted request. */
  chargeTokens(teamId: TeamId, tokens: number, nowMs: number): void;
  /** Returns the demands of the active teams, to be sent to their homes immediately. */
  demands(nowMs: number): readonly QuotaDemand[];
  /** Whether a home's share applies to a team, instead of an equal part of the limit. */
  holdsShare(teamId: TeamId, nowMs: number): boolean;
  /** Amounts that apply at this router; undefined for a team that it keeps no state for. */
  currentAmounts(teamId: TeamId, nowMs: number): QuotaAmounts | undefined;
  /** Releases an admitted request. */
  release(teamId: TeamId): void;
  /** Admits a request within the team's share, or refuses it with the time after which to retry. */
  tryAdmit(teamId: TeamId, nowMs: number): QuotaAdmitted | Refusal;
}

/**
 * Creates the limiter of one router. A team without a valid share gets its limit divided by the number
 * of live routers.
 *
 * @param options - contracts and number of routers
 * @returns the limiter
 */
export function createQuotaLimiter(options: QuotaLimiterOptions): QuotaLimiter {
  const idleTeamTimeoutMs = options.idleTeamTimeoutMs ?? IDLE_TEAM_TIMEOUT_MS;
  const teams = new Map<TeamId, QuotaTeamLimiter>();

  const refreshedTeam = (teamId: TeamId, nowMs: number): QuotaTeamLimiter | undefined => {
    const contract = options.contractOf(teamId);
    if (!contract) {
      return undefined;
    }
    const liveRouters = options.liveRouters();
    const team = teams.get(teamId) ?? new QuotaTeamLimiter({ contract, liveRouters, nowMs });
    teams.set(teamId, team);
    team.refresh(contract, liveRouters, nowMs);
    return team;
  };

  return {
    applyShares: (shares, nowMs) => {
      for (const share of shares) {
        refreshedTeam(share.teamId, nowMs)?.applyShare(share, nowMs);
      }
    },
    chargeTokens: (teamId, tokens, nowMs) => {
      refreshedTeam(teamId, nowMs)?.chargeTokens(tokens, nowMs);
    },
    demands: (nowMs) => {
      const demands: QuotaDemand[] = [];
      for (const [teamId, team] of teams) {
        if (team.isIdle(nowMs, idleTeamTimeoutMs)) {
          teams.delete(teamId);
        } else {
          demands.push({ ...team.demand(nowMs), teamId });
        }
      }
      return demands;
    },
    holdsShare: (teamId, nowMs) => teams.get(teamId)?.holdsShare(nowMs) ?? false,
    currentAmounts: (teamId, nowMs) => {
      const contract = options.contractOf(teamId);
      const team = contract && teams.get(teamId);
      if (contract && team) {
        team.refresh(contract, options.liveRouters(), nowMs);
      }
      return team?.currentAmounts;
    },
    release: (teamId) => {
      teams.get(teamId)?.release();
    },
    tryAdmit: (teamId, nowMs) => {
      const team = refreshedTeam(teamId, nowMs);
      return team?.tryAdmit(nowMs) ?? refusal('KEY_REJECTED', 'the team has no contract in force');
    },
  };
}
