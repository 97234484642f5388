import { setTimeout as sleep } from 'node:timers/promises';
import type { MemberRole } from '@laburnumgap/kernel';
import { MEMBER_PREFIX } from '@laburnumgap/membership';
import { stringify } from 'yaml';
import { Deployment } from '../deployment/Deployment.js';
import type { ProcessStat } from '../deployment/DeploymentProcessStat.js';
import { readProcessStat } from '../deployment/DeploymentProcessStat.js';
import { loadFirm } from '../faults/FaultsFirms.js';
import { ROLES, createContract, createMembers } from './CapacitySynthetic.js';
import { TARGET } from './CapacityTarget.js';

/** CPU and memory cost of one daemon of a role without traffic. */
export interface IdleCost {
  readonly cpuShare: number;
  readonly residentBytes: number;
}

/** Measurements of an idle fleet. */
export interface IdleFleet {
  readonly daemons: number;
  /** Longest time of several changes from the commit until it is in force at every daemon. */
  readonly inForceMs: number;
  readonly roles: Readonly<Record<MemberRole, IdleCost>>;
  /** Calls per daemon to the key-value service, from the start until all daemons are ready. */
  readonly storeCallsAtStart: number;
  /** Calls of the whole fleet to the key-value service per second, by kind. */
  readonly storeCallsPerSecond: Readonly<Record<string, number>>;
}

const VM_COUNTS = [1, 2, 4, 8] as const;
const SETTLE_MS = 20_000;
const MEASURE_MS = 20_000;
const CALLS_PER_CONTRACT = 2;
const CHANGES = 5;
const MS_PER_SECOND = 1_000;
/** Time for the daemons to read and compile the configuration of the target. */
const TARGET_SETTLE_MS = 40_000;

/** Idle cost of daemons whose configuration and membership have the target size. */
export interface TargetState {
  readonly roles: Readonly<Record<MemberRole, IdleCost>>;
}

/**
 * Runs the daemons of one entry VM with the target's members and contracts in the platform service
 * and its servers in the VM list. The other members exist as entries only; their addresses are those
 * of these daemons.
 *
 * @returns the cost of each role
 */
export async function measureTargetState(): Promise<TargetState> {
  const firm = await loadFirm('harrow-pell');
  const deployment = new Deployment({
    ...firm.deployment,
    contracts: [],
    entryVms: [{ failureDomain: 'zone-1', name: 'entry-1' }],
  });
  try {
    await deployment.start();
    await fillToTarget(deployment);
    await sleep(TARGET_SETTLE_MS);
    const before = await sample(deployment);
    await sleep(MEASURE_MS);
    const after = await sample(deployment);
    return { roles: costsOfRoles(before, after) };
  } finally {
    await deployment.kill();
  }
}

async function fillToTarget(deployment: Deployment): Promise<void> {
  for (let team = 0; team < TARGET.concurrentTeams; team += 1) {
    await deployment.putContract(stringify(createContract(`team-${team}`)));
  }
  for (const member of createMembers(TARGET.daemons).slice(ROLES.length)) {
    const localDaemon = deployment.daemons.get(`${member.role}-entry-1`);
    const registered = { ...member, rpcAddress: localDaemon?.addresses.rpc ?? member.rpcAddress };
    await deployment.store.commit({
      guards: [],
      writes: [
        {
          key: `${MEMBER_PREFIX}${member.role}/${member.memberId}`,
          kind: 'put',
          value: JSON.stringify(registered),
        },
      ],
    });
  }
  await deployment.post('vms', '/control/vms', { vms: targetVmList(deployment) });
}

function targetVmList(deployment: Deployment): readonly unknown[] {
  const engines = deployment.options.engines;
  return Array.from({ length: TARGET.servers }, (_, index) => {
    const engine = engines[index % engines.length];
    return {
      address: `http://${deployment.addressOf(engine?.name ?? '')}`,
      backend: { kind: 'model', pool: engine?.pool ?? '' },
      failureDomain: `zone-${(index % TARGET.failureDomains) + 1}`,
      region: 'region-1',
      serverId: `server-${index}`,
      state: 'live',
    };
  });
}

/**
 * Runs idle fleets of 3, 6, 12 and 24 daemons as processes, one after another.
 *
 * @returns the cost at each size
 */
export async function measureIdleFleets(): Promise<readonly IdleFleet[]> {
  const fleets: IdleFleet[] = [];
  for (const vms of VM_COUNTS) {
    fleets.push(await measureFleet(vms));
  }
  return fleets;
}

async function measureFleet(vms: number): Promise<IdleFleet> {
  const firm = await loadFirm('harrow-pell');
  const deployment = new Deployment({
    ...firm.deployment,
    entryVms: Array.from({ length: vms }, (_, index) => ({
      failureDomain: `zone-${(index % 3) + 1}`,
      name: `entry-${index + 1}`,
    })),
  });
  try {
    await deployment.start();
    const started = await sample(deployment);
    await sleep(SETTLE_MS);
    const before = await sample(deployment);
    await sleep(MEASURE_MS);
    const after = await sample(deployment);
    return {
      daemons: deployment.daemons.size,
      inForceMs: await measureInForce(deployment),
      roles: costsOfRoles(before, after),
      storeCallsAtStart: callsAtStart(deployment, started),
      storeCallsPerSecond: callRates(before.storeCalls, after.storeCalls),
    };
  } finally {
    await deployment.kill();
  }
}

/** Store calls per daemon, without the reads and writes of contracts by this tool. */
function callsAtStart(deployment: Deployment, started: FleetSample): number {
  const totalCalls = Object.values(started.storeCalls).reduce((sum, count) => sum + count, 0);
  const harnessCalls = deployment.options.contracts.length * CALLS_PER_CONTRACT;
  return (totalCalls - harnessCalls) / deployment.daemons.size;
}

async function measureInForce(deployment: Deployment): Promise<number> {
  let longestMs = 0;
  for (let change = 0; change < CHANGES; change += 1) {
    const startedMs = performance.now();
    const revision = await deployment.putContract(deployment.options.contracts[change] ?? '');
    await Promise.all(
      [...deployment.daemons.values()].map((daemon) =>
        daemon.waitForLogLine(
          (line) => line.decision === 'apply' && Number(line.revision) === revision,
        ),
      ),
    );
    longestMs = Math.max(longestMs, performance.now() - startedMs);
  }
  return longestMs;
}

interface FleetSample {
  readonly daemons: ReadonlyMap<string, ProcessStat>;
  readonly storeCalls: Readonly<Record<string, number>>;
}

async function sample(deployment: Deployment): Promise<FleetSample> {
  const daemons = new Map<string, ProcessStat>();
  for (const daemon of deployment.daemons.values()) {
    daemons.set(daemon.name, await readProcessStat(daemon.pid));
  }
  const counts = (await deployment.read('platform', '/control/counts')) as Record<string, unknown>;
  return { daemons, storeCalls: flattenCounts(counts) };
}

function costsOfRoles(before: FleetSample, after: FleetSample): TargetState['roles'] {
  return {
    ledger: costOfRole('ledger', before, after),
    router: costOfRole('router', before, after),
    scheduler: costOfRole('scheduler', before, after),
  };
}

function costOfRole(role: MemberRole, before: FleetSample, after: FleetSample): IdleCost {
  const names = [...after.daemons.keys()].filter((name) => name.startsWith(`${role}-`));
  const cpuSeconds = names.map(
    (name) =>
      (after.daemons.get(name)?.cpuSeconds ?? 0) - (before.daemons.get(name)?.cpuSeconds ?? 0),
  );
  const resident = names.map((name) => after.daemons.get(name)?.residentBytes ?? 0);
  return {
    cpuShare: mean(cpuSeconds) / (MEASURE_MS / MS_PER_SECOND),
    residentBytes: Math.max(...resident),
  };
}

function callRates(
  before: Readonly<Record<string, number>>,
  after: Readonly<Record<string, number>>,
): Readonly<Record<string, number>> {
  return Object.fromEntries(
    Object.entries(after).map(([kind, count]) => [
      kind,
      (count - (before[kind] ?? 0)) / (MEASURE_MS / MS_PER_SECOND),
    ]),
  );
}

function flattenCounts(
  counts: Readonly<Record<string, unknown>>,
): Readonly<Record<string, number>> {
  return Object.fromEntries(
    Object.entries(counts).flatMap(([kind, value]) =>
      typeof value === 'number'
        ? [[kind, value] as const]
        : Object.entries(value as Record<string, number>).map(
            ([inner, count]) => [`${kind} ${inner}`, count] as const,
          ),
    ),
  );
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
}
