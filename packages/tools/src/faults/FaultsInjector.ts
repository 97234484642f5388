import { setTimeout as sleep } from 'node:timers/promises';
import type { MemberRole } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import { STOP_PREFIX, TOMBSTONE_TEXT } from '@laburnumgap/contracts';
import { stringify } from 'yaml';
import type { Deployment, EntryVmSpec } from '../deployment/Deployment.js';
import type { FaultsOracle } from './FaultsOracle.js';
import type { FaultsRandom } from './FaultsRandom.js';

/** What a fault works with. */
export interface FaultContext {
  readonly deployment: Deployment;
  readonly oracle: FaultsOracle;
  readonly random: FaultsRandom;
}

/** Brings a fault about and ends it before it resolves. */
export type FaultCase = (context: FaultContext) => Promise<void>;

/** Time within which a server that is to leave may still get new work. */
const LEAVING_BOUND_MS = 3_000;

const ROLES: readonly MemberRole[] = ['ledger', 'router', 'scheduler'];

/** The faults of a run, by name. */
export const FAULT_CASES: Readonly<Record<string, FaultCase>> = {
  'daemon frozen': async (context) => {
    const { deployment, random } = context;
    const name = `${random.pick(ROLES)}-${random.pick(deployment.options.entryVms).name}`;
    deployment.daemons.get(name)?.kill('SIGSTOP');
    await sleep(random.int(1_000, 12_000));
    deployment.daemons.get(name)?.kill('SIGCONT');
  },
  'daemon killed': async (context) => {
    const { deployment, random } = context;
    const vm = random.pick(deployment.options.entryVms);
    const role = random.pick(ROLES);
    await killDaemon(deployment, role, vm);
    await sleep(random.int(0, 4_000));
    await deployment.startDaemon(role, vm);
  },
  'engine frozen': (context) => freezeStandin(context, pickEngine(context), 1_000, 9_000),
  'engine killed': async (context) => {
    const { deployment, random } = context;
    const engine = random.pick(deployment.options.engines);
    deployment.standins.get(engine.name)?.kill('SIGKILL');
    await deployment.standins.get(engine.name)?.exited;
    await sleep(random.int(500, 5_000));
    await deployment.startEngine(engine);
    await deployment.publishVms();
  },
  'engine killed in the middle of an answer': async (context) => {
    const { deployment, random } = context;
    const engine = random.pick(deployment.options.engines);
    const standin = deployment.standins.get(engine.name);
    await deployment.fault(engine.name, { afterTokens: random.int(0, 40), kind: 'kill' });
    await Promise.race([standin?.exited, sleep(5_000)]);
    standin?.kill('SIGKILL');
    await standin?.exited;
    await deployment.startEngine(engine);
    await deployment.publishVms();
  },
  'engine preempts': (context) =>
    context.deployment.fault(pickEngine(context), {
      afterTokens: context.random.int(1, 100),
      kind: 'preempt',
    }),
  'engine reclaimed at short notice': async (context) => {
    const { deployment, random } = context;
    const engine = random.pick(deployment.options.engines);
    await deployment.fault(engine.name, { kind: 'reclaim' });
    await sleep(random.int(500, 4_000));
    deployment.standins.get(engine.name)?.kill('SIGKILL');
    await deployment.setVmState(engine.name, 'gone');
    await sleep(random.int(1_000, 4_000));
    await deployment.startEngine(engine);
    await deployment.publishVms();
  },
  'engine silent on open connections': (context) =>
    context.deployment.fault(pickEngine(context), { kind: 'silent' }),
  'engine slow': (context) => slow(context, pickEngine(context)),
  'entry VM replaced': async (context) => {
    const { deployment, oracle, random } = context;
    const vm = random.pick(deployment.options.entryVms);
    await Promise.all(ROLES.map((role) => terminate(deployment, oracle, role, vm)));
    await deployment.startEntryVm(vm);
  },
  'failure domain of entry VMs killed': async (context) => {
    const { deployment, random } = context;
    const domain = random.pick(deployment.options.entryVms).failureDomain;
    const vms = deployment.options.entryVms.filter((vm) => vm.failureDomain === domain);
    await Promise.all(vms.flatMap((vm) => ROLES.map((role) => killDaemon(deployment, role, vm))));
    await sleep(random.int(1_000, 5_000));
    await Promise.all(vms.map((vm) => deployment.startEntryVm(vm)));
  },
  'platform frozen': (context) => freezeStandin(context, 'platform', 500, 8_000),
  'platform loses answers': (context) =>
    context.deployment.fault('platform', {
      count: context.random.int(1, 6),
      kind: 'loseAnswer',
      path: '/v3/kv/txn',
    }),
  'platform refuses': async (context) => {
    const { deployment, random } = context;
    await deployment.fault('platform', { kind: 'refuse' });
    await sleep(random.int(500, 8_000));
    await deployment.fault('platform', { kind: 'clear' });
  },
  'platform silent on open connections': (context) =>
    context.deployment.fault('platform', { kind: 'silent' }),
  'platform slow': (context) => slow(context, 'platform'),
  'server stopped by plan': stopServerByPlan,
  'service loses answers': (context) =>
    context.deployment.fault(pickService(context), {
      count: context.random.int(1, 5),
      kind: 'loseAnswer',
    }),
  'service refuses': (context) =>
    context.deployment.fault(pickService(context), {
      count: context.random.int(1, 20),
      kind: 'refuse',
    }),
  'service silent on open connections': (context) =>
    context.deployment.fault(pickService(context), { kind: 'silent' }),
  'service slow': (context) => slow(context, pickService(context)),
  'VM list frozen': (context) => freezeStandin(context, 'vms', 500, 8_000),
};

async function stopServerByPlan(context: FaultContext): Promise<void> {
  const { deployment, oracle, random } = context;
  const engine = random.pick(deployment.options.engines);
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

async function killDaemon(
  deployment: Deployment,
  role: MemberRole,
  vm: EntryVmSpec,
): Promise<void> {
  const daemon = deployment.daemons.get(`${role}-${vm.name}`);
  daemon?.kill('SIGKILL');
  await daemon?.exited;
}

async function freezeStandin(
  { deployment, random }: FaultContext,
  name: string,
  leastMs: number,
  mostMs: number,
): Promise<void> {
  deployment.standins.get(name)?.kill('SIGSTOP');
  await sleep(random.int(leastMs, mostMs));
  deployment.standins.get(name)?.kill('SIGCONT');
}

async function slow({ deployment, random }: FaultContext, name: string): Promise<void> {
  await deployment.fault(name, { delayMs: random.int(100, 1_500), kind: 'slow' });
  await sleep(random.int(1_000, 6_000));
  await deployment.fault(name, { delayMs: 0, kind: 'slow' });
}

function pickEngine({ deployment, random }: FaultContext): string {
  return random.pick(deployment.options.engines).name;
}

function pickService({ deployment, random }: FaultContext): string {
  return random.pick(deployment.options.services).name;
}
