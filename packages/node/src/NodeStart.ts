import { randomUUID } from 'node:crypto';
import { setTimeout as delay } from 'node:timers/promises';
import type { ConfigSync } from '@laburnumgap/config-sync';
import { startConfigSync } from '@laburnumgap/config-sync';
import type { DaemonContext } from '@laburnumgap/daemon';
import type { Member, MemberRole } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import { startMembership } from '@laburnumgap/membership';
import { createEtcdStore, createHttpVmList } from '@laburnumgap/key-value';
import { createRpcClients, startRpcServer } from '@laburnumgap/rpc';
import type { DaemonSettings } from '@laburnumgap/settings';
import { startServerDirectory } from '@laburnumgap/stops';
import type { Node } from './Node.js';
import { PROCESS_CLOCK, createRandomSource } from './NodeClocks.js';
import { startPlannedStopCheck } from './NodePlannedStop.js';

/** Longest time that a drain waits for running RPCs of peers. */
const RPC_DRAIN_TIMEOUT_MS = 2_000;

const CONFIGURATION_POLL_INTERVAL_MS = 20;

/**
 * Starts the shared services of a daemon: gRPC server, platform clients, membership, configuration
 * sync and the directory of backend servers.
 *
 * @param context - settings, log, metrics and decision log of the daemon
 * @param role - the daemon's role
 * @returns the started services
 * @throws when the gRPC address cannot be bound
 */
export async function startNode(
  context: DaemonContext<DaemonSettings>,
  role: MemberRole,
): Promise<Node> {
  const { actors, decisions, log, metrics, settings } = context;
  const clock = PROCESS_CLOCK;
  const random = createRandomSource();
  const clients = createRpcClients(settings.peers.secret);
  const store = createEtcdStore({ url: settings.platform.storeUrl });
  const rpc = await startRpcServer({
    address: settings.listen.rpc,
    secret: settings.peers.secret,
  });
  const member = createMember(settings, role, rpc.address);
  const membership = startMembership({ clock, log, member, random, store });
  const { directory } = membership;
  const configSync = startConfigSync({
    actors,
    clients,
    clock,
    decisions,
    directory,
    log,
    member,
    metrics,
    random,
    seedAddresses: settings.peers.seeds,
    store,
  });
  const servers = startServerDirectory({
    configuration: configSync.view,
    decisions,
    log,
    vmList: createHttpVmList({ url: settings.platform.vmListUrl }),
  });

  context.delayReadinessUntil(waitForConfiguration(configSync));
  const stopPlannedStopCheck = startPlannedStopCheck({
    configuration: configSync.view,
    onStop: (stop) => {
      context.shutDown(`plannedStop ${stop.id}`);
    },
    settings: settings.member,
  });

  return {
    clients,
    clock,
    configuration: configSync.view,
    configurationAgeMs: () => configSync.ageMs(),
    directory,
    drain: async () => {
      stopPlannedStopCheck();
      await membership.leave();
      servers.stop();
      configSync.stop();
      await waitAtMost(RPC_DRAIN_TIMEOUT_MS, rpc.drain());
      rpc.close();
      clients.close();
      await store.close();
    },
    holdsLease: () => membership.holdsLease(),
    random,
    registerHandlers: (handlers) => {
      rpc.register({ ConfigPeer: configSync.handlers, ...handlers });
      return Promise.resolve(member);
    },
    servers,
    store,
  };
}

function createMember(settings: DaemonSettings, role: MemberRole, rpcAddress: string): Member {
  return {
    entryVm: toId(settings.member.entryVm),
    failureDomain: toId(settings.member.failureDomain),
    incarnation: toId(randomUUID()),
    memberId: toId(settings.member.id),
    region: toId(settings.member.region),
    role,
    rpcAddress,
  };
}

/** Delays readiness, because a daemon without a configuration rejects callers with valid keys. */
async function waitForConfiguration(configSync: ConfigSync): Promise<void> {
  while (!Number.isFinite(configSync.ageMs())) {
    await delay(CONFIGURATION_POLL_INTERVAL_MS);
  }
}

function waitAtMost(timeoutMs: number, promise: Promise<void>): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, timeoutMs);
    void promise.finally(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}
