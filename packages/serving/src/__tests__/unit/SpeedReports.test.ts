import type { SpeedReport } from '@laburnumgap/dispatch';
import type { ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import { packSpeedReport, startCheckOf, unpackSpeedReports } from '../../peers/SpeedReports.js';

const REPORT: SpeedReport = {
  ageMs: 200,
  eventMs: 33.6,
  eventSlices: 3,
  prefillSamples: 1,
  prefillTokensPerMs: 5.6,
  prefillingEventMs: 71.2,
  prefillingEventSlices: 2,
  serverId: toId<ServerId>('i-0123456789'),
  startedEpochMs: 1_765_432_109_876,
};
const PACKED: readonly unknown[] = [...packSpeedReport(REPORT)];
const MALFORMED: readonly unknown[] = [
  'x',
  null,
  {},
  PACKED.slice(1),
  [...PACKED, 1],
  ['', ...PACKED.slice(1)],
  [7, ...PACKED.slice(1)],
  [...PACKED.slice(0, 8), 'x'],
  [...PACKED.slice(0, 8), -1],
  [...PACKED.slice(0, 8), null],
  [...PACKED.slice(0, 8), 1e12],
];

test('a report survives the wire with the check number of its start', (t) => {
  const wire: unknown = JSON.parse(JSON.stringify([packSpeedReport(REPORT)]));
  const { startedEpochMs, ...report } = REPORT;
  t.deepEqual(unpackSpeedReports(wire, 16), [
    { ...report, startCheck: startCheckOf(startedEpochMs) },
  ]);
});

test('entries that are no reports are left out', (t) => {
  t.is(unpackSpeedReports([...MALFORMED, PACKED], 16).length, 1);
  t.deepEqual(unpackSpeedReports('x', 16), []);
  t.deepEqual(unpackSpeedReports(undefined, 16), []);
});

test('no more reports than the limit are decoded', (t) => {
  const many = Array.from({ length: 100 }, () => PACKED);
  t.is(unpackSpeedReports(many, 16).length, 16);
});
