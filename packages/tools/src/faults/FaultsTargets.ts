import { setTimeout as sleep } from 'node:timers/promises';
import type { MemberRole } from '@laburnumgap/kernel';
import type { Deployment } from '../deployment/Deployment.js';
import type { EntryVmSpec } from '../deployment/DeploymentOptions.js';
import type { FaultsOracle } from './FaultsOracle.js';
import type { FaultsRandom } from './FaultsRandom.js';

/** What a fault works with. */
export interface FaultContext {
  /** Entry VMs and stand-ins that a fault works on now; another one leaves them alone. */
  readonly busy: Set<string>;
  readonly deployment: Deployment;
  readonly oracle: FaultsOracle;
  readonly random: FaultsRandom;
}

/** Brings a fault about and ends it before it resolves. */
export type FaultCase = (context: FaultContext) => Promise<void>;

/** Picks what no other fault works on, and holds it while the fault lasts. */
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

/** Ends a daemon gracefully and checks its exit code. */
export async function terminate(
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
    oracle.violate('exitCode', `${daemon?.name ?? ''} ended with ${JSON.stringify(exit)}`);
  }
}

/** Kills a stand-in and waits until it is gone. */
export async function killStandin(deployment: Deployment, name: string): Promise<void> {
  const standin = deployment.standins.get(name);
  standin?.kill('SIGKILL');
  await standin?.exited;
}

/** Kills a daemon and waits until it is gone. */
export async function killDaemon(
  deployment: Deployment,
  role: MemberRole,
  vm: EntryVmSpec,
): Promise<void> {
  const daemon = deployment.daemons.get(`${role}-${vm.name}`);
  daemon?.kill('SIGKILL');
  await daemon?.exited;
}

/** Stops a stand-in for a time without ending it. */
export function freezeStandin(
  context: FaultContext,
  name: string,
  leastMs: number,
  mostMs: number,
): Promise<void> {
  const { deployment, random } = context;
  return withTarget(context, [{ name }], async () => {
    const standin = deployment.standins.get(name);
    standin?.kill('SIGSTOP');
    await sleep(random.int(leastMs, mostMs));
    standin?.kill('SIGCONT');
  });
}

/** Delays the answers of a stand-in for a time. */
export function slow(context: FaultContext, name: string): Promise<void> {
  const { deployment, random } = context;
  return withTarget(context, [{ name }], async () => {
    await deployment.fault(name, { delayMs: random.int(100, 1_500), kind: 'slow' });
    await sleep(random.int(1_000, 6_000));
    await deployment.fault(name, { delayMs: 0, kind: 'slow' });
  });
}

/** Orders a fault that lasts no time of its own, unless another fault works on the stand-in. */
export function order(
  context: FaultContext,
  name: string,
  fault: Readonly<Record<string, unknown>>,
): Promise<void> {
  return withTarget(context, [{ name }], () => context.deployment.fault(name, fault));
}

/** Name of a drawn engine. */
export function pickEngine({ deployment, random }: FaultContext): string {
  return random.pick(deployment.options.engines).name;
}

/** Name of a drawn server of the plain service. */
export function pickService({ deployment, random }: FaultContext): string {
  return random.pick(deployment.options.services).name;
}
