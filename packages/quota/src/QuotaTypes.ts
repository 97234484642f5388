import type { Revision, TeamId } from '@laburnumgap/kernel';

/** Amounts of the three limits of a contract. */
export interface QuotaAmounts {
  readonly requestsPerSecond: number;
  readonly runningRequests: number;
  readonly tokensPerSecond: number;
}

/** What a router wants for a team, holds for it and has used. */
export interface QuotaDemand extends QuotaAmounts {
  /** The share that the router still holds, from whichever home. */
  readonly heldRequestsPerSecond: number;
  readonly heldRunningRequests: number;
  readonly heldTokensPerSecond: number;
  /** Requests that run now; `runningRequests` also counts those that were turned away. */
  readonly inFlightRequests: number;
  readonly teamId: TeamId;
  /** Requests admitted since the last answered call. */
  readonly usedRequests: number;
  /** Tokens charged since the last answered call. */
  readonly usedTokens: number;
}

/** A share of a team's limits, valid for a time from when it was asked for. */
export interface QuotaTeamShare extends QuotaAmounts {
  readonly contractRevision: Revision;
  readonly teamId: TeamId;
  readonly validForMs: number;
}

/** The limits of a team's contract in force. */
export interface QuotaContract {
  readonly limits: {
    readonly concurrentRequests: number;
    readonly requestsPerSecond: number;
    readonly tokensPerSecond: number;
  };
  readonly revision: Revision;
}
