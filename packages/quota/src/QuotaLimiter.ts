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

/** The request may run; it counts as running until released. */
export interface QuotaAdmitted {
  readonly kind: 'admitted';
}

/** Holds one router's shares of team limits. */
export interface QuotaLimiter {
  /**
   * Takes the answer of a home.
   *
   * @param shares - the shares
   * @param nowMs - the time; validity counts from the earliest call of `demands` without an answer
   */
  applyShares(shares: readonly QuotaTeamShare[], nowMs: number): void;
  /** Charges input or produced tokens of an admitted request. */
  chargeTokens(teamId: TeamId, tokens: number, nowMs: number): void;
  /** Demands of the teams in use, to be sent to their homes now. */
  demands(nowMs: number): readonly QuotaDemand[];
  /** Whether a home's share is in force for a team, rather than an equal part of the limit. */
  holdsShare(teamId: TeamId, nowMs: number): boolean;
  /** Amounts in force at this router for a team that it has seen. */
  currentAmounts(teamId: TeamId, nowMs: number): QuotaAmounts | undefined;
  /** Ends an admitted request. */
  release(teamId: TeamId): void;
  /** Admits a request within the team's share or says when to come back. */
  tryAdmit(teamId: TeamId, nowMs: number): QuotaAdmitted | Refusal;
}

/**
 * Creates the shares of one router. Without a valid share a team gets its limit divided by the live
 * routers.
 *
 * @param options - contracts and number of routers
 * @returns the shares
 */
export function createQuotaLimiter(options: QuotaLimiterOptions): QuotaLimiter {
  const idleTeamMs = options.idleTeamTimeoutMs ?? IDLE_TEAM_TIMEOUT_MS;
  const teams = new Map<TeamId, QuotaTeamLimiter>();

  const teamOf = (teamId: TeamId, nowMs: number): QuotaTeamLimiter | undefined => {
    const contract = options.contractOf(teamId);
    if (!contract) {
      return undefined;
    }
    const liveRouters = options.liveRouters();
    const known = teams.get(teamId) ?? new QuotaTeamLimiter({ contract, liveRouters, nowMs });
    teams.set(teamId, known);
    known.refresh(contract, liveRouters, nowMs);
    return known;
  };

  return {
    applyShares: (shares, nowMs) => {
      for (const share of shares) {
        teamOf(share.teamId, nowMs)?.applyShare(share, nowMs);
      }
    },
    chargeTokens: (teamId, tokens, nowMs) => {
      teamOf(teamId, nowMs)?.chargeTokens(tokens, nowMs);
    },
    demands: (nowMs) => {
      const demands: QuotaDemand[] = [];
      for (const [teamId, team] of teams) {
        if (team.isIdle(nowMs, idleTeamMs)) {
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
      const team = teamOf(teamId, nowMs);
      return team?.tryAdmit(nowMs) ?? refusal('KEY_REJECTED', 'the team has no contract in force');
    },
  };
}
