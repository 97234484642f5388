import type {
  AttemptNumber,
  GenerationHomeRecord,
  MemberId,
  RequestId,
  TeamId,
} from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';

/** Where a request's generation runs, and the router that recorded it. */
export interface HomeRecord extends GenerationHomeRecord {
  readonly routerId: MemberId;
}

/** A router that wants to go on with a request. */
export interface HomeTakeOver {
  readonly bodyHash: string;
  readonly requestId: RequestId;
  readonly routerId: MemberId;
  readonly teamId: TeamId;
}

/** Answer to a record: `attempt` is the highest one on record. */
export interface HomeRecorded {
  readonly accepted: boolean;
  readonly attempt: AttemptNumber;
}

/** Answer to a takeover. */
export type HomeTakenOver =
  | { readonly outcome: 'found'; readonly record: HomeRecord }
  | { readonly outcome: 'otherBody' }
  | { readonly outcome: 'otherTeam' }
  | { readonly outcome: 'unknown' };

/** Bounds of a request home. */
export interface RequestHomeOptions {
  readonly maxAgeMs?: number;
  readonly maxPromptCharacters?: number;
  readonly maxRecords?: number;
}

interface KeptRecord {
  readonly record: HomeRecord;
  readonly storedMs: number;
}

const DEFAULT_MAX_AGE_MS = 15 * 60_000;
const DEFAULT_MAX_PROMPT_CHARACTERS = 32 * 1024 * 1024;
const DEFAULT_MAX_RECORDS = 20_000;

/**
 * Records of running generations, so that another router can go on when the first one is gone.
 *
 * Attempt numbers of a request only go up, and a takeover hands attempt n + 1 to one router: every
 * earlier holder is refused here and at the engine, which ends streams of lower attempts. A request
 * has several homes. They can disagree, when one of them missed a record or was restarted: a router
 * takes the answer with the highest attempt and records it at all, after which they agree. Two
 * routers that reached different homes may both hold attempt n + 1. The engine accepts an attempt
 * number for one start only, so the second one is refused there and takes over once more.
 */
export class RequestHome {
  private readonly maxAgeMs: number;
  private readonly maxPromptCharacters: number;
  private readonly maxRecords: number;
  private promptCharacters = 0;
  /** In order of their last change, oldest first. */
  private readonly records = new Map<string, KeptRecord>();
  /** How many teams have a record under a request id. */
  private readonly teamsOfRequest = new Map<RequestId, number>();

  constructor(options: RequestHomeOptions = {}) {
    this.maxAgeMs = options.maxAgeMs ?? DEFAULT_MAX_AGE_MS;
    this.maxPromptCharacters = options.maxPromptCharacters ?? DEFAULT_MAX_PROMPT_CHARACTERS;
    this.maxRecords = options.maxRecords ?? DEFAULT_MAX_RECORDS;
  }

  /** Number of records kept. */
  size(): number {
    return this.records.size;
  }

  /** Forgets a request, unless a higher attempt than the caller's is on record. */
  forget(teamId: TeamId, requestId: RequestId, attempt: AttemptNumber): void {
    const key = keyOf(teamId, requestId);
    const known = this.records.get(key);
    if (known && known.record.attempt <= attempt) {
      this.remove(key);
    }
  }

  /**
   * Records an attempt.
   *
   * @param record - the attempt, its place and how far it was delivered
   * @param nowMs - the time
   * @returns refused for a lower attempt, the same attempt of another router, or another body
   */
  record(record: HomeRecord, nowMs: number): HomeRecorded {
    this.removeOld(nowMs);
    const key = keyOf(record.teamId, record.requestId);
    const known = this.records.get(key)?.record;
    if (known && !follows(known, record)) {
      return { accepted: false, attempt: known.attempt };
    }
    this.store(key, withDelivered(record, known), nowMs);
    this.removeExcess();
    return { accepted: true, attempt: record.attempt };
  }

  /**
   * Hands a request to another router under the next attempt number.
   *
   * @param takeOver - who asks, for which request
   * @param nowMs - the time
   * @returns the record under its new attempt, or why there is none
   */
  takeOver(takeOver: HomeTakeOver, nowMs: number): HomeTakenOver {
    this.removeOld(nowMs);
    const key = keyOf(takeOver.teamId, takeOver.requestId);
    const known = this.records.get(key)?.record;
    if (!known) {
      return { outcome: this.teamsOfRequest.has(takeOver.requestId) ? 'otherTeam' : 'unknown' };
    }
    if (known.bodyHash !== takeOver.bodyHash) {
      return { outcome: 'otherBody' };
    }
    const record: HomeRecord = {
      ...known,
      attempt: toNumberId<AttemptNumber>(known.attempt + 1),
      routerId: takeOver.routerId,
    };
    this.store(key, record, nowMs);
    return { outcome: 'found', record };
  }

  private remove(key: string): void {
    const kept = this.records.get(key);
    if (!kept) {
      return;
    }
    this.records.delete(key);
    this.promptCharacters -= kept.record.prompt.length;
    const { requestId } = kept.record;
    const teams = (this.teamsOfRequest.get(requestId) ?? 1) - 1;
    if (teams === 0) {
      this.teamsOfRequest.delete(requestId);
      return;
    }
    this.teamsOfRequest.set(requestId, teams);
  }

  private removeExcess(): void {
    for (const key of this.records.keys()) {
      const tooMany = this.records.size > this.maxRecords;
      if (!tooMany && this.promptCharacters <= this.maxPromptCharacters) {
        return;
      }
      this.remove(key);
    }
  }

  private removeOld(nowMs: number): void {
    for (const [key, kept] of this.records) {
      if (nowMs - kept.storedMs < this.maxAgeMs) {
        return;
      }
      this.remove(key);
    }
  }

  private store(key: string, record: HomeRecord, nowMs: number): void {
    this.remove(key);
    this.records.set(key, { record, storedMs: nowMs });
    this.promptCharacters += record.prompt.length;
    const teams = this.teamsOfRequest.get(record.requestId) ?? 0;
    this.teamsOfRequest.set(record.requestId, teams + 1);
  }
}

function keyOf(teamId: TeamId, requestId: RequestId): string {
  return `${teamId}/${requestId}`;
}

function follows(known: HomeRecord, next: HomeRecord): boolean {
  if (known.bodyHash !== next.bodyHash) {
    return false;
  }
  if (next.attempt === known.attempt) {
    return next.routerId === known.routerId;
  }
  return next.attempt > known.attempt;
}

function withDelivered(record: HomeRecord, known: HomeRecord | undefined): HomeRecord {
  if (known?.generationId !== record.generationId) {
    return record;
  }
  const deliveredIndex = Math.max(record.deliveredIndex, known.deliveredIndex);
  return { ...record, deliveredIndex };
}
