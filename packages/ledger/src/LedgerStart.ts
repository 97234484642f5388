import { randomUUID } from 'node:crypto';
import type { DaemonContext, StartedDaemon } from '@laburnumgap/daemon';
import { startHttpServer } from '@laburnumgap/daemon';
import type { WallClock } from '@laburnumgap/kernel';
import type { Node } from '@laburnumgap/node';
import { createLedgerInspect } from './LedgerInspect.js';
import { createLedgerHandlers } from './LedgerService.js';
import type { LedgerSettings } from './LedgerSettings.js';
import { startLedgerSlots } from './LedgerSlots.js';

/** Options of {@link startLedger}. */
export interface LedgerOptions {
  readonly context: DaemonContext<LedgerSettings>;
  readonly node: Node;
  readonly wallClock?: WallClock;
}

const SYSTEM_WALL_CLOCK: WallClock = { nowEpochMs: () => Date.now() };

/**
 * Starts a ledger on a node.
 *
 * @param options - the daemon's context and its node
 * @returns the started daemon
 * @throws when an address cannot be bound
 */
export async function startLedger(options: LedgerOptions): Promise<StartedDaemon> {
  const { context, node } = options;
  const { actors, decisions, log, metrics, settings } = context;
  const slots = startLedgerSlots({
    actors,
    clock: node.clock,
    decisions,
    log,
    metrics,
    random: node.random,
    settings: settings.claims,
    store: node.store,
    wallClock: options.wallClock ?? SYSTEM_WALL_CLOCK,
    writer: `${settings.member.id}/${randomUUID()}`,
  });
  const http = await startHttpServer({
    address: settings.listen.http,
    stage: () => context.stage(),
  });
  const member = await node.registerHandlers({
    Inspect: createLedgerInspect({ context, node, slots }),
    Ledger: createLedgerHandlers(slots, settings.claims),
  });
  return {
    addresses: { http: http.address, rpc: member.rpcAddress },
    drain: async () => {
      await node.drain();
      await slots.drained();
      slots.stop();
      await http.drain();
    },
  };
}
