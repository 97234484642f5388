import type { ConfigurationView } from '@laburnumgap/contracts';
import type { DecisionRecord, MemberId } from '@laburnumgap/kernel';
import type { InspectHandlers, StatusFact } from '@laburnumgap/rpc';
import type { DecisionLog } from '@laburnumgap/telemetry';
import type { SchedulerEngineRegistry } from './SchedulerEngineRegistry.js';

/** Options of {@link createInspectHandlers}. */
export interface SchedulerInspectOptions {
  readonly configuration: ConfigurationView;
  /** Time since the configuration was last confirmed as the newest; infinite if it never was. */
  readonly configurationAgeMs: () => number;
  /** Further figures to report, by name. */
  readonly counts: () => Readonly<Record<string, number>>;
  readonly decisions: DecisionLog;
  readonly draining: () => boolean;
  readonly engines: SchedulerEngineRegistry;
  readonly memberId: MemberId;
}

/** Age reported for a configuration that was never confirmed as the newest. */
const NEVER_CONFIRMED_AGE_MS = -1;

/**
 * Creates the handlers of the Inspect service.
 *
 * @param options - sources of the reported status
 * @returns the handlers
 */
export function createInspectHandlers(options: SchedulerInspectOptions): InspectHandlers {
  return {
    Explain: ({ request }, callback) => {
      const decisions = options.decisions.explain(request.requestId).map((decision) => ({
        atEpochMs: decision.atEpochMs,
        decision: decision.decision,
        line: formatFields(decision),
      }));
      callback(null, { decisions });
    },
    GetStatus: (_call, callback) => {
      const ageMs = options.configurationAgeMs();
      callback(null, {
        configAgeMs: Number.isFinite(ageMs) ? ageMs : NEVER_CONFIRMED_AGE_MS,
        configRevision: options.configuration.snapshot().revision,
        draining: options.draining(),
        facts: factsOf(options),
        memberId: options.memberId,
        role: 'scheduler',
      });
    },
  };
}

function factsOf(options: SchedulerInspectOptions): StatusFact[] {
  const engines = options.engines.listOpenEngines().flatMap((engine) => {
    const status = engine.status();
    return Object.entries(status).map(([name, value]) => ({
      name: `engine.${engine.engineId}.${name}`,
      value: String(value),
    }));
  });
  const counts = Object.entries(options.counts()).map(([name, value]) => ({
    name,
    value: String(value),
  }));
  return [...counts, ...engines];
}

function formatFields(decision: DecisionRecord): string {
  return Object.entries(decision.fields)
    .filter(([, value]) => value !== undefined)
    .map(([key, value]) => `${key}=${String(value)}`)
    .join(' ');
}
