import type { SlotNumber } from '@laburnumgap/kernel';

const CLAIMS_PREFIX = '/laburnum/claims/';
const SEGMENT_NUMBER_DIGITS = 12;

/** Key of the layout that all slots share. */
export const CLAIM_LAYOUT_KEY = `${CLAIMS_PREFIX}layout`;

/**
 * Names the prefix of a slot's keys.
 *
 * @param slot - the slot
 * @returns the prefix
 */
export function claimSlotPrefix(slot: SlotNumber): string {
  return `${CLAIMS_PREFIX}${slot}/`;
}

/**
 * Names the key of a slot's head.
 *
 * @param slot - the slot
 * @returns the key
 */
export function claimHeadKey(slot: SlotNumber): string {
  return `${claimSlotPrefix(slot)}head`;
}

/**
 * Names the key of a segment.
 *
 * @param slot - the slot
 * @param segment - the segment's number
 * @returns the key
 */
export function claimSegmentKey(slot: SlotNumber, segment: number): string {
  const number = String(segment).padStart(SEGMENT_NUMBER_DIGITS, '0');
  return `${claimSlotPrefix(slot)}segments/${number}`;
}
