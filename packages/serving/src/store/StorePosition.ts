import type { Revision, StoreEra } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';

/** Revision of the platform's store, valid only together with the era that it was given out in. */
export interface StorePosition {
  readonly era: StoreEra;
  readonly revision: Revision;
}

/** Before everything that a store has given out. Also the era of a store that names none. */
export const FIRST_POSITION: StorePosition = {
  era: toNumberId<StoreEra>(0),
  revision: toNumberId<Revision>(0),
};

/**
 * Whether a position is later than another one. Any revision of a later era is later.
 *
 * @param position - the position
 * @param other - the position to compare with
 */
export function isLater(position: StorePosition, other: StorePosition): boolean {
  return position.era === other.era ? position.revision > other.revision : position.era > other.era;
}
