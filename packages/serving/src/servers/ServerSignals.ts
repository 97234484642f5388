import type { BackendServer, ServerLimits, ServerRegistry } from '@laburnumgap/dispatch';
import type { MonotonicClock } from '@laburnumgap/kernel';
import { isMisdirected } from './ResponseChecks.js';
import type { ResponseHead } from './ResponseParser.js';
import type { ServingLog } from '../ServingLog.js';
import type { ResponseMetadata, WireProtocol } from '../ServingPorts.js';

/** Options of {@link ServerSignals}. */
export interface ServerSignalsOptions {
  readonly clock: MonotonicClock;
  readonly limits: Pick<ServerLimits, 'isBrittle' | 'record' | 'requestsPerS'>;
  readonly log: ServingLog;
  /** Called when a server wants no requests of the daemon that its connection comes from. */
  readonly onBackoff: (server: BackendServer, retryAfterMs: number) => void;
  /** Called with the time for which a server says that it is cold; ignored by default. */
  readonly onCold?: (server: BackendServer, remainingColdMs: number) => void;
  readonly onLeaving: (server: BackendServer) => void;
  /** Called when a server begins or ceases to limit its requests. */
  readonly onLimitChanged: () => void;
  /** Called when a brittle server turned a request away. */
  readonly onRejected: (server: BackendServer) => void;
  readonly protocol: Pick<WireProtocol, 'parseResponseMetadata'>;
  readonly registry: Pick<ServerRegistry, 'backOff' | 'isBackingOff'>;
}

const UNAVAILABLE_STATUS = 503;

/**
 * Evaluates what servers say about themselves in the head of any response: that they are leaving,
 * for how long they want no requests of this daemon, how many requests they take from all, and for how
 * long they are cold.
 */
export class ServerSignals {
  private readonly loggedHeaders = new Set<string>();

  constructor(private readonly options: ServerSignalsOptions) {}

  /**
   * Evaluates a response head.
   *
   * @param server - the server that the request was sent to
   * @param head - head of its response
   * @returns the properties of the response
   */
  evaluate(server: BackendServer, head: ResponseHead): ResponseMetadata {
    const { clock, log, onBackoff, onLeaving, onRejected, protocol, registry } = this.options;
    const metadata = protocol.parseResponseMetadata(head.headers);
    const { serverId } = server;
    for (const header of metadata.unreadableHeaders) {
      if (!this.loggedHeaders.has(header)) {
        this.loggedHeaders.add(header);
        log.warn('response-header-unreadable', { header, serverId });
      }
    }
    if (isMisdirected(head)) {
      // Another server has taken the address, and speaks of itself.
      return metadata;
    }
    if (metadata.isLeaving) {
      onLeaving(server);
    }
    if (metadata.remainingColdMs !== undefined) {
      this.options.onCold?.(server, metadata.remainingColdMs);
    }
    this.recordLimit(server, metadata);
    if (
      head.status === UNAVAILABLE_STATUS &&
      metadata.notRun &&
      this.options.limits.isBrittle(server)
    ) {
      onRejected(server);
    }
    const { retryAfterMs } = metadata;
    if (head.status === UNAVAILABLE_STATUS && retryAfterMs !== undefined) {
      const nowMs = clock.nowMs();
      if (!registry.isBackingOff(serverId, nowMs)) {
        log.info('server-backs-off', { retryAfterMs, serverId });
      }
      registry.backOff(server, nowMs + retryAfterMs);
      onBackoff(server, retryAfterMs);
    }
    return metadata;
  }

  /** Only a response that the server made for a request shows that it names no limit any more. */
  private recordLimit(server: BackendServer, metadata: ResponseMetadata): void {
    const { clock, limits, log, onLimitChanged } = this.options;
    const { isLimitUnreadable, isStamped, maxRejectionsPerS, requestsPerS } = metadata;
    const namesNone = requestsPerS === undefined && maxRejectionsPerS === undefined;
    if (isLimitUnreadable || (namesNone && !isStamped)) {
      return;
    }
    const { serverId, startedEpochMs } = server;
    const previousPerS = limits.requestsPerS(server);
    const wasBrittle = limits.isBrittle(server);
    const observedMs = clock.nowMs();
    const observation = { maxRejectionsPerS, observedMs, requestsPerS, serverId, startedEpochMs };
    if (limits.record(observation)) {
      log.info('server-limit-changed', {
        maxRejectionsPerS,
        previousPerS,
        requestsPerS,
        serverId,
        source: 'response',
      });
      const isOtherKind =
        (previousPerS === undefined) !== (requestsPerS === undefined) ||
        wasBrittle !== (maxRejectionsPerS !== undefined);
      if (isOtherKind) {
        onLimitChanged();
      }
    }
  }
}
