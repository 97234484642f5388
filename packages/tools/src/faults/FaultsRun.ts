import { setTimeout as sleep } from 'node:timers/promises';
import { Deployment } from '../deployment/Deployment.js';
import { watchConfiguration } from './FaultsConfiguration.js';
import type { Firm, FirmName } from './FaultsFirms.js';
import { exampleKey, loadFirm } from './FaultsFirms.js';
import { callGeneration, callWholeGeneration } from './FaultsGenerationCaller.js';
import { FAULT_CASES } from './FaultsInjector.js';
import { FaultsOracle } from './FaultsOracle.js';
import type { FaultsRandom } from './FaultsRandom.js';
import { createFaultsRandom } from './FaultsRandom.js';
import type { OnceRecord } from './FaultsServiceCaller.js';
import { callLookup, callOnce } from './FaultsServiceCaller.js';
import type { FaultContext } from './FaultsTargets.js';

/** Options of {@link runFaults}. */
export interface FaultsRunOptions {
  /** Names of the cases to draw from; all by default. */
  readonly cases?: readonly string[];
  readonly durationMs: number;
  readonly firm: FirmName;
  /** Where the daemons' logs are written; nowhere without it. */
  readonly logFolder?: string;
  readonly seed: number;
}

const GENERATION_CALLERS = 12;
const ONCE_CALLERS = 6;
const LOOKUP_CALLERS = 4;
const GIVE_UP_MS = 60_000;
const ANSWER_IN_PAUSE_MS = 200;
const LEAST_FAULT_PAUSE_MS = 300;
const MOST_FAULT_PAUSE_MS = 2_500;
const FAULTS_AT_ONCE = 2;
/** Share of generations that are not streamed. */
const WHOLE_SHARE = 0.2;

/**
 * Runs a firm's deployment as processes under load and random faults, and checks every answer.
 *
 * @param options - firm, seed and duration
 * @returns the oracle with counts and violations
 */
export async function runFaults(options: FaultsRunOptions): Promise<FaultsOracle> {
  const firm = await loadFirm(options.firm);
  const oracle = new FaultsOracle();
  const deployment = new Deployment(firm.deployment);
  try {
    await deployment.start();
    await runUnderFaults(options, firm, deployment, oracle);
  } finally {
    if (options.logFolder !== undefined) {
      await deployment.writeLogs(options.logFolder);
    }
    await deployment.kill();
  }
  return oracle;
}

async function runUnderFaults(
  options: FaultsRunOptions,
  firm: Firm,
  deployment: Deployment,
  oracle: FaultsOracle,
): Promise<void> {
  const random = createFaultsRandom(options.seed);
  const records: OnceRecord[] = [];
  const configuration = watchConfiguration(deployment, oracle);
  const untilMs = performance.now() + options.durationMs;
  const callers = startCallers(firm, deployment, oracle, random, records, untilMs);
  await injectFaults({ busy: new Set(), deployment, oracle, random }, options.cases, untilMs);
  await Promise.all(callers);
  await deployment.waitUntilReady();
  const revision = await deployment.putContract(firm.deployment.contracts[0] ?? '');
  await configuration.checkInForce(revision);
  configuration.stop();
  await checkEffects(firm, deployment, oracle, records);
  for (const [name, code] of await deployment.stop()) {
    oracle.count('gracefulShutdownChecked');
    if (code !== 0) {
      oracle.violate('exitCode', `${name} ended with ${code ?? 'a signal'}`);
    }
  }
}

function startCallers(
  firm: Firm,
  deployment: Deployment,
  oracle: FaultsOracle,
  random: FaultsRandom,
  records: OnceRecord[],
  untilMs: number,
): readonly Promise<void>[] {
  const balancer = (): string => random.pick(deployment.routers()).address;
  const base = { balancer, giveUpMs: GIVE_UP_MS, oracle, random };
  const keyOf = (team: string): string => exampleKey(firm.name, team);
  const repeat = async (call: () => Promise<void>): Promise<void> => {
    while (performance.now() < untilMs) {
      await call();
      await sleep(random.int(0, ANSWER_IN_PAUSE_MS));
    }
  };
  const generation = (): Promise<void> => {
    const { maxTokens, model, team } = random.pick(firm.generations);
    const { outputRange } = firm;
    const call = random.chance(WHOLE_SHARE) ? callWholeGeneration : callGeneration;
    return call({ ...base, apiKey: keyOf(team), maxTokens, model, outputRange });
  };
  const { lookup, once, service } = firm;
  const onceCall = async (): Promise<void> => {
    records.push(await callOnce({ ...base, ...once, apiKey: keyOf(once.team), service }));
  };
  const lookupCall = (): Promise<void> =>
    callLookup({ ...base, ...lookup, apiKey: keyOf(lookup.team), service });
  return [
    ...Array.from({ length: GENERATION_CALLERS }, () => repeat(generation)),
    ...Array.from({ length: ONCE_CALLERS }, () => repeat(onceCall)),
    ...Array.from({ length: LOOKUP_CALLERS }, () => repeat(lookupCall)),
  ];
}

async function injectFaults(
  context: FaultContext,
  cases: readonly string[] = Object.keys(FAULT_CASES),
  untilMs: number,
): Promise<void> {
  const { oracle, random } = context;
  const lane = async (): Promise<void> => {
    while (performance.now() < untilMs) {
      await sleep(random.int(LEAST_FAULT_PAUSE_MS, MOST_FAULT_PAUSE_MS));
      const name = random.pick(cases);
      oracle.count(`fault: ${name}`);
      await FAULT_CASES[name]?.(context);
    }
  };
  await Promise.all(Array.from({ length: FAULTS_AT_ONCE }, lane));
}

async function checkEffects(
  firm: Firm,
  deployment: Deployment,
  oracle: FaultsOracle,
  records: readonly OnceRecord[],
): Promise<void> {
  const effects = await effectsByKey(firm, deployment);
  for (const { key, outcome } of records) {
    const count = effects.get(key) ?? 0;
    oracle.count(`onceChecked ${outcome}`);
    if (count > 1) {
      oracle.violate('moreThanOneEffect', `key ${key} has ${count} effects`);
    }
    if (outcome === 'notRun' && count > 0) {
      oracle.violate('refusalRan', `key ${key} was refused as not run and has ${count} effects`);
    }
    if (outcome === 'answered' && count === 0) {
      oracle.violate('answerLost', `key ${key} was answered without an effect`);
    }
  }
}

async function effectsByKey(
  firm: Firm,
  deployment: Deployment,
): Promise<ReadonlyMap<string, number>> {
  const effects = new Map<string, number>();
  for (const { name } of firm.deployment.services) {
    const { byKey } = (await deployment.read(name, '/control/effects')) as {
      byKey: Record<string, number>;
    };
    for (const [key, count] of Object.entries(byKey)) {
      effects.set(key, (effects.get(key) ?? 0) + count);
    }
  }
  return effects;
}
