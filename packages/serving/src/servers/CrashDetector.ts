import type { BackendServer, ServerIncarnation, ServerRegistry } from '@laburnumgap/dispatch';
import { RecencyMap } from '@laburnumgap/dispatch';
import type { FingerprintId, MonotonicClock } from '@laburnumgap/kernel';
import type { ServerReachability } from './ServerDial.js';
import { PROCESS_EXIT_MS } from '../ServingConstants.js';
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
  /** Resolves after a delay; by a timer by default. */
  readonly delay?: (delayMs: number) => Promise<void>;
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

/** A server whose state is not known yet, and the responses that it broke off or ended, by request id. */
type Examination = Map<string, { readonly isBroken: boolean; readonly request: BrokenRequest }>;

interface KnownCrash {
  readonly crashedMs: number;
  /** Requests that were reported with it. */
  readonly requestIds: Set<string>;
}

/**
 * Tells the crash of a server process from a single broken response, a leaving server, and a server
 * that has lost power or the network: a VM on which the process is gone refuses connections.
 */
export class CrashDetector {
  /** By server. */
  private readonly crashes = new RecencyMap<string, KnownCrash>(MAX_REMEMBERED_CRASHES);
  /** By server. */
  private readonly pending = new Map<string, Examination>();

  constructor(private readonly options: CrashDetectorOptions) {}

  /**
   * Records that the response to a request broke off.
   *
   * @param server - the server that ran it
   * @param request - the request
   */
  onBroken(server: BackendServer, request: BrokenRequest): void {
    this.record(server, request, true);
  }

  /**
   * Records that a connection ended whose response is whole only if the server still runs. It is examined
   * at once, since the entry of a crashed server can be gone when the connection knows the answer.
   *
   * @param server - the server that ran the request
   * @param request - the request
   */
  onEnded(server: BackendServer, request: BrokenRequest): void {
    this.record(server, request, false);
  }

  private record(server: BackendServer, request: BrokenRequest, isBroken: boolean): void {
    const { clock, registry } = this.options;
    const key = keyOf(server);
    const crash = this.crashes.get(key);
    if (crash?.requestIds.has(request.requestId)) {
      return;
    }
    if (crash && clock.nowMs() - crash.crashedMs < SAME_CRASH_MS) {
      this.report(server, [request], crash);
      return;
    }
    const pending = this.pending.get(key);
    if (pending) {
      pending.set(request.requestId, { isBroken, request });
      return;
    }
    const entry = registry.get(server.serverId);
    if (!entry || entry.leaving) {
      return;
    }
    this.pending.set(key, new Map([[request.requestId, { isBroken, request }]]));
    void this.examine(server, key, isBroken ? 0 : PROCESS_EXIT_MS);
  }

  private async examine(server: BackendServer, key: string, delayMs: number): Promise<void> {
    const { clock, delay = defaultDelay, examine, log } = this.options;
    const crashedMs = clock.nowMs();
    if (delayMs > 0) {
      await delay(delayMs);
    }
    const result = await examine(server);
    if (result === 'refused') {
      await delay(SETTLE_MS);
    }
    const examined = [...(this.pending.get(key)?.values() ?? [])];
    this.pending.delete(key);
    if (result === 'refused') {
      const requests = examined.map(({ request }) => request);
      this.report(server, requests, { crashedMs, requestIds: new Set() });
      return;
    }
    const requests = examined.filter(({ isBroken }) => isBroken).length;
    if (requests > 0) {
      log.info('response-broken', { requests, server: result, serverId: server.serverId });
    }
  }

  private report(
    { serverId, startedEpochMs }: BackendServer,
    requests: readonly BrokenRequest[],
    crash: KnownCrash,
  ): void {
    const { log, onCrash } = this.options;
    const { crashedMs } = crash;
    requests.forEach(({ requestId }) => crash.requestIds.add(requestId));
    this.crashes.set(keyOf({ serverId, startedEpochMs }), crash);
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

function defaultDelay(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });
}

function keyOf({ serverId, startedEpochMs }: ServerIncarnation): string {
  return `${serverId} ${startedEpochMs}`;
}
