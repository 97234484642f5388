import type { Contract, ContractCall } from '@laburnumgap/contracts';
import type { ServiceId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';

/** A path of the callers' interface below `/services/`. */
export interface PlainCallTarget {
  /** Path below the service, with its query. */
  readonly path: string;
  /** Decoded segments of the path. */
  readonly segments: readonly string[];
  readonly service: ServiceId;
}

const SERVICES_PREFIX = '/services/';
const WILDCARD = '*';
const UNSAFE_SEGMENT = /[/\\\0]/;

/**
 * Splits a request's URL into service and path. Segments that a server may read as another path
 * (dots, encoded slashes, empty ones) are not accepted, so that a call can't be matched as one and
 * run as another.
 *
 * @param url - path and query as sent
 * @returns the target, or undefined when the URL names none
 */
export function parsePlainCallTarget(url: string): PlainCallTarget | undefined {
  if (!url.startsWith(SERVICES_PREFIX) || url.includes('#')) {
    return undefined;
  }
  const rest = url.slice(SERVICES_PREFIX.length);
  const slash = rest.indexOf('/');
  if (slash <= 0) {
    return undefined;
  }
  const path = rest.slice(slash);
  const [pathname = ''] = path.split('?');
  const segments = decodeSegments(pathname);
  return segments && { path, segments, service: toId<ServiceId>(rest.slice(0, slash)) };
}

/**
 * Finds the contract's call for a target. Where several match, one that may not be repeated wins.
 *
 * @param contract - the team's contract
 * @param method - HTTP method
 * @param target - service and path
 * @returns the call, or undefined when the contract names none
 */
export function matchPlainCall(
  contract: Pick<Contract, 'services'>,
  method: string,
  target: PlainCallTarget,
): ContractCall | undefined {
  const matching = contract.services
    .filter((service) => service.name === target.service)
    .flatMap((service) => service.calls)
    .filter((call) => call.method === method && matchesPattern(call.path, target.segments));
  return matching.find((call) => !call.idempotent) ?? matching[0];
}

function matchesPattern(pattern: string, segments: readonly string[]): boolean {
  const expected = pattern.slice(1).split('/');
  return (
    expected.length === segments.length &&
    expected.every((text, index) => text === WILDCARD || text === segments[index])
  );
}

function decodeSegments(pathname: string): readonly string[] | undefined {
  const segments: string[] = [];
  for (const encoded of pathname.slice(1).split('/')) {
    const segment = decodeSegment(encoded);
    if (segment === undefined) {
      return undefined;
    }
    segments.push(segment);
  }
  return segments;
}

function decodeSegment(encoded: string): string | undefined {
  let segment: string;
  try {
    segment = decodeURIComponent(encoded);
  } catch {
    return undefined;
  }
  const isUnsafe = segment === '' || segment === '.' || segment === '..';
  return isUnsafe || UNSAFE_SEGMENT.test(segment) ? undefined : segment;
}
