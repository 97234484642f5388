import type { ServerWritableStream } from '@grpc/grpc-js';
import { status } from '@grpc/grpc-js';
import type { AdmissionAction, AdmissionRequest, ReservationId } from '@laburnumgap/admission';
import type {
  AttemptNumber,
  EngineId,
  GenerationId,
  ModelId,
  MonotonicClock,
  Refusal,
  RequestId,
  TeamId,
} from '@laburnumgap/kernel';
import { refusal, toId, toNumberId } from '@laburnumgap/kernel';
import type {
  AdmissionHandlers,
  AdmitEvent,
  AdmitRequest__Output,
  EngineEstimate,
  EstimateRequest__Output,
  ProgressRequest__Output,
} from '@laburnumgap/rpc';
import type { SchedulerEngineRegistry } from './SchedulerEngineRegistry.js';

type AdmitCall = ServerWritableStream<AdmitRequest__Output, AdmitEvent>;

/** Options of {@link createAdmissionHandlers}. */
export interface SchedulerAdmissionOptions {
  readonly clock: MonotonicClock;
  readonly engines: SchedulerEngineRegistry;
}

/**
 * Creates the handlers of the Admission service.
 *
 * @param options - clock and engines
 * @returns the handlers
 */
export function createAdmissionHandlers(options: SchedulerAdmissionOptions): AdmissionHandlers {
  let reservations = 0;
  return {
    Admit: (call) => {
      reservations += 1;
      admit(options.engines, call, toId<ReservationId>(`reservation-${reservations}`));
    },
    Estimate: (call, callback) => {
      void estimate(options, call.request).then((estimates) => {
        callback(null, { estimates });
      });
    },
    ReportProgress: (call, callback) => {
      reportProgress(options.engines, call.request);
      callback(null, {});
    },
  };
}

function admit(
  engines: SchedulerEngineRegistry,
  call: AdmitCall,
  reservationId: ReservationId,
): void {
  if (call.cancelled) {
    return;
  }
  const engine = engines.getOrOpen(toId<EngineId>(call.request.engineId));
  if (!engine) {
    const unknownEngine = refusal('NO_ENGINE', 'the scheduler does not know the engine');
    endWithRefusal(call, unknownEngine);
    return;
  }
  const server = engines.serverOf(engine.engineId);
  const engineUrl = server?.address ?? '';
  call.once('cancelled', () => {
    engine.release(reservationId);
  });
  engine.admit(admissionRequestOf(call.request, reservationId), {
    onAction: (action) => {
      if (call.cancelled) {
        return;
      }
      if (action.kind === 'refuse') {
        engine.release(reservationId);
        endWithRefusal(call, action.refusal);
        return;
      }
      call.write(admitEventOf(action, engineUrl));
    },
    onEnd: () => {
      call.end();
    },
  });
}

function endWithRefusal(call: AdmitCall, refused: Refusal): void {
  if (refused.code === 'DRAINING') {
    // The router must not pass this on to its caller: it retries at the next scheduler, as it does
    // when a scheduler is unreachable.
    call.emit('error', { code: status.UNAVAILABLE, details: refused.detail });
    return;
  }
  const { code, detail, retryAfterMs = 0 } = refused;
  call.write({ refused: { code, detail, retryAfterMs } });
  call.end();
}

function admitEventOf(
  action: Exclude<AdmissionAction, { kind: 'refuse' }>,
  engineUrl: string,
): AdmitEvent {
  switch (action.kind) {
    case 'grant': {
      const { enginePriority, waitedMs } = action;
      return { granted: { enginePriority, engineUrl, waitedMs } };
    }
    case 'preempt':
      return { preempt: { reason: 'memory' } };
    case 'queue':
      return { queued: { expectedWaitMs: action.expectedWaitMs } };
  }
}

function admissionRequestOf(
  request: AdmitRequest__Output,
  reservationId: ReservationId,
): AdmissionRequest {
  return {
    attempt: toNumberId<AttemptNumber>(request.attempt),
    generationId: toId<GenerationId>(request.generationId),
    maxTokens: request.maxTokens,
    model: toId<ModelId>(request.modelId),
    preemptions: request.preemptions,
    priorityClass: request.priorityClass,
    producedTokens: request.producedTokens,
    promptTokens: request.promptTokens,
    requestId: toId<RequestId>(request.requestId),
    reservationId,
    teamId: toId<TeamId>(request.teamId),
    waitBoundMs: request.waitBoundMs,
    weight: request.weight > 0 ? request.weight : 1,
  };
}

async function estimate(
  options: SchedulerAdmissionOptions,
  request: EstimateRequest__Output,
): Promise<EngineEstimate[]> {
  const query = {
    maxTokens: request.maxTokens,
    model: toId<ModelId>(request.modelId),
    promptTokens: request.promptTokens,
    teamId: toId<TeamId>(request.teamId),
  };
  const engines = request.engineIds.flatMap(
    (id) => options.engines.getOrOpen(toId<EngineId>(id)) ?? [],
  );
  return Promise.all(
    engines.map(async (engine) => {
      const { acceptsWork, waitMs } = await engine.estimate(query);
      const { engineId } = engine;
      const nowMs = options.clock.nowMs();
      const cachedPrefixTokens = engine.cache.expectedTokens(request.prefixHashes, nowMs);
      return { acceptsWork, cachedPrefixTokens, engineId, waitMs };
    }),
  );
}

function reportProgress(engines: SchedulerEngineRegistry, request: ProgressRequest__Output): void {
  for (const report of request.progress) {
    const engine = engines.getOrOpen(toId<EngineId>(report.engineId));
    engine?.send({
      kind: 'progressed',
      progress: {
        attempt: toNumberId<AttemptNumber>(report.attempt),
        enginePreempted: report.enginePreempted,
        finished: report.finished,
        generationId: toId<GenerationId>(report.generationId),
        producedTokens: report.producedTokens,
      },
    });
  }
}
