import type { DaemonContext } from '@laburnumgap/daemon';
import type { Node } from '@laburnumgap/node';
import type { InspectHandlers } from '@laburnumgap/rpc';
import type { LedgerSettings } from './LedgerSettings.js';
import type { LedgerSlots } from './LedgerSlots.js';

/** Options of {@link createLedgerInspect}. */
export interface LedgerInspectOptions {
  readonly context: DaemonContext<LedgerSettings>;
  readonly node: Node;
  readonly slots: Pick<LedgerSlots, 'queuedOperations'>;
}

/**
 * Creates the handlers of the Inspect gRPC service, which operators query. A ledger's decisions are
 * looked up by claim id, which a router records in its own decisions.
 *
 * @param options - the daemon's context, its node and its slots
 * @returns the handlers
 */
export function createLedgerInspect(options: LedgerInspectOptions): InspectHandlers {
  const { context, node, slots } = options;
  return {
    Explain: ({ request }, callback) => {
      const decisions = context.decisions.explain(request.requestId).map((kept) => {
        const fields = Object.entries(kept.fields).filter(([, value]) => value !== undefined);
        const line = fields.map(([key, value]) => `${key}=${String(value)}`).join(' ');
        return { atEpochMs: kept.atEpochMs, decision: kept.decision, line };
      });
      callback(null, { decisions });
    },
    GetStatus: (_call, callback) => {
      callback(null, {
        configAgeMs: node.configurationAgeMs(),
        configRevision: node.configuration.snapshot().revision,
        draining: context.stage() === 'draining',
        facts: [{ name: 'queuedOperations', value: String(slots.queuedOperations()) }],
        memberId: context.settings.member.id,
        role: 'ledger',
      });
    },
  };
}
