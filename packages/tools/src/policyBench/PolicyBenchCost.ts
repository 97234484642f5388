import { performance } from 'node:perf_hooks';
import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import type { AdmissionRequest } from '@laburnumgap/admission';
import { EngineAdmission, LengthModel } from '@laburnumgap/admission';
import { toId, toNumberId } from '@laburnumgap/kernel';

/** Cost of the admission controller on this machine. */
export interface PolicyCost {
  /** CPU time of one progress report of one generation. */
  readonly eventUs: number;
  /** Heap growth caused by a length model at its size limit, including its keys. */
  readonly heapBytes: number;
  /** Memory of the length counts alone. */
  readonly slabBytes: number;
}

const RUNNING_GENERATIONS = 200;
const ROUNDS = 400;
const ROUND_INTERVAL_MS = 500;
const TEAMS = 1_200;
const MODELS = 27;
const MAX_TOKENS_VALUES = [100, 8_000];

/**
 * Measures the cost of progress reports on a busy engine and the memory of the length model at the
 * target size.
 *
 * @returns CPU time and memory
 */
export function measureCost(): PolicyCost {
  const { heapBytes, slabBytes } = measureMemory();
  return { eventUs: measureProgressReports(), heapBytes, slabBytes };
}

function measureProgressReports(): number {
  const lengths = new LengthModel();
  const random = { nextUnit: () => 0.5 };
  const admission = new EngineAdmission({ lengths, random, startedMs: 0 });
  const load = {
    ageMs: 0,
    kvTokensCapacity: 10_000_000,
    kvTokensUsed: 0,
    leaving: false,
    maxRunning: RUNNING_GENERATIONS,
    preemptions: 0,
    queuedGenerations: 0,
    runningGenerations: 0,
  };
  admission.handle({ kind: 'loadReported', load }, 0);
  for (let index = 0; index < RUNNING_GENERATIONS; index += 1) {
    admission.handle({ kind: 'arrived', request: requestOf(`generation-${index}`) }, 1);
  }
  const startedMs = performance.now();
  for (let round = 1; round <= ROUNDS; round += 1) {
    for (let index = 0; index < RUNNING_GENERATIONS; index += 1) {
      const progress = {
        attempt: toNumberId<AdmissionRequest['attempt']>(1),
        enginePreempted: false,
        finished: false,
        generationId: toId<AdmissionRequest['generationId']>(`generation-${index}`),
        producedTokens: round * 10,
      };
      admission.handle({ kind: 'progressed', progress }, round * ROUND_INTERVAL_MS + index);
    }
  }
  return ((performance.now() - startedMs) * 1000) / (ROUNDS * RUNNING_GENERATIONS);
}

function measureMemory(): { readonly heapBytes: number; readonly slabBytes: number } {
  const before = heapBytesAfterGc();
  const lengths = new LengthModel();
  for (let team = 0; team < TEAMS; team += 1) {
    for (let model = 0; model < MODELS; model += 1) {
      for (const maxTokens of MAX_TOKENS_VALUES) {
        const key = {
          maxTokens,
          promptTokens: 100,
          model: toId<AdmissionRequest['model']>(`model-${model}`),
        };
        lengths.observe({ ...key, teamId: toId<AdmissionRequest['teamId']>(`team-${team}`) }, 50);
      }
    }
  }
  const heapBytes = heapBytesAfterGc() - before;
  return { heapBytes, slabBytes: lengths.slabBytes() };
}

/** Forces a garbage collection and returns the heap in use. */
function heapBytesAfterGc(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  return process.memoryUsage().heapUsed;
}

function requestOf(id: string): AdmissionRequest {
  return {
    attempt: toNumberId(1),
    generationId: toId(id),
    maxTokens: 8_000,
    model: toId('model-1'),
    preemptions: 0,
    priorityClass: 1,
    producedTokens: 0,
    promptTokens: 100,
    requestId: toId(id),
    reservationId: toId(id),
    teamId: toId('team-1'),
    waitBoundMs: 60_000,
    weight: 1,
  };
}
