import type { DaemonContext } from '@laburnumgap/daemon';
import type { Node } from '@laburnumgap/node';
import type { InspectHandlers } from '@laburnumgap/rpc';
import type { RecordedDecision } from '@laburnumgap/telemetry';
import type { RouterRunRegistry } from './RouterRunRegistry.js';
import type { RouterSettings } from './RouterSettings.js';

/** Options of {@link createRouterInspect}. */
export interface RouterInspectOptions {
  readonly context: DaemonContext<RouterSettings>;
  readonly node: Node;
  readonly registry: RouterRunRegistry;
}

/**
 * Creates the handlers of the Inspect service, which answers operators' queries.
 *
 * @param options - sources of the answers
 * @returns the handlers
 */
export function createRouterInspect(options: RouterInspectOptions): InspectHandlers {
  const { context, node, registry } = options;
  return {
    Explain: ({ request }, callback) => {
      const keptDecisions = context.decisions.explain(request.requestId);
      const decisions = keptDecisions.map((decision) => ({
        atEpochMs: decision.atEpochMs,
        decision: decision.decision,
        line: formatFields(decision),
      }));
      callback(null, { decisions });
    },
    GetStatus: (_call, callback) => {
      callback(null, {
        configRevision: node.configuration.snapshot().revision,
        draining: context.stage() === 'draining',
        facts: [{ name: 'runningGenerations', value: String(registry.activeRunCount()) }],
        memberId: context.settings.member.id,
        role: 'router',
      });
    },
  };
}

function formatFields(decision: RecordedDecision): string {
  const fields = Object.entries(decision.fields).filter(([, value]) => value !== undefined);
  return fields.map(([key, value]) => `${key}=${String(value)}`).join(' ');
}
