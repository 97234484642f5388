/**
 * Branded identifiers. A brand keeps a team from being passed where an engine is expected; at run
 * time every id is a plain string or number.
 */

declare const brand: unique symbol;

/** A value of type `T` that only code aware of `Name` may construct. */
export type Branded<T, Name extends string> = T & { readonly [brand]: Name };

/** Number of a dispatch of one generation, starting at 1. A higher attempt fences a lower one. */
export type AttemptNumber = Branded<number, 'AttemptNumber'>;
/** One model engine process on a backend server. */
export type EngineId = Branded<string, 'EngineId'>;
/** One entry VM of the system. */
export type EntryVmId = Branded<string, 'EntryVmId'>;
/** A failure domain of a region. */
export type FailureDomainId = Branded<string, 'FailureDomainId'>;
/** Number that grows with each change of an engine's holder; attached to every order. */
export type FencingNumber = Branded<number, 'FencingNumber'>;
/** One generation: fixed prompt, seed and parameters, whatever number of attempts it takes. */
export type GenerationId = Branded<string, 'GenerationId'>;
/** Idempotency key given by a caller (UUIDv7). */
export type IdempotencyKey = Branded<string, 'IdempotencyKey'>;
/** One process start of a member. A restarted member has another incarnation. */
export type Incarnation = Branded<string, 'Incarnation'>;
/** Lease of the platform's key-value service. */
export type LeaseId = Branded<string, 'LeaseId'>;
/** One daemon of the system. */
export type MemberId = Branded<string, 'MemberId'>;
/** A model name as callers and engines use it. */
export type ModelId = Branded<string, 'ModelId'>;
/** A pool of engines that share models and capabilities. */
export type PoolId = Branded<string, 'PoolId'>;
/** A region of the platform. */
export type RegionId = Branded<string, 'RegionId'>;
/** A caller's request. Unique within a team. */
export type RequestId = Branded<string, 'RequestId'>;
/** Modification revision of the platform's key-value service. */
export type Revision = Branded<number, 'Revision'>;
/** A backend server: a VM that runs engines or a plain service. */
export type ServerId = Branded<string, 'ServerId'>;
/** A plain service beside the engines, by name. */
export type ServiceId = Branded<string, 'ServiceId'>;
/** A journal slot of the claims ledger. */
export type SlotNumber = Branded<number, 'SlotNumber'>;
/** A customer's team. */
export type TeamId = Branded<string, 'TeamId'>;

/**
 * Brands a string as an id.
 *
 * @param value - the plain text
 * @returns the same text with the brand of the expected type
 */
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters -- the caller names the brand
export function toId<Id extends Branded<string, string>>(value: string): Id {
  return value as Id;
}

/**
 * Brands a number.
 *
 * @param value - the plain number
 * @returns the same number with the brand of the expected type
 */
// eslint-disable-next-line @typescript-eslint/no-unnecessary-type-parameters -- the caller names the brand
export function toNumberId<Id extends Branded<number, string>>(value: number): Id {
  return value as Id;
}
