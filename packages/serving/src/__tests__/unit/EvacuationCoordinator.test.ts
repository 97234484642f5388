import type { FailureDomainId, Revision, StoreEra } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import type { ServingMetrics, StorePosition } from '../../index.js';
import { EvacuationCoordinator } from '../../index.js';

const A = toId<FailureDomainId>('a');
/** Stated for a domain that is missing from a new era's first listing. */
const HOLD_MS = 2_000;

function at(era: number, revision: number): StorePosition {
  return { era: toNumberId<StoreEra>(era), revision: toNumberId<Revision>(revision) };
}

function createCoordinator() {
  const clock = { ms: 0 };
  const gauges: number[] = [];
  const lines: string[] = [];
  const counts: string[] = [];
  const ended: FailureDomainId[] = [];
  const metrics: ServingMetrics = {
    gauge: (_name, value) => gauges.push(value),
    increment: (name, _by, tags = {}) => counts.push([name, ...Object.values(tags)].join(' ')),
    observe: () => undefined,
  };
  const coordinator = new EvacuationCoordinator({
    clock: { nowMs: () => clock.ms },
    log: {
      info: () => undefined,
      warn: (event, { revision, source } = {}) =>
        lines.push(`${event} ${String(source)} ${String(revision)}`),
    },
    metrics,
    onEnded: (domain) => ended.push(domain),
  });
  return { clock, coordinator, counts, ended, gauges, lines };
}

test('each change is logged and counted once, with its source and position', (t) => {
  const { clock, coordinator, counts, ended, gauges, lines } = createCoordinator();
  const { era, revision } = at(1, 5);
  const began = { failureDomain: A, isEvacuated: true, revision };
  t.true(coordinator.applyChanges([began], era, 'store'));
  t.false(coordinator.applyChanges([began], era, 'store'));
  coordinator.mergeReports([{ ...began, era }], 'heartbeat');
  t.false(coordinator.replace([], at(2, 3), 'store'), 'a held domain has not changed');
  clock.ms = HOLD_MS;
  t.deepEqual(ended, []);
  coordinator.expire();
  t.deepEqual(ended, [A], 'its servers count as cold from now');
  t.deepEqual(lines, [
    'domain-evacuated store 5',
    'domain-evacuation-held store 5',
    'domain-evacuation-ended new-era 3',
  ]);
  t.deepEqual(counts, [
    'evacuation_changes a began',
    'evacuation_changes a held',
    'evacuation_changes a ended',
  ]);
  t.deepEqual(gauges, [1, 1, 0]);
});

test('the gauge is repeated where a domain ever was evacuated, and nowhere else', (t) => {
  const { clock, coordinator, gauges } = createCoordinator();
  coordinator.expire();
  t.deepEqual(gauges, []);
  const { era, revision } = at(1, 5);
  coordinator.applyChanges([{ failureDomain: A, isEvacuated: true, revision }], era, 'store');
  for (clock.ms = 100; clock.ms <= 20_000; clock.ms += 100) {
    coordinator.expire();
  }
  t.deepEqual(gauges, [1, 1, 1]);
});
