import type {
  ConfigDocument,
  ConfigurationSnapshot,
  ContractInForce,
  DocumentProblem,
} from '@laburnumgap/contracts';
import { CONFIG_PREFIX, parseConfigDocument } from '@laburnumgap/contracts';
import type { Revision, TeamId } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';

/** A document as the store or a peer gives it. Without a value the key was deleted. */
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
  /** Order in which this process applied it. */
  readonly sequence: number;
  readonly value: string;
}

/** A document that was kept out. */
export interface RejectedChange {
  readonly key: string;
  readonly modRevision: Revision;
  readonly problems: readonly DocumentProblem[];
}

/** What became of a batch of changes. */
export interface ApplyOutcome {
  readonly applied: readonly ConfigEntryInForce[];
  readonly rejected: readonly RejectedChange[];
  /** Changes that were not newer than what is in force. */
  readonly staleChanges: number;
}

const NO_REVISION = toNumberId<Revision>(0);

/**
 * The configuration of one daemon: the newest valid document of each key. A document replaces
 * another of its key only under a higher revision, wherever it came from, so that a lagging read
 * never wins. Content that fails its check is kept out and the previous document stays in force.
 */
export class ConfigState {
  private completeTo = NO_REVISION;
  private readonly entries = new Map<string, ConfigEntryInForce>();
  private highest = NO_REVISION;
  private readonly rejectedRevisions = new Map<string, Revision>();
  private sequence = 0;
  private view: ConfigurationSnapshot = emptySnapshot();

  /** Every document up to this revision is known here. */
  get completeRevision(): Revision {
    return this.completeTo;
  }

  /** Sequence number of the document applied last. */
  get lastSequence(): number {
    return this.sequence;
  }

  /** Keys whose only content seen was kept out, so that nothing is in force for them. */
  get missingKeys(): readonly string[] {
    return [...this.rejectedRevisions.keys()].filter((key) => !this.entries.has(key));
  }

  /** Immutable view of what is in force. */
  get snapshot(): ConfigurationSnapshot {
    return this.view;
  }

  /**
   * Applies changes in any order.
   *
   * @param changes - documents from the store or a peer
   * @returns what was applied and what was kept out
   */
  apply(changes: readonly ConfigChange[]): ApplyOutcome {
    const applied: ConfigEntryInForce[] = [];
    const rejected: RejectedChange[] = [];
    for (const change of changes) {
      const outcome = this.applyOne(change);
      if (outcome?.kind === 'applied') {
        applied.push(outcome.entry);
      }
      if (outcome?.kind === 'rejected') {
        rejected.push(outcome.rejected);
      }
    }
    if (applied.length > 0) {
      this.view = this.buildSnapshot();
    }
    const staleChanges = changes.length - applied.length - rejected.length;
    return { applied, rejected, staleChanges };
  }

  /** Documents in force that were applied after a sequence number, oldest revision first. */
  appliedAfter(sequence: number): readonly ConfigEntryInForce[] {
    return this.sorted((entry) => entry.sequence > sequence);
  }

  /** Documents in force with a higher revision, oldest first. */
  documentsAfter(revision: Revision): readonly ConfigEntryInForce[] {
    return this.sorted((entry) => entry.modRevision > revision);
  }

  /** Notes that every document up to a revision has been given to {@link apply}. */
  markComplete(revision: Revision): void {
    this.completeTo = maxRevision(this.completeTo, revision);
  }

  private applyOne(change: ConfigChange): OneOutcome | undefined {
    const known = this.entries.get(change.key)?.modRevision ?? NO_REVISION;
    const refused = this.rejectedRevisions.get(change.key) ?? NO_REVISION;
    if (change.modRevision <= known || change.modRevision === refused) {
      return undefined;
    }
    const parsed = checkChange(change);
    if (!parsed.ok && change.modRevision < refused) {
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
    this.highest = maxRevision(this.highest, change.modRevision);
    if (change.modRevision > refused) {
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
    return Object.freeze({ contracts, revision: this.highest, stops: Object.freeze(stops) });
  }

  private sorted(wanted: (entry: ConfigEntryInForce) => boolean): readonly ConfigEntryInForce[] {
    return [...this.entries.values()]
      .filter(wanted)
      .sort((a, b) => a.modRevision - b.modRevision || (a.key < b.key ? -1 : 1));
  }
}

type OneOutcome =
  | { readonly entry: ConfigEntryInForce; readonly kind: 'applied' }
  | { readonly kind: 'rejected'; readonly rejected: RejectedChange };

type CheckedChange =
  | { readonly document: ConfigDocument; readonly ok: true; readonly value: string }
  | { readonly ok: false; readonly problems: readonly DocumentProblem[] };

function checkChange(change: ConfigChange): CheckedChange {
  const { key, modRevision, value } = change;
  if (!key.startsWith(CONFIG_PREFIX) || !Number.isSafeInteger(modRevision) || modRevision < 1) {
    return refuse(key, `expected a key under ${CONFIG_PREFIX} with a positive revision`);
  }
  if (value === undefined) {
    return refuse(key, 'expected a tombstone in place of a deleted key');
  }
  const parsed = parseConfigDocument(key, value);
  return parsed.ok
    ? { document: parsed.value, ok: true, value }
    : { ok: false, problems: parsed.error };
}

function refuse(file: string, message: string): CheckedChange {
  return { ok: false, problems: [{ file, line: 0, message, path: '' }] };
}

function emptySnapshot(): ConfigurationSnapshot {
  return Object.freeze({ contracts: new Map(), revision: NO_REVISION, stops: Object.freeze([]) });
}

function maxRevision(a: Revision, b: Revision): Revision {
  return a > b ? a : b;
}
