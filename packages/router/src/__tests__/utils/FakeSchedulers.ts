import type {
  AttemptNumber,
  GenerationHomeRecord,
  RequestId,
  Result,
  TeamId,
} from '@laburnumgap/kernel';
import { failure, refusal, success, toNumberId } from '@laburnumgap/kernel';
import type { RouteEstimate } from '@laburnumgap/routing';
import type {
  AdmissionEvent,
  AdmissionPort,
  AdmissionRequest,
  EstimateQuery,
  HomeRecordOutcome,
  HomeTakeOverOutcome,
  HomeTakeOverRequest,
  HomesUnreachable,
  ProgressReport,
  RequestHomesPort,
  Reservation,
} from '../../RouterPorts.js';

/** Admission that grants at once unless told otherwise; counts what is held. */
export class FakeAdmission implements AdmissionPort {
  readonly admitted: AdmissionRequest[] = [];
  readonly held = new Map<AdmissionRequest, (event: AdmissionEvent) => void>();
  /** Events for the next admissions; a grant when empty. */
  readonly planned: AdmissionEvent[] = [];
  refuseAll = false;
  readonly reports: ProgressReport[] = [];
  silent = false;

  constructor(private readonly urlOf: (engineId: string) => string) {}

  admit(request: AdmissionRequest, onEvent: (event: AdmissionEvent) => void): Reservation {
    this.admitted.push(request);
    this.held.set(request, onEvent);
    if (!this.silent) {
      queueMicrotask(() => {
        onEvent(this.answer(request));
      });
    }
    return {
      release: () => {
        this.held.delete(request);
      },
    };
  }

  async estimate(query: EstimateQuery): Promise<readonly RouteEstimate[]> {
    await Promise.resolve();
    return query.engineIds.map((engineId) => ({
      acceptsWork: true,
      cachedPrefixTokens: 0,
      engineId,
      waitMs: 0,
    }));
  }

  /** Orders every running generation to be moved. */
  preemptAll(): void {
    for (const onEvent of [...this.held.values()]) {
      onEvent({ kind: 'preempt', reason: 'memory' });
    }
  }

  reportProgress(reports: readonly ProgressReport[]): void {
    this.reports.push(...reports);
  }

  private answer(request: AdmissionRequest): AdmissionEvent {
    const planned = this.planned.shift();
    if (planned) {
      return planned;
    }
    if (this.refuseAll) {
      return { kind: 'refused', refusal: refusal('QUEUE_WAIT_TOO_LONG', 'full', 700) };
    }
    const engineUrl = this.urlOf(request.engineId);
    return { enginePriority: 1, engineUrl, kind: 'granted', waitedMs: 0 };
  }
}

interface KeptRecord {
  readonly record: GenerationHomeRecord;
  readonly routerId: string;
}

/** Homes that all routers of a test share. */
export class FakeHomes {
  reachable = true;
  readonly records = new Map<string, KeptRecord>();

  /** The port of one router. */
  portOf(routerId: string): RequestHomesPort {
    return {
      forget: (teamId, requestId, attempt) => {
        this.forget(teamId, requestId, attempt);
      },
      record: async (record) => {
        await Promise.resolve();
        return this.record(record, routerId);
      },
      takeOver: async (takeOver) => {
        await Promise.resolve();
        return this.takeOver(takeOver, routerId);
      },
      version: () => 0,
    };
  }

  private forget(teamId: TeamId, requestId: RequestId, attempt: AttemptNumber): void {
    const kept = this.records.get(requestId);
    if (kept?.record.teamId === teamId && kept.record.attempt <= attempt) {
      this.records.delete(requestId);
    }
  }

  private record(record: GenerationHomeRecord, routerId: string): HomeRecordOutcome {
    if (!this.reachable) {
      return 'unreachable';
    }
    const kept = this.records.get(record.requestId);
    const newer = kept && kept.record.attempt > record.attempt;
    const other = kept?.record.attempt === record.attempt && kept.routerId !== routerId;
    if (newer === true || other) {
      return 'superseded';
    }
    this.records.set(record.requestId, { record, routerId });
    return 'recorded';
  }

  private takeOver(
    takeOver: HomeTakeOverRequest,
    routerId: string,
  ): Result<HomeTakeOverOutcome, HomesUnreachable> {
    if (!this.reachable) {
      return failure({ kind: 'homesUnreachable' });
    }
    const kept = this.records.get(takeOver.requestId);
    if (!kept) {
      return success({ outcome: 'unknown' });
    }
    if (kept.record.teamId !== takeOver.teamId) {
      return success({ outcome: 'otherTeam' });
    }
    if (kept.record.bodyHash !== takeOver.bodyHash) {
      return success({ outcome: 'otherBody' });
    }
    const attempt = toNumberId<AttemptNumber>(kept.record.attempt + 1);
    const record = { ...kept.record, attempt };
    this.records.set(takeOver.requestId, { record, routerId });
    return success({ outcome: 'found', record });
  }
}
