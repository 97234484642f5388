import type {
  Revision,
  RevisionGuard,
  SlotNumber,
  StoreCommit,
  StoreWrite,
} from '@laburnumgap/kernel';
import type { ClaimJournal, ClaimSegment } from './ClaimJournal.js';
import { claimRecordEpochMs, maxKeyEpochMsOf } from './ClaimJournal.js';
import { CLAIM_LAYOUT_KEY, claimHeadKey, claimSegmentKey } from './ClaimJournalKeys.js';
import type { ClaimHead, ClaimJournalEntry } from './ClaimJournalSchema.js';
import { CLAIM_JOURNAL_FORMAT } from './ClaimJournalSchema.js';
import type { ClaimRecord } from './ClaimRecord.js';
import type { ClaimSettings } from './ClaimSettings.js';

/** Options of {@link planClaimCommit}. */
export interface ClaimCommitOptions {
  readonly entries: readonly ClaimJournalEntry[];
  readonly journal: ClaimJournal;
  readonly nowEpochMs: number;
  readonly settings: ClaimSettings;
  readonly slot: SlotNumber;
  readonly writer: string;
}

/** A commit and what the journal is once it was made. */
export interface PlannedClaimCommit {
  readonly commit: StoreCommit;
  readonly head: ClaimHead;
  readonly openEntries: readonly ClaimJournalEntry[];
  readonly segments: readonly ClaimSegment[];
}

/** Deletions in one commit; the store bounds the writes of a commit. */
const MAX_DELETIONS_PER_COMMIT = 64;

/**
 * Plans the commit that appends entries to a journal and deletes its expired segments.
 *
 * @param options - the journal, the entries and the time
 * @returns the commit and its effect
 */
export function planClaimCommit(options: ClaimCommitOptions): PlannedClaimCommit {
  const { entries, journal, settings, slot, writer } = options;
  const expired = expiredSegments(options);
  const kept = journal.segments.slice(expired.length);
  const open = kept.at(-1);
  const extendsOpen = open !== undefined && hasRoom(journal.openEntries, entries, settings);
  const openEntries = extendsOpen ? [...journal.openEntries, ...entries] : entries;
  const number = extendsOpen ? open.number : journal.head.nextSegment;
  const last: ClaimSegment = { maxKeyEpochMs: maxKeyEpochMsOf(openEntries), number };
  const segments = [...(extendsOpen ? kept.slice(0, -1) : kept), last];
  const head: ClaimHead = {
    firstSegment: segments[0]?.number ?? number,
    format: CLAIM_JOURNAL_FORMAT,
    nextSegment: number + 1,
    prunedKeyEpochMs: expired.reduce(
      (max, segment) => Math.max(max, segment.maxKeyEpochMs),
      journal.head.prunedKeyEpochMs,
    ),
    sequence: journal.head.sequence + 1,
    writer,
  };
  const writes: StoreWrite[] = [
    putJson(claimHeadKey(slot), head),
    { key: claimSegmentKey(slot, number), kind: 'put', value: encodeSegment(openEntries) },
    ...expired.map((segment): StoreWrite => {
      return { key: claimSegmentKey(slot, segment.number), kind: 'delete' };
    }),
  ];
  if (journal.layoutRevision === 0) {
    const layout = { format: CLAIM_JOURNAL_FORMAT, slots: settings.slots };
    writes.push(putJson(CLAIM_LAYOUT_KEY, layout));
  }
  return { commit: { guards: guardsOf(journal, slot), writes }, head, openEntries, segments };
}

/**
 * Gives the journal after a commit.
 *
 * @param journal - the journal before it
 * @param planned - the commit that was made
 * @param records - records that it changed
 * @param revision - revision of the commit
 * @returns the journal after it
 */
export function applyClaimCommit(
  journal: ClaimJournal,
  planned: PlannedClaimCommit,
  records: ReadonlyMap<string, ClaimRecord>,
  revision: Revision,
): ClaimJournal {
  for (const [name, record] of records) {
    journal.records.set(name, record);
  }
  const { head, openEntries, segments } = planned;
  if (head.prunedKeyEpochMs > journal.head.prunedKeyEpochMs) {
    dropRecords(journal.records, head.prunedKeyEpochMs);
  }
  return {
    head,
    headRevision: revision,
    layoutRevision: journal.layoutRevision === 0 ? revision : journal.layoutRevision,
    openEntries,
    records: journal.records,
    segments,
  };
}

/**
 * Measures an entry as stored.
 *
 * @param entry - the entry
 * @returns its size with a separator
 */
export function claimEntryBytes(entry: ClaimJournalEntry): number {
  return Buffer.byteLength(JSON.stringify(entry)) + 1;
}

function expiredSegments(options: ClaimCommitOptions): readonly ClaimSegment[] {
  const { journal, nowEpochMs, settings } = options;
  const keepAfterMs = nowEpochMs - settings.retentionMs - settings.clockAllowanceMs;
  const firstKept = journal.segments.findIndex((segment) => segment.maxKeyEpochMs >= keepAfterMs);
  const count = firstKept < 0 ? journal.segments.length : firstKept;
  return journal.segments.slice(0, Math.min(count, MAX_DELETIONS_PER_COMMIT));
}

function hasRoom(
  open: readonly ClaimJournalEntry[],
  entries: readonly ClaimJournalEntry[],
  settings: ClaimSettings,
): boolean {
  const openBytes = Buffer.byteLength(encodeSegment(open));
  const addedBytes = entries.reduce((sum, entry) => sum + claimEntryBytes(entry), 0);
  return (
    openBytes < settings.segmentFillBytes && openBytes + addedBytes <= settings.segmentMaxBytes
  );
}

function guardsOf(journal: ClaimJournal, slot: SlotNumber): readonly RevisionGuard[] {
  return [
    { key: claimHeadKey(slot), modRevision: journal.headRevision },
    { key: CLAIM_LAYOUT_KEY, modRevision: journal.layoutRevision },
  ];
}

/** Records are in the order of their first entry: the rest waits behind one that is still kept. */
function dropRecords(records: Map<string, ClaimRecord>, prunedKeyEpochMs: number): void {
  for (const name of records.keys()) {
    if (claimRecordEpochMs(name) > prunedKeyEpochMs) {
      return;
    }
    records.delete(name);
  }
}

function encodeSegment(entries: readonly ClaimJournalEntry[]): string {
  return JSON.stringify({ entries, format: CLAIM_JOURNAL_FORMAT });
}

function putJson(key: string, value: object): StoreWrite {
  return { key, kind: 'put', value: JSON.stringify(value) };
}
