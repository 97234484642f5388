import type { Revision, TeamId } from '@laburnumgap/kernel';

/** Amounts of a contract's three limits, in whole or as a share. */
export interface QuotaAmounts {
  readonly requestsPerSecond: number;
  readonly runningRequests: number;
  readonly tokensPerSecond: number;
}

/** What a router demands for a team, holds for it and has used. */
export interface QuotaDemand extends QuotaAmounts {
  /** The share that the router still holds, whichever home it came from. */
  readonly heldRequestsPerSecond: number;
  readonly heldRunningRequests: number;
  readonly heldTokensPerSecond: number;
  /** Requests that are running; `runningRequests` also counts requests that were refused. */
  readonly inFlightRequests: number;
  readonly teamId: TeamId;
  /** Requests admitted since the last answered call. */
  readonly usedRequests: number;
  /** Tokens charged since the last answered call. */
  readonly usedTokens: number;
}

/** A share of a team's limits; its validity counts from when it was asked for. */
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
