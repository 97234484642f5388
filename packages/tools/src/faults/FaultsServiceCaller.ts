import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { v7 } from 'uuid';
import type { RefusalBody, ServiceAnswer } from '../deployment/DeploymentCaller.js';
import { callService } from '../deployment/DeploymentCaller.js';
import type { FaultsOracle } from './FaultsOracle.js';
import type { FaultsRandom } from './FaultsRandom.js';

/** Options of {@link callOnce} and {@link callLookup}. */
export interface ServiceCallerOptions {
  readonly apiKey: string;
  readonly balancer: () => string;
  readonly giveUpMs: number;
  readonly oracle: FaultsOracle;
  /** Path of the call; `ID` in it is replaced by a fresh id. */
  readonly path: string;
  readonly random: FaultsRandom;
  readonly service: string;
}

/** What the caller of an at-most-once call was told last. */
export type OnceOutcome = 'answered' | 'failed' | 'notRun' | 'unanswered' | 'unknown';

/** An at-most-once call, to be compared with the effects counted behind the system. */
export interface OnceRecord {
  readonly key: string;
  readonly outcome: OnceOutcome;
}

const IDLE_LIMIT_MS = 15_000;
const MAX_PAUSE_MS = 2_000;
const MIN_PAUSE_MS = 100;
const STOP_AFTER_REFUSAL_SHARE = 0.3;
const TWICE_SHARE = 0.3;

/**
 * Makes one at-most-once call, at times at two routers at once, and comes back with the same key
 * until its outcome is known. A share of callers takes a refusal as final, so that a refusal that
 * ran shows as an effect.
 *
 * @param options - team, call, balancer and oracle
 * @returns what the caller was told last
 */
export async function callOnce(options: ServiceCallerOptions): Promise<OnceRecord> {
  const { oracle, random } = options;
  const key = v7();
  const stopsAfterRefusal = random.chance(STOP_AFTER_REFUSAL_SHARE);
  if (!stopsAfterRefusal && random.chance(TWICE_SHARE)) {
    oracle.count('onceCalledTwice');
    const both = await Promise.all([
      untilTold(options, key, false),
      untilTold(options, key, false),
    ]);
    return { key, outcome: both.includes('answered') ? 'answered' : both[0] };
  }
  return { key, outcome: await untilTold(options, key, stopsAfterRefusal) };
}

async function untilTold(
  options: ServiceCallerOptions,
  key: string,
  stopsAfterRefusal: boolean,
): Promise<OnceOutcome> {
  const { oracle } = options;
  const startedMs = performance.now();
  let mayHaveRun = false;
  while (performance.now() - startedMs < options.giveUpMs) {
    const answer = await send(options, 'POST', options.path, key);
    oracle.count('onceAnswerChecked');
    if (answer.kind === 'answered' && answer.status < 300) {
      checkOwnAnswer(oracle, answer.body, key);
      return 'answered';
    }
    const told = answer.kind === 'answered' ? refusalOf(answer.body) : undefined;
    if (answer.kind === 'answered' && !told) {
      oracle.count(`once answered ${answer.status} by the service`);
      return 'failed';
    }
    oracle.count(`once ${told?.name ?? 'broken'}`);
    if (told?.name === 'OUTCOME_UNKNOWN') {
      return 'unknown';
    }
    if (told?.run === 'not_run' && stopsAfterRefusal && !mayHaveRun) {
      return 'notRun';
    }
    mayHaveRun ||= told?.run !== 'not_run';
    await sleep(pauseOf(told));
  }
  oracle.violate('unanswered', `call with key ${key}`);
  return 'unanswered';
}

/**
 * Makes one idempotent lookup until it is answered, and checks that the answer is its own.
 *
 * @param options - team, call, balancer and oracle
 */
export async function callLookup(options: ServiceCallerOptions): Promise<void> {
  const { oracle } = options;
  const id = randomUUID();
  const path = options.path.replace('ID', id);
  const startedMs = performance.now();
  while (performance.now() - startedMs < options.giveUpMs) {
    const answer = await send(options, 'GET', path);
    if (answer.kind === 'answered' && answer.status < 300) {
      oracle.count('lookupChecked');
      if (!answer.body.includes(id)) {
        oracle.violate('crossedAnswer', `lookup ${id} got ${answer.body}`);
      }
      return;
    }
    const told = answer.kind === 'answered' ? refusalOf(answer.body) : undefined;
    oracle.count(`lookup ${told?.name ?? 'broken'}`);
    await sleep(pauseOf(told));
  }
  oracle.violate('unanswered', `lookup ${id}`);
}

function send(
  options: ServiceCallerOptions,
  method: 'GET' | 'POST',
  path: string,
  idempotencyKey?: string,
): Promise<ServiceAnswer> {
  return callService({
    apiKey: options.apiKey,
    ...(idempotencyKey === undefined ? {} : { body: JSON.stringify({ key: idempotencyKey }) }),
    ...(idempotencyKey === undefined ? {} : { idempotencyKey }),
    idleLimitMs: IDLE_LIMIT_MS,
    method,
    path,
    router: options.balancer(),
    service: options.service,
  });
}

function checkOwnAnswer(oracle: FaultsOracle, body: string, key: string): void {
  oracle.count('onceAnswered');
  if (!body.includes(key)) {
    oracle.violate('crossedAnswer', `call with key ${key} got ${body}`);
  }
}

function refusalOf(body: string): RefusalBody['error'] | undefined {
  try {
    const { error } = JSON.parse(body) as Partial<RefusalBody>;
    return typeof error === 'object' ? error : undefined;
  } catch {
    return undefined;
  }
}

function pauseOf(told: RefusalBody['error'] | undefined): number {
  return Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, told?.retryAfterMs ?? 0));
}
