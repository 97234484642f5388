import type { EvacuationRecord } from '@laburnumgap/dispatch';
import type { FailureDomainId, Revision, StoreEra } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';

/** Encoded record, about 20 bytes: failure domain, era, revision, 1 while it is evacuated. */
export type PackedEvacuation = readonly [FailureDomainId, StoreEra, Revision, 0 | 1];

/**
 * Bytes of the records in one datagram, which has to fit into few IP fragments: those of some 40
 * failure domains.
 */
export const MAX_EVACUATION_BYTES = 1_024;

const PACKED_LENGTH = 4;

/**
 * Encodes records for a datagram.
 *
 * @param records - the records, the most important first
 * @returns as many as fit into {@link MAX_EVACUATION_BYTES}; undefined without any, so that datagrams of
 *   a fleet that was never evacuated stay as they are
 */
export function packEvacuations(
  records: readonly EvacuationRecord[] | undefined,
): readonly PackedEvacuation[] | undefined {
  const packed: PackedEvacuation[] = [];
  let bytes = 0;
  for (const record of (records ?? []).map(packRecord)) {
    bytes += Buffer.byteLength(JSON.stringify(record)) + 1;
    if (bytes > MAX_EVACUATION_BYTES) {
      break;
    }
    packed.push(record);
  }
  return packed.length > 0 ? packed : undefined;
}

/** Encodes all records, for a snapshot. */
export function packAllEvacuations(
  records: readonly EvacuationRecord[],
): readonly PackedEvacuation[] {
  return records.map(packRecord);
}

/** Whether all records fit into one datagram. */
export function fitsInDatagram(records: readonly EvacuationRecord[]): boolean {
  return (packEvacuations(records)?.length ?? 0) === records.length;
}

/**
 * Decodes the records of a datagram or a snapshot. Entries that are no records are left out: a daemon of
 * another build may encode them otherwise, and the rest of its message still counts.
 *
 * @param value - the field as received
 * @returns the records; undefined when the field is absent or no list
 */
export function unpackEvacuations(value: unknown): readonly EvacuationRecord[] | undefined {
  if (!Array.isArray(value)) {
    return undefined;
  }
  return value.filter(isPacked).map(([failureDomain, era, revision, isEvacuated]) => ({
    era: toNumberId<StoreEra>(era),
    failureDomain: toId<FailureDomainId>(failureDomain),
    isEvacuated: isEvacuated === 1,
    revision: toNumberId<Revision>(revision),
  }));
}

function packRecord({
  era,
  failureDomain,
  isEvacuated,
  revision,
}: EvacuationRecord): PackedEvacuation {
  return [failureDomain, era, revision, isEvacuated ? 1 : 0];
}

function isPacked(value: unknown): value is PackedEvacuation {
  return (
    Array.isArray(value) &&
    value.length >= PACKED_LENGTH &&
    typeof value[0] === 'string' &&
    value[0] !== '' &&
    isPosition(value[1]) &&
    isPosition(value[2]) &&
    (value[3] === 0 || value[3] === 1)
  );
}

function isPosition(value: unknown): boolean {
  return Number.isSafeInteger(value) && Number(value) >= 0;
}
