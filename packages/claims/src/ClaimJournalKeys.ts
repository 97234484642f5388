import type { SlotNumber } from '@laburnumgap/kernel';

const CLAIMS_PREFIX = '/laburnum/claims/';
const SEGMENT_NUMBER_DIGITS = 12;

/** Store key of the layout that all slots share. */
export const CLAIM_LAYOUT_KEY = `${CLAIMS_PREFIX}layout`;

/**
 * Returns the prefix of a slot's store keys.
 *
 * @param slot - the slot
 * @returns the prefix
 */
export function claimSlotPrefix(slot: SlotNumber): string {
  return `${CLAIMS_PREFIX}${slot}/`;
}

/**
 * Returns the store key of a slot's head.
 *
 * @param slot - the slot
 * @returns the store key
 */
export function claimHeadKey(slot: SlotNumber): string {
  return `${claimSlotPrefix(slot)}head`;
}

/**
 * Returns the store key of a segment.
 *
 * @param slot - the slot
 * @param segment - number of the segment, from 0
 * @returns the store key
 */
export function claimSegmentKey(slot: SlotNumber, segment: number): string {
  const number = String(segment).padStart(SEGMENT_NUMBER_DIGITS, '0');
  return `${claimSlotPrefix(slot)}segments/${number}`;
}
