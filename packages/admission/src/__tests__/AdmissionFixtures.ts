import type { EngineLoad } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import type { AdmissionAction, AdmissionRequest } from '../index.js';
import { EngineAdmission, LengthModel } from '../index.js';

/** Fields of a request that a test sets, as plain values instead of branded types. */
export interface RequestFields {
  readonly attempt?: number;
  readonly id?: string;
  readonly maxTokens?: number;
  readonly preemptions?: number;
  readonly priorityClass?: number;
  readonly producedTokens?: number;
  readonly promptTokens?: number;
  readonly team?: string;
  readonly waitBoundMs?: number;
  readonly weight?: number;
}

/**
 * Builds a request.
 *
 * @param fields - fields that differ from the defaults
 * @returns the request; its reservation id consists of id and attempt
 */
export function requestOf(fields: RequestFields = {}): AdmissionRequest {
  const { attempt = 1, id = 'r1', team = 'team-1' } = fields;
  return {
    attempt: toNumberId(attempt),
    generationId: toId(id),
    maxTokens: fields.maxTokens ?? 4_000,
    model: toId('model-1'),
    preemptions: fields.preemptions ?? 0,
    priorityClass: fields.priorityClass ?? 1,
    producedTokens: fields.producedTokens ?? 0,
    promptTokens: fields.promptTokens ?? 400,
    requestId: toId(id),
    reservationId: toId(`${id}/${attempt}`),
    teamId: toId(team),
    waitBoundMs: fields.waitBoundMs ?? 60_000,
    weight: fields.weight ?? 1,
  };
}

/**
 * Builds a load report of an engine.
 *
 * @param fields - fields that differ from the defaults
 * @returns the report; by default of an idle engine with a capacity of 1000 tokens
 */
export function loadOf(fields: Partial<EngineLoad> = {}): EngineLoad {
  return {
    ageMs: 0,
    kvTokensCapacity: 1_000,
    kvTokensUsed: 0,
    leaving: false,
    maxRunning: 64,
    preemptions: 0,
    queuedGenerations: 0,
    runningGenerations: 0,
    ...fields,
  };
}

/** An admission controller with a log of its actions. */
export class AdmissionHarness {
  readonly admission: EngineAdmission;
  readonly actions: string[] = [];

  constructor(startedMs = 0, jitter = 0.5, lengths = new LengthModel()) {
    const random = { nextUnit: () => jitter };
    this.admission = new EngineAdmission({ lengths, random, startedMs });
  }

  /** Sends an event and describes each resulting action by its kind, request id and refusal code. */
  send(nowMs: number, event: Parameters<EngineAdmission['handle']>[0]): readonly string[] {
    const descriptions = this.admission
      .handle(event, nowMs)
      .map((action) => describeAction(action));
    this.actions.push(...descriptions);
    return descriptions;
  }

  arrive(nowMs: number, fields: RequestFields = {}): readonly string[] {
    return this.send(nowMs, { kind: 'arrived', request: requestOf(fields) });
  }

  load(nowMs: number, fields: Partial<EngineLoad> = {}): readonly string[] {
    return this.send(nowMs, { kind: 'loadReported', load: loadOf(fields) });
  }

  end(nowMs: number, id: string, attempt = 1): readonly string[] {
    return this.send(nowMs, { kind: 'ended', reservationId: toId(`${id}/${attempt}`) });
  }

  progress(nowMs: number, id: string, producedTokens: number, finished = false): readonly string[] {
    const progress = {
      attempt: toNumberId<AdmissionRequest['attempt']>(1),
      enginePreempted: false,
      finished,
      generationId: toId<AdmissionRequest['generationId']>(id),
      producedTokens,
    };
    return this.send(nowMs, { kind: 'progressed', progress });
  }

  /** Sends load reports until the rebuild after the start is complete. */
  completeRebuild(nowMs: number, fields: Partial<EngineLoad> = {}): void {
    this.load(nowMs, fields);
    this.load(nowMs + 2_000, fields);
  }
}

/**
 * Builds a length model that has observed only outputs of one length.
 *
 * @param tokens - the length in tokens
 * @returns the model
 */
export function lengthModelAround(tokens: number): LengthModel {
  const lengths = new LengthModel();
  for (let count = 0; count < 400; count += 1) {
    lengths.observe(requestOf(), tokens);
  }
  return lengths;
}

function describeAction(action: AdmissionAction): string {
  const code = action.kind === 'refuse' ? ` ${action.refusal.code}` : '';
  return `${action.kind} ${action.request.requestId}${code}`;
}
