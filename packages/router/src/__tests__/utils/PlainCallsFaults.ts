/** Step of a call at which the router dies or pauses. */
export type CallStep =
  | 'answer received'
  | 'answer recorded'
  | 'before the claim'
  | 'claim granted'
  | 'connected'
  | 'none';

/** Fault of a ledger's commit to the platform service. */
export type StoreFault = 'applied, no answer' | 'none' | 'not applied, no answer' | 'unavailable';

/** Fault of a call at its server. */
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
  /** The first ledger dies together with the fault of the claim's commit. */
  readonly ledgerDiesAtClaim?: boolean;
  /** The first ledger dies when the call is settled. */
  readonly ledgerDiesAtSettle?: boolean;
  readonly loseClaimReply?: boolean;
  readonly loseClaimRequest?: boolean;
  /** The router is paused for longer than a claim lasts. */
  readonly routerPausesAt?: CallStep;
  readonly routerDiesAt?: CallStep;
  readonly server?: ServerFault;
  readonly settleCommit?: StoreFault;
  /** The caller disconnects before the call is sent. */
  readonly callerDisconnected?: boolean;
}
