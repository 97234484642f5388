import { randomUUID } from 'node:crypto';
import { outputLength, tokenText } from '@laburnumgap/standins';
import type { OutputLengthRange, TokenSource } from '@laburnumgap/standins';
import { setTimeout as sleep } from 'node:timers/promises';
import type {
  ReceivedToken,
  RefusalBody,
  StreamAnswer,
  StreamOptions,
} from '../deployment/DeploymentCaller.js';
import { streamCompletion, wholeCompletion } from '../deployment/DeploymentCaller.js';
import type { FaultsOracle } from './FaultsOracle.js';
import type { FaultsRandom } from './FaultsRandom.js';

/** Options of {@link callGeneration}. */
export interface GenerationCallOptions {
  readonly apiKey: string;
  /** Chooses a router that takes new work, as the balancer does. */
  readonly balancer: () => string;
  /** After this time the caller stops coming back. */
  readonly giveUpMs: number;
  readonly maxTokens: number;
  readonly model: string;
  readonly oracle: FaultsOracle;
  readonly outputRange: OutputLengthRange;
  readonly random: FaultsRandom;
}

const IDLE_LIMIT_MS = 5_000;
/** A caller of an answer that is not streamed waits for all of it. */
const WHOLE_LIMIT_MS = 20_000;
const MAX_PAUSE_MS = 2_000;
const MIN_PAUSE_MS = 100;
const PROMPT_WORDS = 200;

/**
 * Asks for one streamed generation and comes back until it is whole, checking every token.
 *
 * @param options - team, model, balancer and oracle
 */
export async function callGeneration(options: GenerationCallOptions): Promise<void> {
  const { oracle } = options;
  const requestId = randomUUID();
  const source = sourceOf(options, requestId);
  const expected = Math.min(options.maxTokens, outputLength(source, options.outputRange));
  const received: ReceivedToken[] = [];
  const startedMs = performance.now();
  while (performance.now() - startedMs < options.giveUpMs) {
    const answer = await ask(options, source, requestId, received.at(-1)?.index);
    checkTokens(oracle, requestId, source, received, answer.tokens);
    if (answer.end.kind === 'done') {
      checkWhole(oracle, requestId, received.length, expected);
      return;
    }
    const refused = answer.end.kind === 'refused' ? answer.end : undefined;
    if (refused && isFinalRefusal(oracle, requestId, refused, received.length)) {
      return;
    }
    oracle.count('comeback');
    await sleep(pauseOf(refused?.body));
  }
  oracle.violate('unanswered', `${requestId} has ${received.length} of ${expected} tokens`);
}

/**
 * Asks for one generation that is not streamed and comes back by its request id until it is whole.
 *
 * @param options - team, model, balancer and oracle
 */
export async function callWholeGeneration(options: GenerationCallOptions): Promise<void> {
  const { oracle } = options;
  const requestId = randomUUID();
  const source = sourceOf(options, requestId);
  const expected = Math.min(options.maxTokens, outputLength(source, options.outputRange));
  const startedMs = performance.now();
  while (performance.now() - startedMs < options.giveUpMs) {
    const answer = await wholeCompletion(requestOf(options, source, requestId, WHOLE_LIMIT_MS));
    if (answer.kind === 'done') {
      checkWholeText(oracle, requestId, source, expected, answer.text);
      return;
    }
    if (answer.kind === 'refused' && isFinalRefusal(oracle, requestId, answer, 0)) {
      return;
    }
    oracle.count('comeback');
    await sleep(pauseOf(answer.kind === 'refused' ? answer.body : undefined));
  }
  oracle.violate('unanswered', `${requestId}, not streamed`);
}

function checkWholeText(
  oracle: FaultsOracle,
  requestId: string,
  source: TokenSource,
  expected: number,
  text: string,
): void {
  oracle.count('wholeGenerationChecked');
  const tokens = Array.from({ length: expected }, (_, index) => tokenText(source, index));
  if (text !== tokens.join('')) {
    oracle.violate('tokenWrong', `${requestId}, not streamed: ${text.length} characters`);
  }
}

function sourceOf({ model, random }: GenerationCallOptions, requestId: string): TokenSource {
  return {
    model,
    prompt: `${requestId} ${'stock '.repeat(random.int(1, PROMPT_WORDS))}`,
    seed: random.int(1, 1_000_000),
  };
}

function requestOf(
  options: GenerationCallOptions,
  source: TokenSource,
  requestId: string,
  idleLimitMs: number,
): StreamOptions {
  return {
    apiKey: options.apiKey,
    idleLimitMs,
    maxTokens: options.maxTokens,
    model: source.model,
    prompt: source.prompt,
    requestId,
    router: options.balancer(),
    seed: source.seed,
  };
}

function ask(
  options: GenerationCallOptions,
  source: TokenSource,
  requestId: string,
  lastEventId: number | undefined,
): Promise<StreamAnswer> {
  const request = requestOf(options, source, requestId, IDLE_LIMIT_MS);
  return streamCompletion(lastEventId === undefined ? request : { ...request, lastEventId });
}

function checkTokens(
  oracle: FaultsOracle,
  requestId: string,
  source: TokenSource,
  received: ReceivedToken[],
  tokens: readonly ReceivedToken[],
): void {
  for (const token of tokens) {
    oracle.count('tokenChecked');
    const next = (received.at(-1)?.index ?? -1) + 1;
    if (token.index < next) {
      oracle.violate('tokenRepeated', `${requestId}: ${token.index} after ${next - 1}`);
      continue;
    }
    if (token.index > next) {
      oracle.violate('tokenGap', `${requestId}: ${token.index} after ${next - 1}`);
    }
    if (token.text !== tokenText(source, token.index)) {
      oracle.violate('tokenWrong', `${requestId}: ${token.index} is ${token.text}`);
    }
    received.push(token);
  }
}

function checkWhole(
  oracle: FaultsOracle,
  requestId: string,
  received: number,
  expected: number,
): void {
  oracle.count('generationChecked');
  if (received !== expected) {
    oracle.violate('tokenGap', `${requestId}: ended with ${received} of ${expected} tokens`);
  }
}

/** A refusal or error answer with its status. */
interface RefusedAnswer {
  readonly body: RefusalBody;
  readonly status: number;
}

/** Whether the answer says that coming back does not help. */
function isFinalRefusal(
  oracle: FaultsOracle,
  requestId: string,
  { body, status }: RefusedAnswer,
  received: number,
): boolean {
  const { detail, name, retryAfterMs, run } = body.error;
  oracle.count(`refusal ${name}`);
  if (name === 'GENERATION_ENDED_EARLY') {
    oracle.violate('answerEndedEarly', `${requestId} after ${received} tokens: ${detail}`);
    return true;
  }
  if (name === 'GENERATION_UNKNOWN' && retryAfterMs === undefined) {
    oracle.violate('answerLost', `${requestId} after ${received} tokens`);
    return true;
  }
  if (run === 'not_run' && status >= 400 && status < 500 && status !== 429) {
    oracle.violate('answerLost', `${requestId}: ${name} ${detail}`);
    return true;
  }
  return false;
}

function pauseOf(refused: RefusalBody | undefined): number {
  const wished = refused?.error.retryAfterMs ?? 0;
  return Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, wished));
}
