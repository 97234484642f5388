import type { AdmissionController, AdmissionRequest } from '@laburnumgap/admission';
import { toId, toNumberId } from '@laburnumgap/kernel';
import type { FakeEngine, FakeGeneration } from './PolicyBenchEngine.js';
import type { BenchRequest } from './PolicyBenchMix.js';

/** One generation between its arrival and its end. */
export interface BenchFlight {
  attempt: number;
  generation: FakeGeneration;
  isGranted: boolean;
  lastTokenMs: number;
  preemptions: number;
  readonly request: BenchRequest;
  server: BenchServer;
  stallMs: number;
}

/** An engine with its admission kernel and the generations that it was asked for. */
export interface BenchServer {
  readonly controller: AdmissionController;
  readonly engine: FakeEngine;
  flights: Map<string, BenchFlight>;
  nextStepMs: number;
}

/** The request for admission of a generation's next attempt. */
export function admissionRequestOf(flight: BenchFlight): AdmissionRequest {
  const { attempt, generation, preemptions, request } = flight;
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
    reservationId: reservationIdOf(flight),
    teamId: toId(request.team.name),
    waitBoundMs: request.kind.waitBoundMs,
    weight: 1,
  };
}

/** Id of the reservation of a generation's attempt. */
export function reservationIdOf(flight: BenchFlight): AdmissionRequest['reservationId'] {
  return toId(`${flight.request.id}/${flight.attempt}`);
}
