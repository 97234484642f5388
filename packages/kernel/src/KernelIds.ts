/**
 * Branded identifiers. The brand makes it a compile error to pass, for example, a team id where an
 * engine id is expected; at run time every id is a plain string or number.
 */

declare const brand: unique symbol;

/** A value of type `T` that is assignable only to the same brand. */
export type Branded<T, Name extends string> = T & { readonly [brand]: Name };

/** Attempt to run one generation, counted from 1. Engines reject calls of lower attempts. */
export type AttemptNumber = Branded<number, 'AttemptNumber'>;
/** One model engine process on a backend server. */
export type EngineId = Branded<string, 'EngineId'>;
/** One entry VM of the system. */
export type EntryVmId = Branded<string, 'EntryVmId'>;
/** A failure domain of a region. */
export type FailureDomainId = Branded<string, 'FailureDomainId'>;
/**
 * Fencing token: grows with each change of the scheduler that owns an engine and is attached to every
 * order, so that an engine can reject orders of an earlier owner.
 */
export type FencingNumber = Branded<number, 'FencingNumber'>;
/** Property by which requests are recognised, such as a part of their prompts. */
export type FingerprintId = Branded<string, 'FingerprintId'>;
/** One generation with a fixed prompt, seed and parameters; may take several attempts. */
export type GenerationId = Branded<string, 'GenerationId'>;
/** Idempotency key that a caller sends (UUIDv7). */
export type IdempotencyKey = Branded<string, 'IdempotencyKey'>;
/** Identifies one process start of a member; a restart gets a new incarnation. */
export type Incarnation = Branded<string, 'Incarnation'>;
/** Lease in the platform's key-value service. */
export type LeaseId = Branded<string, 'LeaseId'>;
/** One daemon of the system. */
export type MemberId = Branded<string, 'MemberId'>;
/** A model name as callers and engines use it. */
export type ModelId = Branded<string, 'ModelId'>;
/** A pool of engines that share models and capabilities. */
export type PoolId = Branded<string, 'PoolId'>;
/** A region of the platform. */
export type RegionId = Branded<string, 'RegionId'>;
/** Request of a caller; unique within a team. */
export type RequestId = Branded<string, 'RequestId'>;
/** Modification revision of the platform's key-value service. */
export type Revision = Branded<number, 'Revision'>;
/** A backend server: a VM that runs model engines or another service. */
export type ServerId = Branded<string, 'ServerId'>;
/** Name of a service that is not a model engine. */
export type ServiceId = Branded<string, 'ServiceId'>;
/** Slot of the claims ledger; each slot has its own journal. */
export type SlotNumber = Branded<number, 'SlotNumber'>;
/**
 * Era of the platform's key-value service: rises each time the service comes back from an older copy.
 * Revisions of different eras are not comparable.
 */
export type StoreEra = Branded<number, 'StoreEra'>;
/** A customer's team. */
export type TeamId = Branded<string, 'TeamId'>;

/**
 * Brands a string as an id.
 *
 * @param value - the unbranded string
 * @returns the same string with the expected brand
 */
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters -- the caller names the brand
export function toId<Id extends Branded<string, string>>(value: string): Id {
  return value as Id;
}

/**
 * Brands a number as an id.
 *
 * @param value - the unbranded number
 * @returns the same number with the expected brand
 */
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters -- the caller names the brand
export function toNumberId<Id extends Branded<number, string>>(value: number): Id {
  return value as Id;
}
