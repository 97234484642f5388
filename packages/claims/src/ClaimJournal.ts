import type { RangeSnapshot, Result, Revision, SlotNumber, StoredValue } from '@laburnumgap/kernel';
import { InvariantError, failure, success, toNumberId } from '@laburnumgap/kernel';
import type { ZodType } from 'zod';
import { claimHeadKey, claimSegmentKey } from './ClaimJournalKeys.js';
import type { ClaimHead, ClaimJournalEntry } from './ClaimJournalSchema.js';
import {
  CLAIM_JOURNAL_FORMAT,
  claimHeadSchema,
  claimLayoutSchema,
  claimSegmentSchema,
} from './ClaimJournalSchema.js';
import { parseClaimKey } from './ClaimKey.js';
import type { ClaimRecord } from './ClaimRecord.js';
import { applyClaimEntry } from './ClaimRecord.js';

/**
 * A stored segment of the journal; the last one is open, that is, rewritten as entries are added.
 */
export interface ClaimSegment {
  /** Latest timestamp of the keys in it. */
  readonly maxKeyEpochMs: number;
  readonly number: number;
}

/** A slot's journal as of one revision of the store. */
export interface ClaimJournal {
  readonly head: ClaimHead;
  /** Revision of the head's last change, 0 when the slot has no head yet. */
  readonly headRevision: Revision;
  /** Revision of the layout, 0 when no layout is stored yet. */
  readonly layoutRevision: Revision;
  /** Entries of the open segment. */
  readonly openEntries: readonly ClaimJournalEntry[];
  /** Records by record name, in the order of their first entry. */
  readonly records: Map<string, ClaimRecord>;
  readonly segments: readonly ClaimSegment[];
}

/** A journal as read from the store. */
export interface StoredJournal {
  readonly layout: StoredValue | undefined;
  /** All keys of the slot. */
  readonly slot: RangeSnapshot;
}

const NO_REVISION = toNumberId<Revision>(0);

/** Head of a slot without any commit. */
const EMPTY_HEAD: ClaimHead = {
  firstSegment: 0,
  format: CLAIM_JOURNAL_FORMAT,
  nextSegment: 0,
  prunedKeyEpochMs: -1,
  sequence: 0,
  writer: 'none',
};

/**
 * Builds the name of a key's record, `team/key`.
 *
 * @param teamId - the team
 * @param idempotencyKey - the team's idempotency key, in lower case
 * @returns the record name
 */
export function claimRecordName(teamId: string, idempotencyKey: string): string {
  return `${teamId}/${idempotencyKey}`;
}

/**
 * Extracts the timestamp of a record's key, which is a UUIDv7.
 *
 * @param name - the record name
 * @returns milliseconds since the Unix epoch, 0 for a malformed key
 */
export function claimRecordEpochMs(name: string): number {
  const parsed = parseClaimKey(name.slice(name.indexOf('/') + 1));
  return parsed.ok ? parsed.value.epochMs : 0;
}

/**
 * Rebuilds a journal from the stored values. Missing or malformed values are errors and never count
 * as empty, because an empty journal would grant claims a second time.
 *
 * @param slot - the slot
 * @param stored - the layout, and the slot's keys as of one revision
 * @param slots - number of slots in the settings
 * @returns the journal, or the reason why it is unusable
 */
export function parseClaimJournal(
  slot: SlotNumber,
  stored: StoredJournal,
  slots: number,
): Result<ClaimJournal, string> {
  const layout = parseLayout(stored.layout, slots);
  if (!layout.ok) {
    return layout;
  }
  const values = new Map(stored.slot.values.map((value) => [value.key, value]));
  const storedHead = values.get(claimHeadKey(slot));
  if (storedHead === undefined) {
    return values.size === 0
      ? success(emptyJournal(layout.value))
      : failure('the slot has segments but no head');
  }
  const head = parseValue(claimHeadSchema, storedHead);
  if (!head.ok) {
    return head;
  }
  return parseSegments(slot, head.value, values, {
    headRevision: storedHead.modRevision,
    layoutRevision: layout.value,
  });
}

function parseSegments(
  slot: SlotNumber,
  head: ClaimHead,
  values: ReadonlyMap<string, StoredValue>,
  revisions: Pick<ClaimJournal, 'headRevision' | 'layoutRevision'>,
): Result<ClaimJournal, string> {
  const records = new Map<string, ClaimRecord>();
  const segments: ClaimSegment[] = [];
  let openEntries: readonly ClaimJournalEntry[] = [];
  for (let number = head.firstSegment; number < head.nextSegment; number += 1) {
    const value = values.get(claimSegmentKey(slot, number));
    if (value === undefined) {
      return failure(`segment ${number} is missing`);
    }
    const segment = parseValue(claimSegmentSchema, value);
    if (!segment.ok) {
      return segment;
    }
    openEntries = segment.value.entries;
    const applied = applyEntries(records, openEntries, head.prunedKeyEpochMs);
    if (!applied.ok) {
      return failure(`${value.key}: ${applied.error}`);
    }
    segments.push({ maxKeyEpochMs: maxKeyEpochMsOf(openEntries), number });
  }
  return success({ ...revisions, head, openEntries, records, segments });
}

/**
 * Finds the latest key timestamp among entries.
 *
 * @param entries - the entries
 * @returns milliseconds since the Unix epoch, -1 for no entries
 */
export function maxKeyEpochMsOf(entries: readonly ClaimJournalEntry[]): number {
  return entries.reduce((max, entry) => Math.max(max, claimRecordEpochMs(entry.key)), -1);
}

/**
 * Applies a segment's entries. A settlement whose claim was in a deleted segment is skipped: its
 * key is pruned and never granted again.
 */
function applyEntries(
  records: Map<string, ClaimRecord>,
  entries: readonly ClaimJournalEntry[],
  prunedKeyEpochMs: number,
): Result<undefined, string> {
  for (const entry of entries) {
    const record = records.get(entry.key);
    const isOrphan = entry.kind === 'settle' && record === undefined;
    if (isOrphan && claimRecordEpochMs(entry.key) <= prunedKeyEpochMs) {
      continue;
    }
    try {
      records.set(entry.key, applyClaimEntry(record, entry));
    } catch (error) {
      if (error instanceof InvariantError) {
        return failure(error.message);
      }
      throw error;
    }
  }
  return success(undefined);
}

function emptyJournal(layoutRevision: Revision): ClaimJournal {
  return {
    head: EMPTY_HEAD,
    headRevision: NO_REVISION,
    layoutRevision,
    openEntries: [],
    records: new Map(),
    segments: [],
  };
}

function parseLayout(value: StoredValue | undefined, slots: number): Result<Revision, string> {
  if (value === undefined) {
    return success(NO_REVISION);
  }
  const layout = parseValue(claimLayoutSchema, value);
  if (!layout.ok) {
    return layout;
  }
  if (layout.value.slots !== slots) {
    return failure(`the store has ${layout.value.slots} slots, the settings ${slots}`);
  }
  return success(value.modRevision);
}

function parseValue<T>(schema: ZodType<T>, value: StoredValue): Result<T, string> {
  let json: unknown;
  try {
    json = JSON.parse(value.value);
  } catch {
    return failure(`${value.key} is not JSON`);
  }
  const parsed = schema.safeParse(json);
  if (!parsed.success) {
    return failure(`${value.key}: ${parsed.error.issues[0]?.message ?? 'malformed'}`);
  }
  return success(parsed.data);
}
