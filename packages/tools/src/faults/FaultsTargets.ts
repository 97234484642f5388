import { setTimeout as sleep } from 'node:timers/promises';
import type { MemberRole } from '@laburnumgap/kernel';
import type { Deployment } from '../deployment/Deployment.js';
import type { EntryVmSpec } from '../deployment/DeploymentOptions.js';
import type { FaultsOracle } from './FaultsOracle.js';
import type { FaultsRandom } from './FaultsRandom.js';

/** Shared state of the faults of a run. */
export interface FaultContext {
  /** Entry VMs, stand-ins and failure domains that a fault is using; other faults skip them. */
  readonly busy: Set<string>;
  readonly deployment: Deployment;
  readonly oracle: FaultsOracle;
  readonly random: FaultsRandom;
}

/** Injects a fault; a fault that lasts for some time ends before the promise resolves. */
export type FaultCase = (context: FaultContext) => Promise<void>;

/** Shortest and longest time for which a temporary fault stays armed. */
const MIN_FAULT_MS = 500;
const MAX_FAULT_MS = 8_000;

/** Picks a target and reserves it for the fault; skips the fault if the target is reserved. */
export async function withTarget<Target extends { readonly name: string }>(
  { busy, oracle, random }: FaultContext,
  targets: readonly Target[],
  use: (target: Target) => Promise<void>,
): Promise<void> {
  const target = random.pick(targets);
  if (busy.has(target.name)) {
    oracle.count('fault skipped: target busy');
    return;
  }
  busy.add(target.name);
  try {
    await use(target);
  } finally {
    busy.delete(target.name);
  }
}

/** Shuts a daemon down gracefully and checks its exit code. */
export async function terminateDaemon(
  deployment: Deployment,
  oracle: FaultsOracle,
  role: MemberRole,
  vm: EntryVmSpec,
): Promise<void> {
  const daemon = deployment.daemons.get(`${role}-${vm.name}`);
  daemon?.kill('SIGCONT');
  daemon?.kill('SIGTERM');
  const exit = await daemon?.exited;
  oracle.count('gracefulShutdownChecked');
  if (exit && exit.code !== 0 && exit.signal !== 'SIGKILL') {
    oracle.recordViolation('exitCode', `${daemon?.name ?? ''} ended with ${JSON.stringify(exit)}`);
  }
}

/** Kills a stand-in and waits until it has exited. */
export async function killStandin(deployment: Deployment, name: string): Promise<void> {
  const standin = deployment.standins.get(name);
  standin?.kill('SIGKILL');
  await standin?.exited;
}

/** Kills a daemon and waits until it has exited. */
export async function killDaemon(
  deployment: Deployment,
  role: MemberRole,
  vm: EntryVmSpec,
): Promise<void> {
  const daemon = deployment.daemons.get(`${role}-${vm.name}`);
  daemon?.kill('SIGKILL');
  await daemon?.exited;
}

/** Suspends a stand-in with SIGSTOP for a random time, then resumes it. */
export function freezeStandin(
  context: FaultContext,
  name: string,
  minMs: number,
  maxMs: number,
): Promise<void> {
  const { deployment, random } = context;
  return withTarget(context, [{ name }], async () => {
    const standin = deployment.standins.get(name);
    standin?.kill('SIGSTOP');
    await sleep(random.int(minMs, maxMs));
    standin?.kill('SIGCONT');
  });
}

/** Delays the answers of a stand-in for a random time. */
export function slowStandin(context: FaultContext, name: string): Promise<void> {
  const { deployment, random } = context;
  return withTarget(context, [{ name }], async () => {
    await deployment.fault(name, { delayMs: random.int(100, 1_500), kind: 'slow' });
    await sleep(random.int(1_000, 6_000));
    await deployment.fault(name, { delayMs: 0, kind: 'slow' });
  });
}

/** Injects a fault that has no end, such as one that closes the connections open at the time. */
export function injectFault(
  context: FaultContext,
  name: string,
  fault: Readonly<Record<string, unknown>>,
): Promise<void> {
  return withTarget(context, [{ name }], () => context.deployment.fault(name, fault));
}

/**
 * Injects a fault that stays armed until calls have used it up, and clears what is left of it after
 * a random time. Otherwise it would hit calls after the end of the faults, such as the harness's own.
 */
export function injectTemporaryFault(
  context: FaultContext,
  name: string,
  fault: Readonly<Record<string, unknown>>,
): Promise<void> {
  const { deployment, random } = context;
  return withTarget(context, [{ name }], async () => {
    await deployment.fault(name, fault);
    await sleep(random.int(MIN_FAULT_MS, MAX_FAULT_MS));
    await deployment.fault(name, { kind: 'clear' });
  });
}

/** Returns the name of a random engine. */
export function pickEngine({ deployment, random }: FaultContext): string {
  return random.pick(deployment.options.engines).name;
}

/** Returns the name of a random backend server of the service. */
export function pickService({ deployment, random }: FaultContext): string {
  return random.pick(deployment.options.services).name;
}
