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

/** Longest time that running calls of peers hold up the end of a drain. */
const RPC_DRAIN_BOUND_MS = 2_000;

const CONFIGURED_POLL_MS = 20;

/**
 * Wires a daemon: gRPC server, platform clients, membership, configuration and backend servers.
 *
 * @param context - settings, log, metrics and decisions of the daemon
 * @param role - the daemon's role
 * @returns the wired node
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
  const member = memberOf(settings, role, rpc.address);
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

  context.readyAfter(untilConfigured(configSync));
  const stopPlannedStop = startPlannedStopCheck({
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
      stopPlannedStop();
      await membership.leave();
      servers.stop();
      configSync.stop();
      await within(RPC_DRAIN_BOUND_MS, rpc.drain());
      rpc.close();
      clients.close();
      await store.close();
    },
    holdsLease: () => membership.holdsLease(),
    random,
    serve: (handlers) => {
      rpc.register({ ConfigPeer: configSync.handlers, ...handlers });
      return Promise.resolve(member);
    },
    servers,
    store,
  };
}

function memberOf(settings: DaemonSettings, role: MemberRole, rpcAddress: string): Member {
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

/** A daemon without a configuration would refuse callers whose keys are good. */
async function untilConfigured(configSync: ConfigSync): Promise<void> {
  while (!Number.isFinite(configSync.ageMs())) {
    await delay(CONFIGURED_POLL_MS);
  }
}

function within(boundMs: number, work: Promise<void>): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, boundMs);
    void work.finally(() => {
      clearTimeout(timer);
      resolve();
    });
  });
}
