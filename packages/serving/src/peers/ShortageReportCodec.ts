import type { RankReport } from '@laburnumgap/dispatch';
import { MAX_REPORTED_RANKS } from '@laburnumgap/dispatch';
import type { ServiceId } from '@laburnumgap/kernel';

/** Waiting generations of one service, by rank. */
export interface ServiceShortage {
  readonly ranks: readonly RankReport[];
  readonly service: ServiceId;
}

/** Services in one report. */
export const MAX_REPORTED_SERVICES = 2;

/** Fields of a packed row in their order, about 50 bytes together. */
const PACKED_FIELDS = [
  'rank',
  'onTimeCount',
  'onTimeTokens',
  'lateTokens',
  'slackMs',
  'placedTokensPerS',
  'usedTokens',
  'offered',
  'served',
] as const satisfies readonly (keyof RankReport)[];
/** Decimals of the two counts, which are weighted by age. */
const COUNT_DECIMALS = 10;

/**
 * Encodes the report of a shortage for a heartbeat.
 *
 * @param shortage - the report
 * @returns one entry for each service, with one row of numbers for each rank
 */
export function packShortage(shortage: readonly ServiceShortage[]): unknown {
  return shortage
    .slice(0, MAX_REPORTED_SERVICES)
    .map(({ ranks, service }) => [service, ranks.slice(0, MAX_REPORTED_RANKS).map(packRow)]);
}

/**
 * Decodes the report of a shortage. Entries and rows that are malformed are dropped.
 *
 * @param value - the field of a heartbeat
 * @returns the report; undefined when the field is absent
 */
export function unpackShortage(value: unknown): readonly ServiceShortage[] | undefined {
  if (!Array.isArray(value)) {
    return undefined;
  }
  return value.slice(0, MAX_REPORTED_SERVICES).flatMap((entry: unknown) => {
    if (!Array.isArray(entry) || typeof entry[0] !== 'string' || !Array.isArray(entry[1])) {
      return [];
    }
    const ranks = entry[1].slice(0, MAX_REPORTED_RANKS).flatMap(unpackRow);
    return [{ ranks, service: entry[0] as ServiceId }];
  });
}

function packRow(row: RankReport): readonly number[] {
  return PACKED_FIELDS.map((field) =>
    field === 'offered' || field === 'served'
      ? Math.round(row[field] * COUNT_DECIMALS) / COUNT_DECIMALS
      : Math.round(row[field]),
  );
}

function unpackRow(value: unknown): readonly RankReport[] {
  const isRow =
    Array.isArray(value) &&
    value.length >= PACKED_FIELDS.length &&
    value.every((figure) => Number.isFinite(figure) && figure >= 0);
  return isRow
    ? [Object.fromEntries(PACKED_FIELDS.map((field, index) => [field, value[index]])) as never]
    : [];
}
