import { setTimeout as sleep } from 'node:timers/promises';
import type { MemberRole } from '@laburnumgap/kernel';
import { planServerStop } from './FaultsPlannedStop.js';
import type { FaultCase, FaultContext } from './FaultsTargets.js';
import {
  freezeStandin,
  killDaemon,
  killStandin,
  injectFault,
  injectTemporaryFault,
  pickEngine,
  pickService,
  slowStandin,
  terminateDaemon,
  withTarget,
} from './FaultsTargets.js';

/**
 * Each request record has replicas in three failure domains. If all three are down at the same time,
 * the record is lost, so at most two failure domains are killed at the same time.
 */
const MAX_DOMAINS_DOWN = 2;

/** Marks an entry of `busy` that stands for a failure domain rather than a VM or stand-in. */
const DOMAIN_LOCK_PREFIX = 'failure domain ';

/** Time in which routers rewrite their request records after the set of schedulers has changed. */
const REQUEST_RECORD_REFRESH_MS = 5_000;

const ROLES: readonly MemberRole[] = ['ledger', 'router', 'scheduler'];

/** Fault cases by name. */
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
    injectTemporaryFault(context, pickEngine(context), {
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
    injectFault(context, pickEngine(context), { kind: 'silent' }),
  'engine slow': (context) => slowStandin(context, pickEngine(context)),
  'entry VM replaced': (context) => {
    const { deployment, oracle } = context;
    return withTarget(context, deployment.options.entryVms, async (vm) => {
      await Promise.all(ROLES.map((role) => terminateDaemon(deployment, oracle, role, vm)));
      await deployment.startEntryVm(vm);
    });
  },
  'failure domain of entry VMs killed': killFailureDomain,
  'operators race': raceOperators,
  'platform frozen': (context) => freezeStandin(context, 'platform', 500, 8_000),
  'platform loses answers': (context) =>
    injectTemporaryFault(context, 'platform', {
      count: context.random.int(1, 6),
      kind: 'loseAnswer',
      path: '/v3/kv/txn',
    }),
  'platform refuses': (context) => injectTemporaryFault(context, 'platform', { kind: 'refuse' }),
  'platform silent on open connections': (context) =>
    injectFault(context, 'platform', { kind: 'silent' }),
  'platform slow': (context) => slowStandin(context, 'platform'),
  'server stopped by plan': planServerStop,
  'service loses answers': (context) =>
    injectTemporaryFault(context, pickService(context), {
      count: context.random.int(1, 5),
      kind: 'loseAnswer',
    }),
  'service refuses': (context) =>
    injectTemporaryFault(context, pickService(context), {
      count: context.random.int(1, 20),
      kind: 'refuse',
    }),
  'service silent on open connections': (context) =>
    injectFault(context, pickService(context), { kind: 'silent' }),
  'service slow': (context) => slowStandin(context, pickService(context)),
  'VM list frozen': (context) => freezeStandin(context, 'vms', 500, 8_000),
};

async function killFailureDomain(context: FaultContext): Promise<void> {
  const { busy, deployment, oracle, random } = context;
  const domain = random.pick(deployment.options.entryVms).failureDomain;
  const vms = deployment.options.entryVms.filter((vm) => vm.failureDomain === domain);
  const isAtLimit = countDomainsDown(context) >= MAX_DOMAINS_DOWN;
  if (isAtLimit || vms.some((vm) => busy.has(vm.name))) {
    oracle.count('fault skipped: target busy');
    return;
  }
  busy.add(domainLockOf(domain));
  vms.forEach((vm) => busy.add(vm.name));
  await Promise.all(vms.flatMap((vm) => ROLES.map((role) => killDaemon(deployment, role, vm))));
  await sleep(random.int(1_000, 5_000));
  await Promise.all(vms.map((vm) => deployment.startEntryVm(vm)));
  await sleep(REQUEST_RECORD_REFRESH_MS);
  vms.forEach((vm) => busy.delete(vm.name));
  busy.delete(domainLockOf(domain));
}

/**
 * Two operators change one contract concurrently with the same expected revision; at most one of
 * them may succeed.
 */
async function raceOperators(context: FaultContext): Promise<void> {
  const { deployment, oracle, random } = context;
  const contract = random.pick(deployment.options.contracts);
  const outcomes = await Promise.all([
    deployment.commitContractOnce(contract),
    deployment.commitContractOnce(contract),
  ]);
  oracle.count('operatorRaceChecked');
  if (outcomes.filter((outcome) => outcome === 'accepted').length > 1) {
    oracle.recordViolation('bothOperatorsAccepted', contract.slice(0, 80));
  }
}

function domainLockOf(domain: string): string {
  return `${DOMAIN_LOCK_PREFIX}${domain}`;
}

function countDomainsDown({ busy }: FaultContext): number {
  return [...busy].filter((name) => name.startsWith(DOMAIN_LOCK_PREFIX)).length;
}
