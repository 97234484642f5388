import type { ServiceId } from '@laburnumgap/kernel';
import type { BackendServer } from './BackendServer.js';
import type { ServerLimits } from './ServerLimits.js';

/** Options of {@link BrittleServices}. */
export interface BrittleServicesOptions {
  readonly limits: Pick<ServerLimits, 'hasBrittle' | 'isBrittle'>;
  /** Servers of a service that are not leaving. */
  readonly serversOf: (service: ServiceId) => readonly BackendServer[];
}

/** A service is looked at again after this: servers say that they are brittle in every answer. */
const CACHE_MS = 100;

/**
 * Tells which services are brittle as a whole. Answers the load of a service whose servers are replaced
 * while they are brittle: a new server fails like the others, but says so only in its first answer, before
 * which all daemons send it what they held back.
 */
export class BrittleServices {
  private readonly cached = new Map<
    ServiceId,
    { readonly isBrittle: boolean; readonly untilMs: number }
  >();

  constructor(private readonly options: BrittleServicesOptions) {}

  /**
   * Whether a server has to be taken for brittle before it says so: at least half of the other servers of
   * its service say that they are.
   *
   * @param server - the server
   * @param nowMs - monotonic time
   */
  includes({ service }: BackendServer, nowMs: number): boolean {
    const { limits, serversOf } = this.options;
    if (!limits.hasBrittle()) {
      return false;
    }
    const known = this.cached.get(service);
    if (known && nowMs < known.untilMs) {
      return known.isBrittle;
    }
    const servers = serversOf(service);
    const brittleCount = servers.filter((server) => limits.isBrittle(server)).length;
    // The server that is asked for is not among those that say so.
    const isBrittle = brittleCount > 0 && 2 * brittleCount >= servers.length - 1;
    this.cached.set(service, { isBrittle, untilMs: nowMs + CACHE_MS });
    return isBrittle;
  }
}
