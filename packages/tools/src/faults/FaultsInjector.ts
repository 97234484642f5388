import { setTimeout as sleep } from 'node:timers/promises';
import type { MemberRole } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import { STOP_PREFIX, TOMBSTONE_TEXT } from '@laburnumgap/contracts';
import { stringify } from 'yaml';
import type { Deployment } from '../deployment/Deployment.js';
import type { EngineSpec, EntryVmSpec } from '../deployment/DeploymentOptions.js';
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

/** Time within which a server that is to leave may still get new work. */
const LEAVING_BOUND_MS = 3_000;

/** A request has homes in three failure domains: with all three lost at once its place is lost. */
const MOST_DOMAINS_DOWN = 2;

const DOMAIN_LOCK_PREFIX = 'failure domain ';

/** Time in which routers write their records again after the set of schedulers has changed. */
const HOMES_REFRESH_MS = 5_000;

const ROLES: readonly MemberRole[] = ['ledger', 'router', 'scheduler'];

/** Picks what no other fault works on, and holds it while the fault lasts. */
async function withTarget<Target extends { readonly name: string }>(
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

/** The faults of a run, by name. */
export const FAULT_CASES: Readonly<Record<string, FaultCase>> = {
  'daemon frozen': (context) => {
    const { deployment, random } = context;
    return withTarget(context, deployment.options.entryVms, async (vm) => {
      const daemon = deployment.daemons.get(`${random.pick(ROLES)}-${vm.name}`);
      daemon?.kill('SIGSTOP');
      await sleep(random.int(1_000, 12_000));
      daemon?.kill('SIGCONT');
    });
  },
  'daemon killed': (context) => {
    const { deployment, random } = context;
    return withTarget(context, deployment.options.entryVms, async (vm) => {
      const role = random.pick(ROLES);
      await killDaemon(deployment, role, vm);
      await sleep(random.int(0, 4_000));
      await deployment.startDaemon(role, vm);
    });
  },
  'engine frozen': (context) => freezeStandin(context, pickEngine(context), 1_000, 9_000),
  'engine killed': (context) => {
    const { deployment, random } = context;
    return withTarget(context, deployment.options.engines, async (engine) => {
      await killStandin(deployment, engine.name);
      await sleep(random.int(500, 5_000));
      await deployment.startEngine(engine);
      await deployment.publishVms();
    });
  },
  'engine killed in the middle of an answer': (context) => {
    const { deployment, random } = context;
    return withTarget(context, deployment.options.engines, async (engine) => {
      const exited = deployment.standins.get(engine.name)?.exited;
      await deployment.fault(engine.name, { afterTokens: random.int(0, 40), kind: 'kill' });
      await Promise.race([exited, sleep(5_000)]);
      await killStandin(deployment, engine.name);
      await deployment.startEngine(engine);
      await deployment.publishVms();
    });
  },
  'engine preempts': (context) =>
    order(context, pickEngine(context), {
      afterTokens: context.random.int(1, 100),
      kind: 'preempt',
    }),
  'engine reclaimed at short notice': (context) => {
    const { deployment, random } = context;
    return withTarget(context, deployment.options.engines, async (engine) => {
      await deployment.fault(engine.name, { kind: 'reclaim' });
      await sleep(random.int(500, 4_000));
      await killStandin(deployment, engine.name);
      await deployment.setVmState(engine.name, 'gone');
      await sleep(random.int(1_000, 4_000));
      await deployment.startEngine(engine);
      await deployment.publishVms();
    });
  },
  'engine silent on open connections': (context) =>
    order(context, pickEngine(context), { kind: 'silent' }),
  'engine slow': (context) => slow(context, pickEngine(context)),
  'entry VM replaced': (context) => {
    const { deployment, oracle } = context;
    return withTarget(context, deployment.options.entryVms, async (vm) => {
      await Promise.all(ROLES.map((role) => terminate(deployment, oracle, role, vm)));
      await deployment.startEntryVm(vm);
    });
  },
  'failure domain of entry VMs killed': killFailureDomain,
  'operators race': raceOperators,
  'platform frozen': (context) => freezeStandin(context, 'platform', 500, 8_000),
  'platform loses answers': (context) =>
    order(context, 'platform', {
      count: context.random.int(1, 6),
      kind: 'loseAnswer',
      path: '/v3/kv/txn',
    }),
  'platform refuses': (context) => {
    const { deployment, random } = context;
    return withTarget(context, [{ name: 'platform' }], async () => {
      await deployment.fault('platform', { kind: 'refuse' });
      await sleep(random.int(500, 8_000));
      await deployment.fault('platform', { kind: 'clear' });
    });
  },
  'platform silent on open connections': (context) =>
    order(context, 'platform', { kind: 'silent' }),
  'platform slow': (context) => slow(context, 'platform'),
  'server stopped by plan': stopServerByPlan,
  'service loses answers': (context) =>
    order(context, pickService(context), {
      count: context.random.int(1, 5),
      kind: 'loseAnswer',
    }),
  'service refuses': (context) =>
    order(context, pickService(context), {
      count: context.random.int(1, 20),
      kind: 'refuse',
    }),
  'service silent on open connections': (context) =>
    order(context, pickService(context), { kind: 'silent' }),
  'service slow': (context) => slow(context, pickService(context)),
  'VM list frozen': (context) => freezeStandin(context, 'vms', 500, 8_000),
};

async function killFailureDomain(context: FaultContext): Promise<void> {
  const { busy, deployment, oracle, random } = context;
  const domain = random.pick(deployment.options.entryVms).failureDomain;
  const vms = deployment.options.entryVms.filter((vm) => vm.failureDomain === domain);
  const isLast = domainsDown(context) >= MOST_DOMAINS_DOWN;
  if (isLast || vms.some((vm) => busy.has(vm.name))) {
    oracle.count('fault skipped: target busy');
    return;
  }
  busy.add(lockOf(domain));
  vms.forEach((vm) => busy.add(vm.name));
  await Promise.all(vms.flatMap((vm) => ROLES.map((role) => killDaemon(deployment, role, vm))));
  await sleep(random.int(1_000, 5_000));
  await Promise.all(vms.map((vm) => deployment.startEntryVm(vm)));
  await sleep(HOMES_REFRESH_MS);
  vms.forEach((vm) => busy.delete(vm.name));
  busy.delete(lockOf(domain));
}

/** Two operators change one contract under the same expected revision: one of them may win. */
async function raceOperators(context: FaultContext): Promise<void> {
  const { deployment, oracle, random } = context;
  const contract = random.pick(deployment.options.contracts);
  const fates = await Promise.all([
    deployment.tryContract(contract),
    deployment.tryContract(contract),
  ]);
  oracle.count('operatorRaceChecked');
  if (fates.filter((fate) => fate === 'accepted').length > 1) {
    oracle.violate('bothOperatorsAccepted', contract.slice(0, 80));
  }
}

function lockOf(domain: string): string {
  return `${DOMAIN_LOCK_PREFIX}${domain}`;
}

function domainsDown({ busy }: FaultContext): number {
  return [...busy].filter((name) => name.startsWith(DOMAIN_LOCK_PREFIX)).length;
}

function stopServerByPlan(context: FaultContext): Promise<void> {
  return withTarget(context, context.deployment.options.engines, (engine) =>
    stopEngineByPlan(context, engine),
  );
}

async function stopEngineByPlan(context: FaultContext, engine: EngineSpec): Promise<void> {
  const { deployment, oracle, random } = context;
  const id = `stop-${engine.name}-${random.int(1, 1_000_000)}`;
  const startEpochMs = Date.now();
  const key = `${STOP_PREFIX}${id}`;
  const stop = {
    deadlineEpochMs: startEpochMs + 600_000,
    id,
    startEpochMs,
    target: { kind: 'server', serverId: engine.name },
  };
  const planned = await deployment.store.commit({
    guards: [{ key, modRevision: toNumberId(0) }],
    writes: [{ key, kind: 'put', value: stringify(stop) }],
  });
  if (!planned.ok) {
    oracle.count(`stop not planned: ${planned.error.kind}`);
    return;
  }
  const plannedEpochMs = Date.now();
  await sleep(LEAVING_BOUND_MS + random.int(1_000, 4_000));
  checkNoWorkAfterStop(context, engine.name, plannedEpochMs + LEAVING_BOUND_MS, Date.now());
  await cancelStop(context, key);
}

async function cancelStop({ deployment }: FaultContext, key: string): Promise<void> {
  for (;;) {
    const current = await deployment.store.read(key);
    const cancelled =
      current.ok &&
      current.value &&
      (await deployment.store.commit({
        guards: [{ key, modRevision: current.value.modRevision }],
        writes: [{ key, kind: 'put', value: TOMBSTONE_TEXT }],
      }));
    if (cancelled && cancelled.ok) {
      return;
    }
    await sleep(500);
  }
}

/** Looks for routing decisions that sent new work to a server that has left. */
function checkNoWorkAfterStop(
  { deployment, oracle }: FaultContext,
  engineId: string,
  fromEpochMs: number,
  toEpochMs: number,
): void {
  oracle.count('plannedStopChecked');
  const late = deployment.linesWhere((line) => {
    const atEpochMs = Date.parse(line.time ?? '');
    return (
      line.event === 'decision' &&
      line.decision === 'route' &&
      line.engineId === engineId &&
      atEpochMs > fromEpochMs &&
      atEpochMs < toEpochMs
    );
  });
  for (const line of late) {
    oracle.violate('workAfterStop', `${engineId}: ${JSON.stringify(line)}`);
  }
}

async function terminate(
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

async function killStandin(deployment: Deployment, name: string): Promise<void> {
  const standin = deployment.standins.get(name);
  standin?.kill('SIGKILL');
  await standin?.exited;
}

async function killDaemon(
  deployment: Deployment,
  role: MemberRole,
  vm: EntryVmSpec,
): Promise<void> {
  const daemon = deployment.daemons.get(`${role}-${vm.name}`);
  daemon?.kill('SIGKILL');
  await daemon?.exited;
}

function freezeStandin(
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

function slow(context: FaultContext, name: string): Promise<void> {
  const { deployment, random } = context;
  return withTarget(context, [{ name }], async () => {
    await deployment.fault(name, { delayMs: random.int(100, 1_500), kind: 'slow' });
    await sleep(random.int(1_000, 6_000));
    await deployment.fault(name, { delayMs: 0, kind: 'slow' });
  });
}

/** Orders a fault that lasts no time of its own, unless another fault works on the stand-in. */
function order(
  context: FaultContext,
  name: string,
  fault: Readonly<Record<string, unknown>>,
): Promise<void> {
  return withTarget(context, [{ name }], () => context.deployment.fault(name, fault));
}

function pickEngine({ deployment, random }: FaultContext): string {
  return random.pick(deployment.options.engines).name;
}

function pickService({ deployment, random }: FaultContext): string {
  return random.pick(deployment.options.services).name;
}
