import type {
  ConfigDocument,
  ConfigurationSnapshot,
  ContractInForce,
  DocumentProblem,
} from '@laburnumgap/contracts';
import { CONFIG_PREFIX, parseConfigDocument } from '@laburnumgap/contracts';
import type { Revision, TeamId } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';

/** A document received from the store or a peer; no value means that the key was deleted. */
export interface ConfigChange {
  readonly key: string;
  readonly modRevision: Revision;
  readonly value?: string;
}

/** A document that is in force. */
export interface ConfigEntryInForce {
  readonly document: ConfigDocument;
  readonly key: string;
  readonly modRevision: Revision;
  /** Position in the order in which this process applied documents. */
  readonly sequence: number;
  readonly value: string;
}

/** A change that failed validation. */
export interface RejectedChange {
  readonly key: string;
  readonly modRevision: Revision;
  readonly problems: readonly DocumentProblem[];
}

/** Result of applying a batch of changes. */
export interface ApplyOutcome {
  readonly applied: readonly ConfigEntryInForce[];
  readonly rejected: readonly RejectedChange[];
  /** Number of changes that were ignored because a newer or equal revision was already known. */
  readonly staleChangeCount: number;
}

const NO_REVISION = toNumberId<Revision>(0);

/**
 * The configuration of one daemon: the newest valid document of each key. A document replaces
 * another of the same key only if its revision is higher, whatever its source, so that a stale read
 * never overwrites a newer document. A document that fails validation is rejected and the previous
 * one stays in force.
 */
export class ConfigState {
  private completeUpTo = NO_REVISION;
  private currentSnapshot: ConfigurationSnapshot = emptySnapshot();
  private readonly entries = new Map<string, ConfigEntryInForce>();
  private highestRevision = NO_REVISION;
  private readonly rejectedRevisions = new Map<string, Revision>();
  private sequence = 0;

  /** Every document up to this revision has been received. */
  get completeRevision(): Revision {
    return this.completeUpTo;
  }

  /** Sequence number of the document applied last. */
  get lastSequence(): number {
    return this.sequence;
  }

  /** Keys with nothing in force because every document received for them was rejected. */
  get missingKeys(): readonly string[] {
    return [...this.rejectedRevisions.keys()].filter((key) => !this.entries.has(key));
  }

  /** Immutable snapshot of the documents in force. */
  get snapshot(): ConfigurationSnapshot {
    return this.currentSnapshot;
  }

  /**
   * Applies changes; their order does not matter.
   *
   * @param changes - documents from the store or a peer
   * @returns the applied documents and the rejected changes
   */
  apply(changes: readonly ConfigChange[]): ApplyOutcome {
    const applied: ConfigEntryInForce[] = [];
    const rejected: RejectedChange[] = [];
    for (const change of changes) {
      const outcome = this.applyChange(change);
      if (outcome?.kind === 'applied') {
        applied.push(outcome.entry);
      }
      if (outcome?.kind === 'rejected') {
        rejected.push(outcome.rejected);
      }
    }
    if (applied.length > 0) {
      this.currentSnapshot = this.buildSnapshot();
    }
    const staleChanges = changes.length - applied.length - rejected.length;
    return { applied, rejected, staleChangeCount: staleChanges };
  }

  /** Documents in force that were applied after a sequence number, in order of revision. */
  entriesAppliedAfter(sequence: number): readonly ConfigEntryInForce[] {
    return this.sortedEntries((entry) => entry.sequence > sequence);
  }

  /** Documents in force with a higher revision, in order of revision. */
  entriesAfterRevision(revision: Revision): readonly ConfigEntryInForce[] {
    return this.sortedEntries((entry) => entry.modRevision > revision);
  }

  /** Records that every document up to a revision has been passed to {@link apply}. */
  markComplete(revision: Revision): void {
    this.completeUpTo = maxRevision(this.completeUpTo, revision);
  }

  private applyChange(change: ConfigChange): ChangeOutcome | undefined {
    const currentRevision = this.entries.get(change.key)?.modRevision ?? NO_REVISION;
    const rejectedRevision = this.rejectedRevisions.get(change.key) ?? NO_REVISION;
    if (change.modRevision <= currentRevision || change.modRevision === rejectedRevision) {
      return undefined;
    }
    const parsed = validateChange(change);
    if (!parsed.ok && change.modRevision < rejectedRevision) {
      return undefined;
    }
    if (!parsed.ok) {
      this.rejectedRevisions.set(change.key, change.modRevision);
      const { key, modRevision } = change;
      return { kind: 'rejected', rejected: { key, modRevision, problems: parsed.problems } };
    }
    this.sequence += 1;
    const entry: ConfigEntryInForce = {
      document: parsed.document,
      key: change.key,
      modRevision: change.modRevision,
      sequence: this.sequence,
      value: parsed.value,
    };
    this.entries.set(change.key, entry);
    this.highestRevision = maxRevision(this.highestRevision, change.modRevision);
    if (change.modRevision > rejectedRevision) {
      this.rejectedRevisions.delete(change.key);
    }
    return { entry, kind: 'applied' };
  }

  private buildSnapshot(): ConfigurationSnapshot {
    const contracts = new Map<TeamId, ContractInForce>();
    const stops = [];
    for (const { document, modRevision } of this.entries.values()) {
      if (document.kind === 'contract') {
        const { contract } = document;
        contracts.set(toId<TeamId>(contract.team), { contract, revision: modRevision });
      }
      if (document.kind === 'stop') {
        stops.push(document.stop);
      }
    }
    stops.sort((a, b) => (a.id < b.id ? -1 : 1));
    return Object.freeze({
      contracts,
      revision: this.highestRevision,
      stops: Object.freeze(stops),
    });
  }

  private sortedEntries(
    predicate: (entry: ConfigEntryInForce) => boolean,
  ): readonly ConfigEntryInForce[] {
    return [...this.entries.values()]
      .filter(predicate)
      .sort((a, b) => a.modRevision - b.modRevision || (a.key < b.key ? -1 : 1));
  }
}

type ChangeOutcome =
  | { readonly entry: ConfigEntryInForce; readonly kind: 'applied' }
  | { readonly kind: 'rejected'; readonly rejected: RejectedChange };

type ValidatedChange =
  | { readonly document: ConfigDocument; readonly ok: true; readonly value: string }
  | { readonly ok: false; readonly problems: readonly DocumentProblem[] };

function validateChange(change: ConfigChange): ValidatedChange {
  const { key, modRevision, value } = change;
  if (!key.startsWith(CONFIG_PREFIX) || !Number.isSafeInteger(modRevision) || modRevision < 1) {
    return invalidChange(key, `expected a key under ${CONFIG_PREFIX} with a positive revision`);
  }
  if (value === undefined) {
    return invalidChange(key, 'expected a tombstone in place of a deleted key');
  }
  const parsed = parseConfigDocument(key, value);
  return parsed.ok
    ? { document: parsed.value, ok: true, value }
    : { ok: false, problems: parsed.error };
}

function invalidChange(file: string, message: string): ValidatedChange {
  return { ok: false, problems: [{ file, line: 0, message, path: '' }] };
}

function emptySnapshot(): ConfigurationSnapshot {
  return Object.freeze({ contracts: new Map(), revision: NO_REVISION, stops: Object.freeze([]) });
}

function maxRevision(a: Revision, b: Revision): Revision {
  return a > b ? a : b;
}
