import type { AdmissionController, AdmissionRequest } from '@laburnumgap/admission';
import { toId, toNumberId } from '@laburnumgap/kernel';
import type { FakeEngine, FakeGeneration } from './PolicyBenchEngine.js';
import type { BenchRequest } from './PolicyBenchMix.js';

/** A generation that has arrived and has not finished or been refused. */
export interface InFlightGeneration {
  attempt: number;
  generation: FakeGeneration;
  isGranted: boolean;
  lastTokenMs: number;
  preemptions: number;
  readonly request: BenchRequest;
  server: BenchServer;
  stallMs: number;
}

/** A fake engine with its admission controller and the generations submitted to it. */
export interface BenchServer {
  readonly controller: AdmissionController;
  readonly engine: FakeEngine;
  inFlight: Map<string, InFlightGeneration>;
  nextStepMs: number;
}

/** Builds the admission request of a generation's current attempt. */
export function admissionRequestOf(inFlight: InFlightGeneration): AdmissionRequest {
  const { attempt, generation, preemptions, request } = inFlight;
  return {
    attempt: toNumberId(attempt),
    generationId: toId(request.id),
    maxTokens: request.kind.maxTokens,
    model: toId('model-1'),
    preemptions,
    priorityClass: request.kind.priorityClass,
    producedTokens: generation.producedTokens,
    promptTokens: request.promptTokens,
    requestId: toId(request.id),
    reservationId: reservationIdOf(inFlight),
    teamId: toId(request.team.name),
    waitBoundMs: request.kind.waitBoundMs,
    weight: 1,
  };
}

/** Returns the reservation id of a generation's current attempt. */
export function reservationIdOf(inFlight: InFlightGeneration): AdmissionRequest['reservationId'] {
  return toId(`${inFlight.request.id}/${inFlight.attempt}`);
}
