import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { v7 } from 'uuid';
import type { RefusalBody, ServiceAnswer } from '../deployment/DeploymentCaller.js';
import { callService } from '../deployment/DeploymentCaller.js';
import type { FaultsOracle } from './FaultsOracle.js';
import type { FaultsRandom } from './FaultsRandom.js';

/** Options of {@link callAtMostOnce} and {@link callLookup}. */
export interface ServiceCallerOptions {
  readonly apiKey: string;
  /** Time after which the caller stops retrying. */
  readonly giveUpAfterMs: number;
  readonly oracle: FaultsOracle;
  /** Path of the call; lookups replace `ID` in it by a new id. */
  readonly path: string;
  /** Picks a running router, as the load balancer does; returns HOST:PORT. */
  readonly pickRouter: () => string;
  readonly random: FaultsRandom;
  readonly service: string;
}

/** Last outcome that the caller of an at-most-once call received. */
export type AtMostOnceOutcome = 'answered' | 'failed' | 'notRun' | 'unanswered' | 'unknown';

/** An at-most-once call, to be compared with the effects that the service stand-ins counted. */
export interface AtMostOnceRecord {
  readonly key: string;
  readonly outcome: AtMostOnceOutcome;
}

const IDLE_TIMEOUT_MS = 15_000;
const MAX_RETRY_DELAY_MS = 2_000;
const MIN_RETRY_DELAY_MS = 100;
const GIVE_UP_ON_REFUSAL_SHARE = 0.3;
const DUPLICATE_CALL_SHARE = 0.3;

/**
 * Makes one at-most-once call, sometimes through two routers concurrently, and retries with the same
 * key until its outcome is known. A share of the callers treats a refusal as final, so that a call
 * that ran although it was refused shows as an effect.
 *
 * @param options - team, call, router selection and oracle
 * @returns the key and the last outcome received
 */
export async function callAtMostOnce(options: ServiceCallerOptions): Promise<AtMostOnceRecord> {
  const { oracle, random } = options;
  const key = v7();
  const givesUpOnRefusal = random.chance(GIVE_UP_ON_REFUSAL_SHARE);
  if (!givesUpOnRefusal && random.chance(DUPLICATE_CALL_SHARE)) {
    oracle.count('onceCalledTwice');
    const outcomes = await Promise.all([
      callUntilOutcomeKnown(options, key, false),
      callUntilOutcomeKnown(options, key, false),
    ]);
    return { key, outcome: outcomes.includes('answered') ? 'answered' : outcomes[0] };
  }
  return { key, outcome: await callUntilOutcomeKnown(options, key, givesUpOnRefusal) };
}

async function callUntilOutcomeKnown(
  options: ServiceCallerOptions,
  key: string,
  givesUpOnRefusal: boolean,
): Promise<AtMostOnceOutcome> {
  const { oracle } = options;
  const startedMs = performance.now();
  let mayHaveRun = false;
  while (performance.now() - startedMs < options.giveUpAfterMs) {
    const answer = await send(options, 'POST', options.path, key);
    oracle.count('onceAnswerChecked');
    if (answer.kind === 'answered' && answer.status < 300) {
      checkOwnAnswer(oracle, answer.body, key);
      return 'answered';
    }
    const refusal = answer.kind === 'answered' ? refusalOf(answer.body) : undefined;
    if (answer.kind === 'answered' && !refusal) {
      oracle.count(`once answered ${answer.status} by the service`);
      return 'failed';
    }
    oracle.count(`once ${refusal?.name ?? 'broken'}`);
    if (refusal?.name === 'OUTCOME_UNKNOWN') {
      return 'unknown';
    }
    if (refusal?.run === 'not_run' && givesUpOnRefusal && !mayHaveRun) {
      return 'notRun';
    }
    mayHaveRun ||= refusal?.run !== 'not_run';
    await sleep(retryDelayMsOf(refusal));
  }
  oracle.recordViolation('unanswered', `call with key ${key}`);
  return 'unanswered';
}

/**
 * Retries one idempotent lookup until it is answered and checks that the answer belongs to it.
 *
 * @param options - team, call, router selection and oracle
 */
export async function callLookup(options: ServiceCallerOptions): Promise<void> {
  const { oracle } = options;
  const id = randomUUID();
  const path = options.path.replace('ID', id);
  const startedMs = performance.now();
  while (performance.now() - startedMs < options.giveUpAfterMs) {
    const answer = await send(options, 'GET', path);
    if (answer.kind === 'answered' && answer.status < 300) {
      oracle.count('lookupChecked');
      if (!answer.body.includes(id)) {
        oracle.recordViolation('crossedAnswer', `lookup ${id} got ${answer.body}`);
      }
      return;
    }
    const refusal = answer.kind === 'answered' ? refusalOf(answer.body) : undefined;
    oracle.count(`lookup ${refusal?.name ?? 'broken'}`);
    await sleep(retryDelayMsOf(refusal));
  }
  oracle.recordViolation('unanswered', `lookup ${id}`);
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
    idleTimeoutMs: IDLE_TIMEOUT_MS,
    method,
    path,
    router: options.pickRouter(),
    service: options.service,
  });
}

function checkOwnAnswer(oracle: FaultsOracle, body: string, key: string): void {
  oracle.count('onceAnswered');
  if (!body.includes(key)) {
    oracle.recordViolation('crossedAnswer', `call with key ${key} got ${body}`);
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

function retryDelayMsOf(refusal: RefusalBody['error'] | undefined): number {
  return Math.min(MAX_RETRY_DELAY_MS, Math.max(MIN_RETRY_DELAY_MS, refusal?.retryAfterMs ?? 0));
}
