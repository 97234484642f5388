/** Where on the way of a call the fault strikes. */
export type CallStep =
  | 'answer received'
  | 'answer recorded'
  | 'before the claim'
  | 'claim granted'
  | 'connected'
  | 'none';

/** What a ledger's call to the platform's service meets. */
export type StoreFault = 'applied, no answer' | 'none' | 'not applied, no answer' | 'unavailable';

/** What a call meets at its server. */
export type ServerFault =
  | 'answer too late'
  | 'no connection'
  | 'none'
  | 'reset after the effect'
  | 'reset before the effect';

/** Faults of one call. */
export interface CallFaults {
  /** Fault of the commit of the claim. */
  readonly claimCommit?: StoreFault;
  /** The first ledger dies with the fault of the commit of the claim. */
  readonly ledgerDiesAtClaim?: boolean;
  /** The first ledger dies once the call is to be settled. */
  readonly ledgerDiesAtSettle?: boolean;
  readonly loseClaimReply?: boolean;
  readonly loseClaimRequest?: boolean;
  /** The router is paused for longer than a claim lasts. */
  readonly routerPausesAt?: CallStep;
  readonly routerDiesAt?: CallStep;
  readonly server?: ServerFault;
  readonly settleCommit?: StoreFault;
  /** The caller goes away before the call is sent. */
  readonly callerGone?: boolean;
}
