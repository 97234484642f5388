import { setTimeout as sleep } from 'node:timers/promises';
import { Deployment } from '../deployment/Deployment.js';
import { watchConfiguration } from './FaultsConfiguration.js';
import type { Firm, FirmName } from './FaultsFirms.js';
import { exampleKey, loadFirm } from './FaultsFirms.js';
import { callStreamedGeneration, callUnstreamedGeneration } from './FaultsGenerationCaller.js';
import { FAULT_CASES } from './FaultsInjector.js';
import { FaultsOracle } from './FaultsOracle.js';
import type { FaultsRandom } from './FaultsRandom.js';
import { createFaultsRandom } from './FaultsRandom.js';
import type { AtMostOnceRecord } from './FaultsServiceCaller.js';
import { callLookup, callAtMostOnce } from './FaultsServiceCaller.js';
import type { FaultContext } from './FaultsTargets.js';

/** Options of {@link runFaults}. */
export interface FaultsRunOptions {
  /** Names of the fault cases to choose from; all by default. */
  readonly cases?: readonly string[];
  readonly durationMs: number;
  readonly firm: FirmName;
  /** Folder for the daemons' logs; without it they are not written. */
  readonly logFolder?: string;
  readonly seed: number;
}

const GENERATION_CALLERS = 12;
const AT_MOST_ONCE_CALLERS = 6;
const LOOKUP_CALLERS = 4;
const GIVE_UP_AFTER_MS = 60_000;
const MAX_CALL_PAUSE_MS = 200;
const MIN_FAULT_PAUSE_MS = 300;
const MAX_FAULT_PAUSE_MS = 2_500;
const CONCURRENT_FAULTS = 2;
/** Share of generation requests that are not streamed. */
const UNSTREAMED_SHARE = 0.2;

/**
 * Runs a firm's deployment as processes under load and random faults and checks every answer.
 *
 * @param options - firm, seed and duration
 * @returns the oracle with the counted checks and the violations
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
  const records: AtMostOnceRecord[] = [];
  const configuration = watchConfiguration(deployment, oracle);
  const endMs = performance.now() + options.durationMs;
  const callers = startCallers(firm, deployment, oracle, random, records, endMs);
  await injectFaults({ busy: new Set(), deployment, oracle, random }, options.cases, endMs);
  await Promise.all(callers);
  await deployment.waitUntilReady();
  const revision = await deployment.putContract(firm.deployment.contracts[0] ?? '');
  await configuration.checkInForce(revision);
  configuration.stop();
  await checkEffectCounts(firm, deployment, oracle, records);
  for (const [name, code] of await deployment.stop()) {
    oracle.count('gracefulShutdownChecked');
    if (code !== 0) {
      oracle.recordViolation('exitCode', `${name} ended with ${code ?? 'a signal'}`);
    }
  }
}

function startCallers(
  firm: Firm,
  deployment: Deployment,
  oracle: FaultsOracle,
  random: FaultsRandom,
  records: AtMostOnceRecord[],
  endMs: number,
): readonly Promise<void>[] {
  const pickRouter = (): string => random.pick(deployment.routers()).address;
  const base = { pickRouter, giveUpAfterMs: GIVE_UP_AFTER_MS, oracle, random };
  const apiKeyOf = (team: string): string => exampleKey(firm.name, team);
  const repeat = async (call: () => Promise<void>): Promise<void> => {
    while (performance.now() < endMs) {
      await call();
      await sleep(random.int(0, MAX_CALL_PAUSE_MS));
    }
  };
  const makeGenerationCall = (): Promise<void> => {
    const { maxTokens, model, team } = random.pick(firm.generations);
    const { outputRange } = firm;
    const call = random.chance(UNSTREAMED_SHARE)
      ? callUnstreamedGeneration
      : callStreamedGeneration;
    return call({ ...base, apiKey: apiKeyOf(team), maxTokens, model, outputRange });
  };
  const { atMostOnceCall, lookup, service } = firm;
  const makeAtMostOnceCall = async (): Promise<void> => {
    records.push(
      await callAtMostOnce({
        ...base,
        ...atMostOnceCall,
        apiKey: apiKeyOf(atMostOnceCall.team),
        service,
      }),
    );
  };
  const makeLookupCall = (): Promise<void> =>
    callLookup({ ...base, ...lookup, apiKey: apiKeyOf(lookup.team), service });
  return [
    ...Array.from({ length: GENERATION_CALLERS }, () => repeat(makeGenerationCall)),
    ...Array.from({ length: AT_MOST_ONCE_CALLERS }, () => repeat(makeAtMostOnceCall)),
    ...Array.from({ length: LOOKUP_CALLERS }, () => repeat(makeLookupCall)),
  ];
}

async function injectFaults(
  context: FaultContext,
  cases: readonly string[] = Object.keys(FAULT_CASES),
  endMs: number,
): Promise<void> {
  const { oracle, random } = context;
  const injectOneByOne = async (): Promise<void> => {
    while (performance.now() < endMs) {
      await sleep(random.int(MIN_FAULT_PAUSE_MS, MAX_FAULT_PAUSE_MS));
      const name = random.pick(cases);
      oracle.count(`fault: ${name}`);
      await FAULT_CASES[name]?.(context);
    }
  };
  await Promise.all(Array.from({ length: CONCURRENT_FAULTS }, injectOneByOne));
}

async function checkEffectCounts(
  firm: Firm,
  deployment: Deployment,
  oracle: FaultsOracle,
  records: readonly AtMostOnceRecord[],
): Promise<void> {
  const effects = await effectsByKey(firm, deployment);
  for (const { key, outcome } of records) {
    const count = effects.get(key) ?? 0;
    oracle.count(`onceChecked ${outcome}`);
    if (count > 1) {
      oracle.recordViolation('moreThanOneEffect', `key ${key} has ${count} effects`);
    }
    if (outcome === 'notRun' && count > 0) {
      oracle.recordViolation(
        'refusalRan',
        `key ${key} was refused as not run and has ${count} effects`,
      );
    }
    if (outcome === 'answered' && count === 0) {
      oracle.recordViolation('answerLost', `key ${key} was answered without an effect`);
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
