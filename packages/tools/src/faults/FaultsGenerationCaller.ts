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
import { streamCompletion, requestCompletion } from '../deployment/DeploymentCaller.js';
import type { FaultsOracle } from './FaultsOracle.js';
import type { FaultsRandom } from './FaultsRandom.js';

/** Options of {@link callStreamedGeneration}. */
export interface GenerationCallOptions {
  readonly apiKey: string;
  /** Time after which the caller stops retrying. */
  readonly giveUpAfterMs: number;
  readonly maxTokens: number;
  readonly model: string;
  readonly oracle: FaultsOracle;
  readonly outputRange: OutputLengthRange;
  /** Picks a running router, as the load balancer does; returns HOST:PORT. */
  readonly pickRouter: () => string;
  readonly random: FaultsRandom;
}

const IDLE_TIMEOUT_MS = 5_000;
/** An answer that is not streamed arrives as a whole, so the idle timeout covers all of it. */
const UNSTREAMED_TIMEOUT_MS = 20_000;
const MAX_RETRY_DELAY_MS = 2_000;
const MIN_RETRY_DELAY_MS = 100;
const PROMPT_WORDS = 200;

/**
 * Requests one streamed generation, resumes it until it is complete and checks every token.
 *
 * @param options - team, model, router selection and oracle
 */
export async function callStreamedGeneration(options: GenerationCallOptions): Promise<void> {
  const { oracle } = options;
  const requestId = randomUUID();
  const source = sourceOf(options, requestId);
  const expected = Math.min(options.maxTokens, outputLength(source, options.outputRange));
  const received: ReceivedToken[] = [];
  const startedMs = performance.now();
  while (performance.now() - startedMs < options.giveUpAfterMs) {
    const answer = await requestStream(options, source, requestId, received.at(-1)?.index);
    checkTokens(oracle, requestId, source, received, answer.tokens);
    if (answer.end.kind === 'done') {
      checkTokenCount(oracle, requestId, received.length, expected);
      return;
    }
    const refused = answer.end.kind === 'refused' ? answer.end : undefined;
    if (refused && isFinalRefusal(oracle, requestId, refused, received.length)) {
      return;
    }
    oracle.count('comeback');
    await sleep(retryDelayMsOf(refused?.body));
  }
  oracle.recordViolation('unanswered', `${requestId} has ${received.length} of ${expected} tokens`);
}

/**
 * Requests one generation that is not streamed, retries with its request id until it is complete
 * and checks its text.
 *
 * @param options - team, model, router selection and oracle
 */
export async function callUnstreamedGeneration(options: GenerationCallOptions): Promise<void> {
  const { oracle } = options;
  const requestId = randomUUID();
  const source = sourceOf(options, requestId);
  const expected = Math.min(options.maxTokens, outputLength(source, options.outputRange));
  const startedMs = performance.now();
  while (performance.now() - startedMs < options.giveUpAfterMs) {
    const answer = await requestCompletion(
      requestOf(options, source, requestId, UNSTREAMED_TIMEOUT_MS),
    );
    if (answer.kind === 'done') {
      checkUnstreamedText(oracle, requestId, source, expected, answer.text);
      return;
    }
    if (answer.kind === 'refused' && isFinalRefusal(oracle, requestId, answer, 0)) {
      return;
    }
    oracle.count('comeback');
    await sleep(retryDelayMsOf(answer.kind === 'refused' ? answer.body : undefined));
  }
  oracle.recordViolation('unanswered', `${requestId}, not streamed`);
}

function checkUnstreamedText(
  oracle: FaultsOracle,
  requestId: string,
  source: TokenSource,
  expected: number,
  text: string,
): void {
  oracle.count('wholeGenerationChecked');
  const tokens = Array.from({ length: expected }, (_, index) => tokenText(source, index));
  if (text !== tokens.join('')) {
    oracle.recordViolation('tokenWrong', `${requestId}, not streamed: ${text.length} characters`);
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
    idleTimeoutMs: idleLimitMs,
    maxTokens: options.maxTokens,
    model: source.model,
    prompt: source.prompt,
    requestId,
    router: options.pickRouter(),
    seed: source.seed,
  };
}

function requestStream(
  options: GenerationCallOptions,
  source: TokenSource,
  requestId: string,
  lastEventId: number | undefined,
): Promise<StreamAnswer> {
  const request = requestOf(options, source, requestId, IDLE_TIMEOUT_MS);
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
      oracle.recordViolation('tokenRepeated', `${requestId}: ${token.index} after ${next - 1}`);
      continue;
    }
    if (token.index > next) {
      oracle.recordViolation('tokenGap', `${requestId}: ${token.index} after ${next - 1}`);
    }
    if (token.text !== tokenText(source, token.index)) {
      oracle.recordViolation('tokenWrong', `${requestId}: ${token.index} is ${token.text}`);
    }
    received.push(token);
  }
}

function checkTokenCount(
  oracle: FaultsOracle,
  requestId: string,
  received: number,
  expected: number,
): void {
  oracle.count('generationChecked');
  if (received !== expected) {
    oracle.recordViolation(
      'tokenGap',
      `${requestId}: ended with ${received} of ${expected} tokens`,
    );
  }
}

/** A refusal or error answer with its status. */
interface RefusedAnswer {
  readonly body: RefusalBody;
  readonly status: number;
}

/** Returns whether the refusal is final, so that a retry cannot succeed; a final one is a violation. */
function isFinalRefusal(
  oracle: FaultsOracle,
  requestId: string,
  { body, status }: RefusedAnswer,
  received: number,
): boolean {
  const { detail, name, retryAfterMs, run } = body.error;
  oracle.count(`refusal ${name}`);
  if (name === 'GENERATION_ENDED_EARLY') {
    oracle.recordViolation('answerEndedEarly', `${requestId} after ${received} tokens: ${detail}`);
    return true;
  }
  if (name === 'GENERATION_UNKNOWN' && retryAfterMs === undefined) {
    oracle.recordViolation('answerLost', `${requestId} after ${received} tokens`);
    return true;
  }
  if (run === 'not_run' && status >= 400 && status < 500 && status !== 429) {
    oracle.recordViolation('answerLost', `${requestId}: ${name} ${detail}`);
    return true;
  }
  return false;
}

function retryDelayMsOf(refused: RefusalBody | undefined): number {
  const requestedMs = refused?.error.retryAfterMs ?? 0;
  return Math.min(MAX_RETRY_DELAY_MS, Math.max(MIN_RETRY_DELAY_MS, requestedMs));
}
