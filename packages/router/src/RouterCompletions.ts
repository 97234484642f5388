import type { IncomingMessage } from 'node:http';
import type { GenerationId, RandomSource, Refusal, Result, TeamId } from '@laburnumgap/kernel';
import { failure, success, toId } from '@laburnumgap/kernel';
import { promptTokensOf } from '@laburnumgap/routing';
import { v7 } from 'uuid';
import { BufferedSink, EventStreamSink } from './RouterCallerSink.js';
import type { CompletionRequest } from './RouterCompletionRequest.js';
import { readCompletionRequest, readResumeIndex } from './RouterCompletionRequest.js';
import { takeOverEarlierRun, unknownGenerationRefusal } from './RouterEarlierRuns.js';
import { RouterGenerationRun } from './RouterGenerationRun.js';
import type { QuotaGrant, RouterQuota } from './RouterQuota.js';
import type { RequestHandler, RouterExchange } from './RouterRequestHandler.js';
import type { RouterRunRegistry } from './RouterRunRegistry.js';
import type { HandedOverRun, RunServices } from './RouterRunTypes.js';

const COMPLETIONS_PATH = '/v1/completions';
const MAX_SEED = 2 ** 31;

/** Options of {@link RouterCompletions}. */
export interface RouterCompletionsOptions {
  readonly keepaliveMs: number;
  readonly quota: RouterQuota;
  readonly random: RandomSource;
  readonly registry: RouterRunRegistry;
  readonly services: RunServices;
}

interface ParsedRequest {
  readonly completion: CompletionRequest;
  /** Undefined unless the caller sent Last-Event-ID. */
  readonly resumeFromIndex: number | undefined;
  readonly teamId: TeamId;
}

/** Serves `POST /v1/completions`. */
export class RouterCompletions implements RequestHandler {
  readonly name = 'completions';

  constructor(private readonly options: RouterCompletionsOptions) {}

  matches(request: IncomingMessage): boolean {
    const [path] = (request.url ?? '').split('?');
    return request.method === 'POST' && path === COMPLETIONS_PATH;
  }

  async handle(exchange: RouterExchange): Promise<void> {
    const parsed = await parseRequest(exchange);
    if (!parsed.ok) {
      exchange.refuse(parsed.error);
      return;
    }
    const earlierRun = await this.takeOverEarlier(exchange, parsed.value);
    if (!earlierRun.ok) {
      exchange.refuse(earlierRun.error);
      return;
    }
    const quotaGrant = this.admitToQuota(exchange, parsed.value, earlierRun.value !== undefined);
    if (!quotaGrant.ok) {
      exchange.refuse(quotaGrant.error);
      return;
    }
    await this.run(exchange, parsed.value, {
      earlierRun: earlierRun.value,
      quotaGrant: quotaGrant.value,
    });
  }

  /** A reconnect is no new work, so the limits of its team do not refuse it. */
  private admitToQuota(
    exchange: RouterExchange,
    parsed: ParsedRequest,
    isReconnect: boolean,
  ): Result<QuotaGrant, Refusal> {
    const inputTokens = isReconnect ? 0 : promptTokensOf(parsed.completion.prompt);
    const admitted = this.options.quota.tryAdmit(exchange.contract.contract, inputTokens);
    if (admitted.ok || !isReconnect) {
      return admitted;
    }
    return success({ charge: () => undefined, release: () => undefined });
  }

  private async takeOverEarlier(
    exchange: RouterExchange,
    parsed: ParsedRequest,
  ): Promise<Result<HandedOverRun | undefined, Refusal>> {
    const { isRequestIdFromCaller, requestId } = exchange;
    const { completion, resumeFromIndex, teamId } = parsed;
    const isResume = resumeFromIndex !== undefined;
    if (!isRequestIdFromCaller) {
      return isResume ? failure(unknownGenerationRefusal()) : success(undefined);
    }
    const { bodyHash } = completion;
    const { registry, services } = this.options;
    const { requestHomes } = services;
    return takeOverEarlierRun({ bodyHash, isResume, registry, requestHomes, requestId, teamId });
  }

  private async run(
    exchange: RouterExchange,
    parsed: ParsedRequest,
    state: { readonly earlierRun?: HandedOverRun; readonly quotaGrant: QuotaGrant },
  ): Promise<void> {
    const { keepaliveMs, random, registry, services } = this.options;
    const { contract, requestId, response } = exchange;
    const { completion, teamId } = parsed;
    const { earlierRun, quotaGrant } = state;
    const { timers } = services;
    const Sink = completion.stream ? EventStreamSink : BufferedSink;
    const randomSeed = Math.floor(random.nextUnit() * MAX_SEED);
    const run = new RouterGenerationRun({
      completion,
      contract: contract.contract,
      earlierRun,
      resumeFromIndex: completion.stream ? (parsed.resumeFromIndex ?? 0) : 0,
      generationId: earlierRun?.generationId ?? toId<GenerationId>(v7()),
      quotaGrant,
      requestId,
      seed: earlierRun?.seed ?? completion.seed ?? randomSeed,
      services,
      sink: new Sink({ keepaliveMs, requestId, response, timers }),
    });
    await registry.registerAndRun(teamId, requestId, { bodyHash: completion.bodyHash, run });
  }
}

async function parseRequest(exchange: RouterExchange): Promise<Result<ParsedRequest, Refusal>> {
  const resumeFromIndex = readResumeIndex(exchange.request.headers);
  if (!resumeFromIndex.ok) {
    return resumeFromIndex;
  }
  const body = await exchange.readBody();
  if (!body.ok) {
    return body;
  }
  const { contract } = exchange.contract;
  const completion = readCompletionRequest(body.value, contract);
  if (!completion.ok) {
    return completion;
  }
  return success({
    completion: completion.value,
    resumeFromIndex: resumeFromIndex.value,
    teamId: toId<TeamId>(contract.team),
  });
}
