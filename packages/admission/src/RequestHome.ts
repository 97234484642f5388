import type {
  AttemptNumber,
  GenerationHomeRecord,
  MemberId,
  RequestId,
  TeamId,
} from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';

/** Location of a request's generation, and the router that recorded it. */
export interface HomeRecord extends GenerationHomeRecord {
  readonly routerId: MemberId;
}

/** A router's request to take over a generation from another router. */
export interface HomeTakeOverRequest {
  readonly bodyHash: string;
  readonly requestId: RequestId;
  readonly routerId: MemberId;
  readonly teamId: TeamId;
}

/** Result of recording an attempt. `attempt` is the highest attempt on record. */
export interface HomeRecordResult {
  readonly accepted: boolean;
  readonly attempt: AttemptNumber;
}

/** Result of a takeover. */
export type HomeTakeOverResult =
  | { readonly outcome: 'found'; readonly record: HomeRecord }
  | { readonly outcome: 'otherBody' }
  | { readonly outcome: 'otherTeam' }
  | { readonly outcome: 'unknown' };

/** Options of {@link RequestHome}. */
export interface RequestHomeOptions {
  /** A record is removed when it has not changed for this time. */
  readonly maxAgeMs?: number;
  /** Maximum length of all stored prompts together. The oldest records are evicted first. */
  readonly maxPromptCharacters?: number;
  /** Maximum number of records. The oldest records are evicted first. */
  readonly maxRecords?: number;
}

interface StoredRecord {
  readonly record: HomeRecord;
  readonly storedMs: number;
}

const DEFAULT_MAX_AGE_MS = 15 * 60_000;
const DEFAULT_MAX_PROMPT_CHARACTERS = 32 * 1024 * 1024;
const DEFAULT_MAX_RECORDS = 20_000;

/**
 * Stores records of running generations, so that another router can continue a request whose router
 * failed. The homes of a request are the schedulers that store its record.
 *
 * Attempt numbers of a request only increase, and they act as fencing tokens: a takeover assigns
 * attempt n + 1 to one router, and routers with earlier attempts are refused here and at the engine,
 * which ends streams of lower attempts.
 *
 * A request has several homes, which can disagree if one of them missed a record or was restarted. A
 * router uses the reply with the highest attempt and records it at all homes, after which they
 * agree. Two routers that reached different homes may both hold attempt n + 1. The engine accepts
 * each attempt number for one start only, so the second router is refused there and takes over again.
 */
export class RequestHome {
  private readonly maxAgeMs: number;
  private readonly maxPromptCharacters: number;
  private readonly maxRecords: number;
  private promptCharacters = 0;
  /** Records by team and request, least recently changed first. */
  private readonly records = new Map<string, StoredRecord>();
  /** Number of teams that have a record under a request id. */
  private readonly teamCountByRequest = new Map<RequestId, number>();

  constructor(options: RequestHomeOptions = {}) {
    this.maxAgeMs = options.maxAgeMs ?? DEFAULT_MAX_AGE_MS;
    this.maxPromptCharacters = options.maxPromptCharacters ?? DEFAULT_MAX_PROMPT_CHARACTERS;
    this.maxRecords = options.maxRecords ?? DEFAULT_MAX_RECORDS;
  }

  /** Number of stored records. */
  size(): number {
    return this.records.size;
  }

  /** Removes the record of a request, unless a higher attempt than the given one is on record. */
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
   * @param record - the attempt, its engine and the tokens delivered so far
   * @param nowMs - the current time
   * @returns the result; a lower attempt, the same attempt of another router and a request with a
   *   different body are not accepted
   */
  record(record: HomeRecord, nowMs: number): HomeRecordResult {
    this.removeExpired(nowMs);
    const key = keyOf(record.teamId, record.requestId);
    const known = this.records.get(key)?.record;
    if (known && !mayReplace(known, record)) {
      return { accepted: false, attempt: known.attempt };
    }
    this.store(key, withMaxDeliveredIndex(record, known), nowMs);
    this.evictExcess();
    return { accepted: true, attempt: record.attempt };
  }

  /**
   * Assigns a request to another router under the next attempt number.
   *
   * @param takeOver - the router that takes over, and the request
   * @param nowMs - the current time
   * @returns the record with its new attempt, or the reason why the takeover was refused
   */
  takeOver(takeOver: HomeTakeOverRequest, nowMs: number): HomeTakeOverResult {
    this.removeExpired(nowMs);
    const key = keyOf(takeOver.teamId, takeOver.requestId);
    const known = this.records.get(key)?.record;
    if (!known) {
      return { outcome: this.teamCountByRequest.has(takeOver.requestId) ? 'otherTeam' : 'unknown' };
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
    const stored = this.records.get(key);
    if (!stored) {
      return;
    }
    this.records.delete(key);
    this.promptCharacters -= stored.record.prompt.length;
    const { requestId } = stored.record;
    const teamCount = (this.teamCountByRequest.get(requestId) ?? 1) - 1;
    if (teamCount === 0) {
      this.teamCountByRequest.delete(requestId);
      return;
    }
    this.teamCountByRequest.set(requestId, teamCount);
  }

  private evictExcess(): void {
    for (const key of this.records.keys()) {
      const tooMany = this.records.size > this.maxRecords;
      if (!tooMany && this.promptCharacters <= this.maxPromptCharacters) {
        return;
      }
      this.remove(key);
    }
  }

  private removeExpired(nowMs: number): void {
    for (const [key, stored] of this.records) {
      if (nowMs - stored.storedMs < this.maxAgeMs) {
        return;
      }
      this.remove(key);
    }
  }

  private store(key: string, record: HomeRecord, nowMs: number): void {
    this.remove(key);
    this.records.set(key, { record, storedMs: nowMs });
    this.promptCharacters += record.prompt.length;
    const teamCount = this.teamCountByRequest.get(record.requestId) ?? 0;
    this.teamCountByRequest.set(record.requestId, teamCount + 1);
  }
}

function keyOf(teamId: TeamId, requestId: RequestId): string {
  return `${teamId}/${requestId}`;
}

/** Whether a record may replace the known one of the same request. */
function mayReplace(known: HomeRecord, next: HomeRecord): boolean {
  if (known.bodyHash !== next.bodyHash) {
    return false;
  }
  if (next.attempt === known.attempt) {
    return next.routerId === known.routerId;
  }
  return next.attempt > known.attempt;
}

/** Keeps the delivered index of a generation from decreasing. */
function withMaxDeliveredIndex(record: HomeRecord, known: HomeRecord | undefined): HomeRecord {
  if (known?.generationId !== record.generationId) {
    return record;
  }
  const deliveredIndex = Math.max(record.deliveredIndex, known.deliveredIndex);
  return { ...record, deliveredIndex };
}
