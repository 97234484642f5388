import type { BackendServer, ServerIncarnation, ServerRegistry } from '@laburnumgap/dispatch';
import { RecencyMap } from '@laburnumgap/dispatch';
import type { FingerprintId, MonotonicClock } from '@laburnumgap/kernel';
import type { ServerReachability } from './ServerDial.js';
import type { ServingLog } from '../ServingLog.js';

/** A request whose response broke off. */
export interface BrokenRequest {
  /** What it has in common with other requests that can crash servers. */
  readonly fingerprints: readonly FingerprintId[];
  readonly requestId: string;
  /** When it was sent, monotonic time. */
  readonly sentMs: number;
  /** Fingerprints of which it was a trial. */
  readonly trialOf: readonly FingerprintId[];
}

/** A server process that ended while it ran requests of this daemon. */
export interface ServerCrash {
  /** When the first response broke off, monotonic time. */
  readonly crashedMs: number;
  readonly requests: readonly BrokenRequest[];
  readonly server: ServerIncarnation;
}

/** Options of {@link CrashDetector}. */
export interface CrashDetectorOptions {
  readonly clock: MonotonicClock;
  readonly log: ServingLog;
  readonly onCrash: (crash: ServerCrash) => void;
  /** Finds out whether a server accepts connections, from this daemon or from others. */
  readonly examine: (server: BackendServer) => Promise<ServerReachability>;
  readonly registry: Pick<ServerRegistry, 'get'>;
}

/** The responses of a crashed server break off within this time of each other. */
const SETTLE_MS = 20;
/** A response that breaks off later is another matter: the server can be back under the same id. */
const SAME_CRASH_MS = 1_000;
/** Crashed servers whose later broken responses are still assigned to the crash. */
const MAX_REMEMBERED_CRASHES = 64;
/** Requests in one log line. */
const MAX_LOGGED_REQUESTS = 8;

/**
 * Tells the crash of a server process from a single broken response, a leaving server, and a server
 * that has lost power or the network: a VM on which the process is gone refuses connections.
 */
export class CrashDetector {
  /** Times of crashes by server. */
  private readonly crashedMs = new RecencyMap<string, number>(MAX_REMEMBERED_CRASHES);
  /** Broken requests by server, while its state is not known yet. */
  private readonly pending = new Map<string, BrokenRequest[]>();

  constructor(private readonly options: CrashDetectorOptions) {}

  /**
   * Records that the response to a request broke off.
   *
   * @param server - the server that ran it
   * @param request - the request
   */
  onBroken(server: BackendServer, request: BrokenRequest): void {
    const entry = this.options.registry.get(server.serverId);
    if (!entry || entry.leaving) {
      return;
    }
    const key = keyOf(server);
    const crashedMs = this.crashedMs.get(key) ?? -Infinity;
    if (this.options.clock.nowMs() - crashedMs < SAME_CRASH_MS) {
      this.report(server, [request], crashedMs);
      return;
    }
    const pending = this.pending.get(key);
    if (pending) {
      pending.push(request);
      return;
    }
    this.pending.set(key, [request]);
    void this.examine(server, key);
  }

  private async examine(server: BackendServer, key: string): Promise<void> {
    const { clock, log } = this.options;
    const brokenMs = clock.nowMs();
    const result = await this.options.examine(server);
    if (result === 'refused') {
      await new Promise((resolve) => setTimeout(resolve, SETTLE_MS));
    }
    const requests = this.pending.get(key) ?? [];
    this.pending.delete(key);
    if (result !== 'refused') {
      const { serverId } = server;
      log.info('response-broken', { requests: requests.length, server: result, serverId });
      return;
    }
    this.crashedMs.set(key, brokenMs);
    this.report(server, requests, brokenMs);
  }

  private report(
    { serverId, startedEpochMs }: BackendServer,
    requests: readonly BrokenRequest[],
    crashedMs: number,
  ): void {
    const { log, onCrash } = this.options;
    log.warn('server-crashed', {
      fingerprints: [...new Set(requests.flatMap(({ fingerprints }) => fingerprints))]
        .slice(0, MAX_LOGGED_REQUESTS)
        .join(','),
      requestIds: requests
        .slice(0, MAX_LOGGED_REQUESTS)
        .map(({ requestId }) => requestId)
        .join(','),
      requests: requests.length,
      serverId,
      trialOf: requests.flatMap(({ trialOf }) => trialOf).join(',') || undefined,
    });
    onCrash({ crashedMs, requests, server: { serverId, startedEpochMs } });
  }
}

function keyOf({ serverId, startedEpochMs }: ServerIncarnation): string {
  return `${serverId} ${startedEpochMs}`;
}
