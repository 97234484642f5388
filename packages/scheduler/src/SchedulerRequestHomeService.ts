import type { HomeRecord, RequestHome } from '@laburnumgap/admission';
import type {
  AttemptNumber,
  DecisionSink,
  MemberId,
  MonotonicClock,
  RequestId,
  TeamId,
} from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import type { GenerationRecord, RequestHomeHandlers } from '@laburnumgap/rpc';
import { toGenerationHomeRecord } from '@laburnumgap/rpc';

/** Options of {@link createRequestHomeHandlers}. */
export interface SchedulerRequestHomeOptions {
  readonly clock: MonotonicClock;
  readonly decisions: DecisionSink;
  readonly home: RequestHome;
}

/**
 * Creates the handlers of the RequestHome service.
 *
 * @param options - records, clock and decision sink
 * @returns the handlers
 */
export function createRequestHomeHandlers(
  options: SchedulerRequestHomeOptions,
): RequestHomeHandlers {
  const { clock, decisions, home } = options;
  return {
    Forget: ({ request }, callback) => {
      const attempt = toNumberId<AttemptNumber>(request.attempt);
      home.forget(toId<TeamId>(request.teamId), toId<RequestId>(request.requestId), attempt);
      callback(null, {});
    },
    RecordGeneration: ({ request }, callback) => {
      const record = {
        ...toGenerationHomeRecord(request),
        routerId: toId<MemberId>(request.routerId),
      };
      callback(null, home.record(record, clock.nowMs()));
    },
    TakeOver: ({ request }, callback) => {
      const { bodyHash, requestId, routerId, teamId } = request;
      const taken = home.takeOver(
        {
          bodyHash,
          requestId: toId<RequestId>(requestId),
          routerId: toId<MemberId>(routerId),
          teamId: toId<TeamId>(teamId),
        },
        clock.nowMs(),
      );
      const record = taken.outcome === 'found' ? taken.record : undefined;
      decisions.record({
        decision: 'takeOver',
        fields: { attempt: record?.attempt, outcome: taken.outcome, routerId, teamId },
        requestId,
      });
      callback(null, {
        outcome: taken.outcome,
        record: record ? generationRecordOf(record) : null,
      });
    },
  };
}

function generationRecordOf(record: HomeRecord): GenerationRecord {
  const { model, ...fields } = record;
  return { ...fields, modelId: model };
}
