import { setTimeout as sleep } from 'node:timers/promises';
import type { StatusReply__Output, StatusRequest } from '@laburnumgap/rpc';
import { createRpcClients } from '@laburnumgap/rpc';
import type { Deployment } from '../deployment/Deployment.js';
import type { FaultsOracle } from './FaultsOracle.js';

/** Bound within which an accepted change is in force everywhere. */
const IN_FORCE_BOUND_MS = 8_000;
const POLL_INTERVAL_MS = 500;
const CALL_DEADLINE_MS = 1_000;

/** Watches the revisions in force at all daemons. */
export interface ConfigurationWatch {
  /** Checks that every daemon has the revision within the bound. */
  checkInForce(revision: number): Promise<void>;
  stop(): void;
}

/**
 * Polls the revision in force at every daemon; a revision that goes down is a violation.
 *
 * @param deployment - the daemons
 * @param oracle - takes the violations
 * @returns the running watch
 */
export function watchConfiguration(
  deployment: Deployment,
  oracle: FaultsOracle,
): ConfigurationWatch {
  const clients = createRpcClients(deployment.peerSecret);
  const highest = new Map<number, number>();

  const revisionOf = async (address: string): Promise<number | undefined> => {
    const client = clients.get('Inspect', address);
    const reply = await clients.unary<StatusRequest, StatusReply__Output>(
      client.getStatus.bind(client),
      {},
      CALL_DEADLINE_MS,
    );
    return reply.ok ? reply.value.configRevision : undefined;
  };
  const poll = async (): Promise<void> => {
    await Promise.all(
      [...deployment.daemons.values()].map(async (daemon) => {
        const revision = await revisionOf(daemon.addresses.rpc ?? '');
        if (revision === undefined) {
          return;
        }
        oracle.count('configurationRevisionChecked');
        const before = highest.get(daemon.pid) ?? 0;
        highest.set(daemon.pid, Math.max(before, revision));
        if (revision < before) {
          oracle.violate('configurationReverted', `${daemon.name}: ${revision} after ${before}`);
        }
      }),
    );
  };
  const timer = setInterval(() => void poll(), POLL_INTERVAL_MS);
  return {
    checkInForce: async (revision) => {
      const startedMs = performance.now();
      let behind = await namesBehind(deployment, revision, revisionOf);
      while (behind.length > 0 && performance.now() - startedMs < IN_FORCE_BOUND_MS) {
        await sleep(POLL_INTERVAL_MS);
        behind = await namesBehind(deployment, revision, revisionOf);
      }
      if (behind.length === 0) {
        oracle.count('configurationInForceChecked');
        return;
      }
      oracle.violate('configurationBehind', `revision ${revision}: ${behind.join(', ')}`);
    },
    stop: () => {
      clearInterval(timer);
      clients.close();
    },
  };
}

async function namesBehind(
  deployment: Deployment,
  revision: number,
  revisionOf: (address: string) => Promise<number | undefined>,
): Promise<readonly string[]> {
  const checked = await Promise.all(
    [...deployment.daemons.values()].map(async (daemon) => {
      const seen = await revisionOf(daemon.addresses.rpc ?? '');
      return seen !== undefined && seen >= revision
        ? undefined
        : `${daemon.name} has ${seen ?? 'no answer'}`;
    }),
  );
  return checked.filter((name) => name !== undefined);
}
