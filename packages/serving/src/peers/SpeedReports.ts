import type { SpeedReport, SpeedReportAudience } from '@laburnumgap/dispatch';
import type { ServerId } from '@laburnumgap/kernel';

/**
 * Encoded report, about 40 bytes: engine, check number of its start, age, and for events, events beside a
 * prefill and prefill the value with the number of observations. Values and age are in tenths.
 */
export type PackedSpeedReport = readonly [
  ServerId,
  number,
  number,
  number,
  number,
  number,
  number,
  number,
  number,
];

/** Exchange of observed speeds by the messages of daemons. */
export interface SpeedExchange {
  onReports(value: unknown, isOwnDomain: boolean): void;
  reports(audience: SpeedReportAudience): readonly PackedSpeedReport[];
}

/** A report as received; the receiver knows which start the check number belongs to. */
export interface ReceivedSpeedReport extends Omit<SpeedReport, 'startedEpochMs'> {
  readonly startCheck: number;
}

const PACKED_REPORT_LENGTH = 9;
/** Two starts of an engine have the same check number once in so many cases. */
const START_CHECKS = 10_000;
const TENTHS = 10;
const AGE_UNIT_MS = 100;
/** Larger figures are no observations of engines. */
const MAX_FIGURE = 1_000_000;

/**
 * Check number of a start of an engine, which is shorter than its time.
 *
 * @param startedEpochMs - start time of the engine
 * @returns the check number
 */
export function startCheckOf(startedEpochMs: number): number {
  return Math.abs(Math.round(startedEpochMs)) % START_CHECKS;
}

/**
 * Encodes a report for other daemons.
 *
 * @param report - what was observed of an engine
 * @returns the encoded report
 */
export function packSpeedReport(report: SpeedReport): PackedSpeedReport {
  return [
    report.serverId,
    startCheckOf(report.startedEpochMs),
    Math.round(report.ageMs / AGE_UNIT_MS),
    Math.round(report.eventMs * TENTHS),
    report.eventSlices,
    Math.round(report.prefillingEventMs * TENTHS),
    report.prefillingEventSlices,
    Math.round(report.prefillTokensPerMs * TENTHS),
    report.prefillSamples,
  ];
}

/**
 * Decodes the reports of another daemon; entries that are no reports are left out.
 *
 * @param value - the field of a message; undefined in messages of other builds
 * @param maxCount - most reports that are decoded
 * @returns the reports
 */
export function unpackSpeedReports(
  value: unknown,
  maxCount: number,
): readonly ReceivedSpeedReport[] {
  if (!Array.isArray(value)) {
    return [];
  }
  return value.slice(0, maxCount).filter(isPackedReport).map(unpack);
}

function unpack(packed: PackedSpeedReport): ReceivedSpeedReport {
  const [serverId, startCheck, age, event, eventSlices, prefilling, ...others] = packed;
  const [prefillingEventSlices, prefill, prefillSamples] = others;
  return {
    ageMs: age * AGE_UNIT_MS,
    eventMs: event / TENTHS,
    eventSlices,
    prefillSamples,
    prefillTokensPerMs: prefill / TENTHS,
    prefillingEventMs: prefilling / TENTHS,
    prefillingEventSlices,
    serverId,
    startCheck,
  };
}

function isPackedReport(value: unknown): value is PackedSpeedReport {
  return (
    Array.isArray(value) &&
    value.length === PACKED_REPORT_LENGTH &&
    typeof value[0] === 'string' &&
    value[0] !== '' &&
    value.slice(1).every((figure) => isFigure(figure))
  );
}

function isFigure(value: unknown): boolean {
  return typeof value === 'number' && value >= 0 && value <= MAX_FIGURE;
}
