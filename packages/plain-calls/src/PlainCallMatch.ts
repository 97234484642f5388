import type { Contract, ContractCall } from '@laburnumgap/contracts';
import type { ServiceId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';

/** Target of a plain call: `/services/SERVICE/PATH`. */
export interface PlainCallTarget {
  /** Path after the service's name, with the query. */
  readonly path: string;
  /** Percent-decoded segments of the path. */
  readonly segments: readonly string[];
  readonly service: ServiceId;
}

const SERVICES_PREFIX = '/services/';
const WILDCARD_SEGMENT = '*';
const UNSAFE_CHARACTERS = /[/\\\0]/;

/**
 * Parses a request's URL into service and path. Segments that a server may normalize to another
 * path (dots, encoded slashes, empty ones) are rejected, so that a request can't match one call of
 * the contract and run as another.
 *
 * @param url - path and query as received
 * @returns the target, or undefined for any other or a rejected URL
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
 * Finds the contract's call for a target. If several match, a non-idempotent one takes precedence.
 *
 * @param contract - the team's contract
 * @param method - HTTP method
 * @param target - service and path
 * @returns the call, or undefined when the contract has none that matches
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
    expected.every((text, index) => text === WILDCARD_SEGMENT || text === segments[index])
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
  return isUnsafe || UNSAFE_CHARACTERS.test(segment) ? undefined : segment;
}
