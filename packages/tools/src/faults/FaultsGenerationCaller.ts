import { randomUUID } from 'node:crypto';
import { outputLength, tokenText } from '@laburnumgap/standins';
import type { OutputLengthRange, TokenSource } from '@laburnumgap/standins';
import { setTimeout as sleep } from 'node:timers/promises';
import type { ReceivedToken, StreamAnswer } from '../deployment/DeploymentCaller.js';
import { streamCompletion } from '../deployment/DeploymentCaller.js';
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
const MAX_PAUSE_MS = 2_000;
const MIN_PAUSE_MS = 100;
const PROMPT_WORDS = 200;

/**
 * Asks for one streamed generation and comes back until it is whole, checking every token.
 *
 * @param options - team, model, balancer and oracle
 */
export async function callGeneration(options: GenerationCallOptions): Promise<void> {
  const { model, oracle, random } = options;
  const requestId = randomUUID();
  const source: TokenSource = {
    model,
    prompt: `${requestId} ${'stock '.repeat(random.int(1, PROMPT_WORDS))}`,
    seed: random.int(1, 1_000_000),
  };
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
    if (isFinal(oracle, requestId, answer, received.length)) {
      return;
    }
    oracle.count('comeback');
    await sleep(pauseOf(answer));
  }
  oracle.violate('unanswered', `${requestId} has ${received.length} of ${expected} tokens`);
}

function ask(
  options: GenerationCallOptions,
  source: TokenSource,
  requestId: string,
  lastEventId: number | undefined,
): Promise<StreamAnswer> {
  return streamCompletion({
    apiKey: options.apiKey,
    idleLimitMs: IDLE_LIMIT_MS,
    ...(lastEventId === undefined ? {} : { lastEventId }),
    maxTokens: options.maxTokens,
    model: source.model,
    prompt: source.prompt,
    requestId,
    router: options.balancer(),
    seed: source.seed,
  });
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

/** Whether the answer says that coming back does not help. */
function isFinal(
  oracle: FaultsOracle,
  requestId: string,
  answer: StreamAnswer,
  received: number,
): boolean {
  const { end } = answer;
  if (end.kind !== 'refused') {
    return false;
  }
  const { name, run } = end.body.error;
  oracle.count(`refusal ${name}`);
  if (name === 'GENERATION_ENDED_EARLY') {
    oracle.violate('answerEndedEarly', `${requestId} after ${received} tokens`);
    return true;
  }
  if (name === 'GENERATION_UNKNOWN' && end.body.error.retryAfterMs === undefined) {
    oracle.violate('answerLost', `${requestId} after ${received} tokens`);
    return true;
  }
  if (run === 'not_run' && end.status >= 400 && end.status < 500 && end.status !== 429) {
    oracle.violate('answerLost', `${requestId}: ${name} ${end.body.error.detail}`);
    return true;
  }
  return false;
}

function pauseOf(answer: StreamAnswer): number {
  const { end } = answer;
  const wished = end.kind === 'refused' ? (end.body.error.retryAfterMs ?? MIN_PAUSE_MS) : 0;
  return Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, wished));
}
