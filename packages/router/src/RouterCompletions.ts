import type { IncomingMessage } from 'node:http';
import type { GenerationId, RandomSource, Refusal, Result, TeamId } from '@laburnumgap/kernel';
import { failure, success, toId } from '@laburnumgap/kernel';
import { promptTokensOf } from '@laburnumgap/routing';
import { v7 } from 'uuid';
import { StreamSink, WholeSink } from './RouterCallerSink.js';
import type { CompletionRequest } from './RouterCompletionRequest.js';
import { firstWantedIndexOf, readCompletionRequest } from './RouterCompletionRequest.js';
import { findEarlierRun, unknownGeneration } from './RouterEarlierRuns.js';

import { RouterGenerationRun } from './RouterGenerationRun.js';
import type { QuotaHold, RouterQuota } from './RouterQuota.js';
import type { RequestHandler, RouterExchange } from './RouterRequestHandler.js';
import type { RouterRunRegistry } from './RouterRunRegistry.js';
import type { HandedOverRun, RunServices } from './RouterRunTypes.js';

const COMPLETIONS_PATH = '/v1/completions';
const MAX_SEED = 2 ** 31;

/** What completions are served with. */
export interface RouterCompletionsOptions {
  readonly keepaliveMs: number;
  readonly quota: RouterQuota;
  readonly random: RandomSource;
  readonly registry: RouterRunRegistry;
  readonly services: RunServices;
}

interface Wanted {
  readonly completion: CompletionRequest;
  /** Undefined unless the caller says which token it has. */
  readonly firstWantedIndex: number | undefined;
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
    const wanted = await readWanted(exchange);
    if (!wanted.ok) {
      exchange.refuse(wanted.error);
      return;
    }
    const earlier = await this.findEarlier(exchange, wanted.value);
    if (!earlier.ok) {
      exchange.refuse(earlier.error);
      return;
    }
    const hold = this.beginHold(exchange, wanted.value, earlier.value !== undefined);
    if (!hold.ok) {
      exchange.refuse(hold.error);
      return;
    }
    await this.run(exchange, wanted.value, { from: earlier.value, hold: hold.value });
  }

  /** A request that comes back is no new work: its team's limits do not refuse it. */
  private beginHold(
    exchange: RouterExchange,
    wanted: Wanted,
    comesBack: boolean,
  ): Result<QuotaHold, Refusal> {
    const inputTokens = comesBack ? 0 : promptTokensOf(wanted.completion.prompt);
    const hold = this.options.quota.begin(exchange.contract.contract, inputTokens);
    if (hold.ok || !comesBack) {
      return hold;
    }
    return success({ charge: () => undefined, release: () => undefined });
  }

  private async findEarlier(
    exchange: RouterExchange,
    wanted: Wanted,
  ): Promise<Result<HandedOverRun | undefined, Refusal>> {
    const { requestId, requestIdGiven } = exchange;
    const { completion, firstWantedIndex, teamId } = wanted;
    const continues = firstWantedIndex !== undefined;
    if (!requestIdGiven) {
      return continues ? failure(unknownGeneration()) : success(undefined);
    }
    const { bodyHash } = completion;
    const { registry, services } = this.options;
    const { homes } = services;
    return findEarlierRun({ bodyHash, continues, homes, registry, requestId, teamId });
  }

  private async run(
    exchange: RouterExchange,
    wanted: Wanted,
    parts: { readonly from?: HandedOverRun; readonly hold: QuotaHold },
  ): Promise<void> {
    const { keepaliveMs, random, registry, services } = this.options;
    const { contract, requestId, response } = exchange;
    const { completion, teamId } = wanted;
    const { from, hold } = parts;
    const { timers } = services;
    const Sink = completion.stream ? StreamSink : WholeSink;
    const drawnSeed = Math.floor(random.nextUnit() * MAX_SEED);
    const run = new RouterGenerationRun({
      completion,
      contract: contract.contract,
      firstWantedIndex: completion.stream ? (wanted.firstWantedIndex ?? 0) : 0,
      from,
      generationId: from?.generationId ?? toId<GenerationId>(v7()),
      hold,
      requestId,
      seed: from?.seed ?? completion.seed ?? drawnSeed,
      services,
      sink: new Sink({ keepaliveMs, requestId, response, timers }),
    });
    await registry.follow(teamId, requestId, { bodyHash: completion.bodyHash, run });
  }
}

async function readWanted(exchange: RouterExchange): Promise<Result<Wanted, Refusal>> {
  const firstWantedIndex = firstWantedIndexOf(exchange.request.headers);
  if (!firstWantedIndex.ok) {
    return firstWantedIndex;
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
    firstWantedIndex: firstWantedIndex.value,
    teamId: toId<TeamId>(contract.team),
  });
}
