import type { Revision, TeamId, Teardown } from '@laburnumgap/kernel';
import type { Contract, PlannedStop } from './ContractSchema.js';

/** A contract that is in force, with the revision that accepted it. */
export interface ContractInForce {
  readonly contract: Contract;
  readonly revision: Revision;
}

/** Why a key does not open a contract. */
export type KeyRejection = 'revoked' | 'unknown';

/** Immutable snapshot of the configuration in force at one daemon. */
export interface ConfigurationSnapshot {
  readonly contracts: ReadonlyMap<TeamId, ContractInForce>;
  /** Highest revision applied. */
  readonly revision: Revision;
  readonly stops: readonly PlannedStop[];
}

/** The configuration in force at this daemon. Its revision never goes down. */
export interface ConfigurationView {
  /** Contract that a key opens, by the SHA-256 of the key in hexadecimal. */
  contractOfKey(keySha256: string): ContractInForce | KeyRejection;
  /** Calls the listener after each change. */
  onChange(listener: (snapshot: ConfigurationSnapshot) => void): Teardown;
  snapshot(): ConfigurationSnapshot;
}
