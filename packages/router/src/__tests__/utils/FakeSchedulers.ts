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

/** Admission port that grants immediately unless configured otherwise; tracks open reservations. */
export class FakeAdmission implements AdmissionPort {
  readonly admitted: AdmissionRequest[] = [];
  isSilent = false;
  readonly openReservations = new Map<AdmissionRequest, (event: AdmissionEvent) => void>();
  /** Events that answer the next admissions; once empty, admissions are granted. */
  readonly plannedEvents: AdmissionEvent[] = [];
  refuseAll = false;
  readonly reports: ProgressReport[] = [];

  constructor(private readonly urlOf: (engineId: string) => string) {}

  admit(request: AdmissionRequest, onEvent: (event: AdmissionEvent) => void): Reservation {
    this.admitted.push(request);
    this.openReservations.set(request, onEvent);
    if (!this.isSilent) {
      queueMicrotask(() => {
        onEvent(this.nextEvent(request));
      });
    }
    return {
      release: () => {
        this.openReservations.delete(request);
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

  /** Requests the preemption of every admitted generation. */
  preemptAll(): void {
    for (const onEvent of [...this.openReservations.values()]) {
      onEvent({ kind: 'preempt', reason: 'memory' });
    }
  }

  reportProgress(reports: readonly ProgressReport[]): void {
    this.reports.push(...reports);
  }

  private nextEvent(request: AdmissionRequest): AdmissionEvent {
    const planned = this.plannedEvents.shift();
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

interface StoredRecord {
  readonly record: GenerationHomeRecord;
  readonly routerId: string;
}

/** Request homes shared by all routers of a test. */
export class FakeHomes {
  isReachable = true;
  readonly records = new Map<string, StoredRecord>();

  /** Creates the port that one router uses. */
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
    const stored = this.records.get(requestId);
    if (stored?.record.teamId === teamId && stored.record.attempt <= attempt) {
      this.records.delete(requestId);
    }
  }

  private record(record: GenerationHomeRecord, routerId: string): HomeRecordOutcome {
    if (!this.isReachable) {
      return 'unreachable';
    }
    const stored = this.records.get(record.requestId);
    const isNewer = stored && stored.record.attempt > record.attempt;
    const isOtherRouter = stored?.record.attempt === record.attempt && stored.routerId !== routerId;
    if (isNewer === true || isOtherRouter) {
      return 'superseded';
    }
    this.records.set(record.requestId, { record, routerId });
    return 'recorded';
  }

  private takeOver(
    takeOver: HomeTakeOverRequest,
    routerId: string,
  ): Result<HomeTakeOverOutcome, HomesUnreachable> {
    if (!this.isReachable) {
      return failure({ kind: 'homesUnreachable' });
    }
    const stored = this.records.get(takeOver.requestId);
    if (!stored) {
      return success({ outcome: 'unknown' });
    }
    if (stored.record.teamId !== takeOver.teamId) {
      return success({ outcome: 'otherTeam' });
    }
    if (stored.record.bodyHash !== takeOver.bodyHash) {
      return success({ outcome: 'otherBody' });
    }
    const attempt = toNumberId<AttemptNumber>(stored.record.attempt + 1);
    const record = { ...stored.record, attempt };
    this.records.set(takeOver.requestId, { record, routerId });
    return success({ outcome: 'found', record });
  }
}
