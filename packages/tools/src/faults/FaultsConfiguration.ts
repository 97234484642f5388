import { setTimeout as sleep } from 'node:timers/promises';
import type { StatusReply__Output, StatusRequest } from '@laburnumgap/rpc';
import { createRpcClients } from '@laburnumgap/rpc';
import type { Deployment } from '../deployment/Deployment.js';
import type { FaultsOracle } from './FaultsOracle.js';

/** Time limit for an accepted change to be in force at every daemon. */
const IN_FORCE_BOUND_MS = 8_000;
const POLL_INTERVAL_MS = 500;
const CALL_DEADLINE_MS = 1_000;

/** Polls the configuration revision in force at every daemon. */
export interface ConfigurationWatch {
  /** Checks that every daemon reaches the revision within the time limit. */
  checkInForce(revision: number): Promise<void>;
  /** Stops polling and closes the connections. */
  stop(): void;
}

/**
 * Polls the revision in force at every daemon and records a violation when one decreases.
 *
 * @param deployment - the running deployment
 * @param oracle - records the violations
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
        const previous = highest.get(daemon.pid) ?? 0;
        highest.set(daemon.pid, Math.max(previous, revision));
        if (revision < previous) {
          oracle.recordViolation(
            'configurationReverted',
            `${daemon.name}: ${revision} after ${previous}`,
          );
        }
      }),
    );
  };
  const timer = setInterval(() => void poll(), POLL_INTERVAL_MS);
  return {
    checkInForce: async (revision) => {
      const startedMs = performance.now();
      let behind = await daemonsBehind(deployment, revision, revisionOf);
      while (behind.length > 0 && performance.now() - startedMs < IN_FORCE_BOUND_MS) {
        await sleep(POLL_INTERVAL_MS);
        behind = await daemonsBehind(deployment, revision, revisionOf);
      }
      if (behind.length === 0) {
        oracle.count('configurationInForceChecked');
        return;
      }
      oracle.recordViolation('configurationBehind', `revision ${revision}: ${behind.join(', ')}`);
    },
    stop: () => {
      clearInterval(timer);
      clients.close();
    },
  };
}

async function daemonsBehind(
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
