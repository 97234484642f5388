import type { PlannedStop } from '@laburnumgap/contracts';
import { toText } from './CtlUtils.js';

const MS_PER_MINUTE = 60_000;

/**
 * Parses a time given on the command line.
 *
 * @param value - an ISO 8601 time, or `+Nm` for N minutes after the base time
 * @param baseEpochMs - the base time
 * @returns milliseconds since the epoch, or undefined if the value has neither form
 */
export function parseTime(value: unknown, baseEpochMs: number): number | undefined {
  if (typeof value !== 'string') {
    return undefined;
  }
  const minutes = /^\+(\d{1,6})m$/.exec(value)?.[1];
  if (minutes !== undefined) {
    return baseEpochMs + Number(minutes) * MS_PER_MINUTE;
  }
  const isIso = /^\d{4}-\d\d-\d\dT\d\d:\d\d(:\d\d(\.\d+)?)?(Z|[+-]\d\d:\d\d)$/.test(value);
  const epochMs = isIso ? Date.parse(value) : Number.NaN;
  return Number.isNaN(epochMs) ? undefined : epochMs;
}

/**
 * Parses the target of a stop from the options.
 *
 * @param options - the options of the command
 * @returns the target, or undefined unless exactly one is given
 */
export function parseTarget(
  options: Readonly<Record<string, unknown>>,
): PlannedStop['target'] | undefined {
  const targets: PlannedStop['target'][] = [];
  if (options['entry-vm'] !== undefined) {
    targets.push({ entryVm: toText(options['entry-vm']), kind: 'entryVm' });
  }
  if (options['failure-domain'] !== undefined) {
    const failureDomain = toText(options['failure-domain']);
    targets.push({ failureDomain, kind: 'failureDomain' });
  }
  if (options.server !== undefined) {
    targets.push({ kind: 'server', serverId: toText(options.server) });
  }
  return targets.length === 1 ? targets[0] : undefined;
}
