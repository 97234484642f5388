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

/** A commit and the state of the journal after it. */
export interface PlannedClaimCommit {
  readonly commit: StoreCommit;
  readonly head: ClaimHead;
  /** Entries of the open segment. */
  readonly openEntries: readonly ClaimJournalEntry[];
  readonly segments: readonly ClaimSegment[];
}

/** Most segments deleted by one commit, because the store limits the writes of a commit. */
const MAX_DELETIONS_PER_COMMIT = 64;

/**
 * Plans the commit that appends entries to a journal and deletes its expired segments. The open
 * segment is rewritten with the new entries while they fit; otherwise a new segment is opened.
 *
 * @param options - the journal, the entries and the time
 * @returns the commit and the state of the journal after it
 */
export function planClaimCommit(options: ClaimCommitOptions): PlannedClaimCommit {
  const { entries, journal, settings, slot, writer } = options;
  const expired = findExpiredSegments(options);
  const retained = journal.segments.slice(expired.length);
  const openSegment = retained.at(-1);
  const extendsOpenSegment =
    openSegment !== undefined && fitsOpenSegment(journal.openEntries, entries, settings);
  const openEntries = extendsOpenSegment ? [...journal.openEntries, ...entries] : entries;
  const openNumber = extendsOpenSegment ? openSegment.number : journal.head.nextSegment;
  const newOpenSegment: ClaimSegment = {
    maxKeyEpochMs: maxKeyEpochMsOf(openEntries),
    number: openNumber,
  };
  const segments = [...(extendsOpenSegment ? retained.slice(0, -1) : retained), newOpenSegment];
  const head: ClaimHead = {
    firstSegment: segments[0]?.number ?? openNumber,
    format: CLAIM_JOURNAL_FORMAT,
    nextSegment: openNumber + 1,
    prunedKeyEpochMs: expired.reduce(
      (max, segment) => Math.max(max, segment.maxKeyEpochMs),
      journal.head.prunedKeyEpochMs,
    ),
    sequence: journal.head.sequence + 1,
    writer,
  };
  const writes: StoreWrite[] = [
    putJson(claimHeadKey(slot), head),
    { key: claimSegmentKey(slot, openNumber), kind: 'put', value: encodeSegment(openEntries) },
    ...expired.map((segment): StoreWrite => {
      return { key: claimSegmentKey(slot, segment.number), kind: 'delete' };
    }),
  ];
  if (journal.layoutRevision === 0) {
    const layout = { format: CLAIM_JOURNAL_FORMAT, slots: settings.slots };
    writes.push(putJson(CLAIM_LAYOUT_KEY, layout));
  }
  return { commit: { guards: buildGuards(journal, slot), writes }, head, openEntries, segments };
}

/**
 * Applies a confirmed commit to the journal. The map of records is updated in place.
 *
 * @param journal - the journal before the commit
 * @param plannedCommit - the confirmed commit
 * @param changedRecords - records that it changed, by record name
 * @param revision - revision of the commit
 * @returns the journal after the commit
 */
export function applyClaimCommit(
  journal: ClaimJournal,
  plannedCommit: PlannedClaimCommit,
  changedRecords: ReadonlyMap<string, ClaimRecord>,
  revision: Revision,
): ClaimJournal {
  for (const [name, record] of changedRecords) {
    journal.records.set(name, record);
  }
  const { head, openEntries, segments } = plannedCommit;
  if (head.prunedKeyEpochMs > journal.head.prunedKeyEpochMs) {
    deletePrunedRecords(journal.records, head.prunedKeyEpochMs);
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
 * Computes the stored size of an entry.
 *
 * @param entry - the entry
 * @returns its size as JSON plus a separator, in bytes
 */
export function claimEntryBytes(entry: ClaimJournalEntry): number {
  return Buffer.byteLength(JSON.stringify(entry)) + 1;
}

/** Finds the leading segments whose keys are all past the retention window and clock allowance. */
function findExpiredSegments(options: ClaimCommitOptions): readonly ClaimSegment[] {
  const { journal, nowEpochMs, settings } = options;
  const oldestRetainedMs = nowEpochMs - settings.retentionMs - settings.clockAllowanceMs;
  const firstKept = journal.segments.findIndex(
    (segment) => segment.maxKeyEpochMs >= oldestRetainedMs,
  );
  const count = firstKept < 0 ? journal.segments.length : firstKept;
  return journal.segments.slice(0, Math.min(count, MAX_DELETIONS_PER_COMMIT));
}

function fitsOpenSegment(
  openEntries: readonly ClaimJournalEntry[],
  entries: readonly ClaimJournalEntry[],
  settings: ClaimSettings,
): boolean {
  const openBytes = Buffer.byteLength(encodeSegment(openEntries));
  const addedBytes = entries.reduce((sum, entry) => sum + claimEntryBytes(entry), 0);
  return (
    openBytes < settings.segmentFillBytes && openBytes + addedBytes <= settings.segmentMaxBytes
  );
}

function buildGuards(journal: ClaimJournal, slot: SlotNumber): readonly RevisionGuard[] {
  return [
    { key: claimHeadKey(slot), modRevision: journal.headRevision },
    { key: CLAIM_LAYOUT_KEY, modRevision: journal.layoutRevision },
  ];
}

/**
 * Deletes the oldest records up to the first one that is too new. Records are in the order of their
 * first entry, not of their key times, so a pruned record may stay until those before it are gone.
 */
function deletePrunedRecords(records: Map<string, ClaimRecord>, prunedKeyEpochMs: number): void {
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
