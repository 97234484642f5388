import type { Revision, TeamId, Teardown } from '@laburnumgap/kernel';
import type { Contract, PlannedStop } from './ContractSchema.js';

/** A contract that is in force, with the revision at which it was accepted. */
export interface ContractInForce {
  readonly contract: Contract;
  readonly revision: Revision;
}

/** Why an API key does not authenticate a team. */
export type KeyRejection = 'revoked' | 'unknown';

/** Immutable snapshot of the configuration in force at one daemon. */
export interface ConfigurationSnapshot {
  readonly contracts: ReadonlyMap<TeamId, ContractInForce>;
  /** Highest revision applied. */
  readonly revision: Revision;
  readonly stops: readonly PlannedStop[];
}

/** The configuration in force at this daemon. Its revision never decreases. */
export interface ConfigurationView {
  /** Looks up the contract that an API key belongs to, by the key's SHA-256 in hexadecimal. */
  contractOfKey(keySha256: string): ContractInForce | KeyRejection;
  /** Calls the listener after each change, until the returned teardown is called. */
  onChange(listener: (snapshot: ConfigurationSnapshot) => void): Teardown;
  snapshot(): ConfigurationSnapshot;
}
