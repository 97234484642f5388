import type { FailureDomainId, Revision, StoreEra } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';

/** Begin or end of an evacuation, as one answer of the store states it. */
export interface EvacuationChange {
  readonly failureDomain: FailureDomainId;
  /** Whether the operator's key exists. */
  readonly isEvacuated: boolean;
  readonly revision: Revision;
}

/** Place of a change or of a listing in the history of the store. */
export interface EvacuationPosition {
  readonly era: StoreEra;
  readonly revision: Revision;
}

/** What is known of one failure domain, as of a position of the store. */
export interface EvacuationRecord extends EvacuationPosition {
  readonly failureDomain: FailureDomainId;
  readonly isEvacuated: boolean;
}

/** A change of what is known; `held` ones lack their key in a new era and end unless it returns. */
export interface EvacuationTransition {
  readonly kind: 'began' | 'ended' | 'held';
  readonly record: EvacuationRecord;
}

/**
 * How long a domain stays evacuated that the first listing of a new era lacks: a store that came back
 * from a copy may have lost the key, and the operator writes it again within this time.
 */
export const NEW_ERA_HOLD_MS = 2_000;

const FIRST_POSITION: EvacuationPosition = {
  era: toNumberId<StoreEra>(0),
  revision: toNumberId<Revision>(0),
};

/**
 * Evacuated failure domains. An evacuation and its end can follow each other within milliseconds and
 * reach a daemon from the store, from watchers and from heartbeats in any order, late or twice: the
 * record with the later position wins, also for ends. What a listing lacks had ended by its revision.
 */
export class DomainEvacuations {
  /** Until when records of earlier eras count, and are taken from other daemons. */
  private heldUntilMs = -Infinity;
  /** Position of the latest listing; no other record up to it is news. */
  private listedAt: EvacuationPosition = FIRST_POSITION;
  private readonly records = new Map<FailureDomainId, EvacuationRecord>();

  /**
   * Applies changes of one era.
   *
   * @param changes - in any order
   * @param era - era of their revisions
   * @param nowMs - monotonic time
   * @returns what changed
   */
  apply(
    changes: readonly EvacuationChange[],
    era: StoreEra,
    nowMs: number,
  ): readonly EvacuationTransition[] {
    return this.merge(evacuationRecords(changes, era), nowMs);
  }

  /**
   * Takes records of other daemons.
   *
   * @param records - in any order, also outdated ones
   * @param nowMs - monotonic time
   * @returns what changed
   */
  merge(records: readonly EvacuationRecord[], nowMs: number): readonly EvacuationTransition[] {
    return records.flatMap((record) => (this.isNews(record, nowMs) ? this.set(record) : []));
  }

  /**
   * Replaces what is known by a listing of all evacuations. In the first listing of a new era, domains
   * that it lacks stay evacuated for {@link NEW_ERA_HOLD_MS}.
   *
   * @param listed - records of the store, or all records of another daemon
   * @param position - position up to which the listing is complete
   * @param nowMs - monotonic time
   * @returns what changed; nothing but the listed records when a later listing is known
   */
  replace(
    listed: readonly EvacuationRecord[],
    position: EvacuationPosition,
    nowMs: number,
  ): readonly EvacuationTransition[] {
    if (isLater(this.listedAt, position)) {
      return this.merge(listed, nowMs);
    }
    const isNewEra = position.era > this.listedAt.era;
    if (isNewEra) {
      this.heldUntilMs = nowMs + NEW_ERA_HOLD_MS;
    }
    this.listedAt = position;
    const listedDomains = new Set(listed.map(({ failureDomain }) => failureDomain));
    const ended = [...this.records.values()].filter(
      (record) =>
        record.era === position.era &&
        !listedDomains.has(record.failureDomain) &&
        !isLater(record, position),
    );
    const transitions = [
      ...listed.flatMap((record) => (this.isListingNews(record, nowMs) ? this.set(record) : [])),
      ...ended.flatMap((record) => this.set({ ...record, ...position, isEvacuated: false })),
    ];
    const held = isNewEra ? this.evacuatedBeforeEra() : [];
    return [...transitions, ...held.map((record) => ({ kind: 'held' as const, record }))];
  }

  /**
   * Ends evacuations of earlier eras whose keys did not return in time. Called periodically.
   *
   * @param nowMs - monotonic time
   * @returns what changed
   */
  expire(nowMs: number): readonly EvacuationTransition[] {
    if (nowMs < this.heldUntilMs) {
      return [];
    }
    return this.evacuatedBeforeEra().flatMap((record) =>
      this.set({ ...record, ...this.listedAt, isEvacuated: false }),
    );
  }

  /** Whether nothing more may be sent to the servers of a failure domain. */
  isEvacuated(failureDomain: FailureDomainId): boolean {
    return this.records.get(failureDomain)?.isEvacuated ?? false;
  }

  /** Number of failure domains that are evacuated now. */
  evacuatedCount(): number {
    return [...this.records.values()].filter(({ isEvacuated }) => isEvacuated).length;
  }

  /** One record for each domain that ever was evacuated: those that are first, then the latest. */
  reports(): readonly EvacuationRecord[] {
    return [...this.records.values()].sort((a, b) => {
      if (a.isEvacuated !== b.isEvacuated) {
        return a.isEvacuated ? -1 : 1;
      }
      return isLater(a, b) ? -1 : 1;
    });
  }

  /** Evacuations that are known only from earlier eras. */
  private evacuatedBeforeEra(): readonly EvacuationRecord[] {
    return [...this.records.values()].filter(
      ({ era, isEvacuated }) => isEvacuated && era < this.listedAt.era,
    );
  }

  private isListingNews(record: EvacuationRecord, nowMs: number): boolean {
    return record.era === this.listedAt.era
      ? this.isLaterThanKnown(record)
      : this.isNews(record, nowMs);
  }

  private isNews(record: EvacuationRecord, nowMs: number): boolean {
    if (!this.isLaterThanKnown(record)) {
      return false;
    }
    const isInEarlierEra = record.era < this.listedAt.era;
    return isInEarlierEra ? nowMs < this.heldUntilMs : isLater(record, this.listedAt);
  }

  private isLaterThanKnown(record: EvacuationRecord): boolean {
    const known = this.records.get(record.failureDomain);
    return !known || isLater(record, known);
  }

  private set(record: EvacuationRecord): readonly EvacuationTransition[] {
    const { failureDomain, isEvacuated } = record;
    const wasEvacuated = this.isEvacuated(failureDomain);
    this.records.set(failureDomain, record);
    if (wasEvacuated === isEvacuated) {
      return [];
    }
    return [{ kind: isEvacuated ? 'began' : 'ended', record }];
  }
}

/**
 * Converts changes to records.
 *
 * @param changes - changes of one era
 * @param era - era of their revisions
 * @returns one record for each change
 */
export function evacuationRecords(
  changes: readonly EvacuationChange[],
  era: StoreEra,
): readonly EvacuationRecord[] {
  return changes.map((change) => ({ ...change, era }));
}

function isLater(position: EvacuationPosition, other: EvacuationPosition): boolean {
  return position.era === other.era ? position.revision > other.revision : position.era > other.era;
}
