import type {
  LeaseId,
  MonotonicClock,
  Revision,
  RevisionGuard,
  StoredValue,
} from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import type { RevisionChanges } from '@laburnumgap/key-value';
import {
  GRPC_STATUS,
  MAX_VALUE_BYTES,
  NO_LEADER_MESSAGE,
  PlatformStoreState,
  fromBase64,
} from '@laburnumgap/key-value';
import type { z } from 'zod';
import {
  grantSchema,
  leaseSchema,
  rangeSchema,
  txnSchema,
  watchSchema,
} from './PlatformStandinSchema.js';
import { keyFilter, toKeyValue, toStoreWrite, toWatchEvent } from './PlatformStandinCodec.js';
import { RateLimiter } from './StandinRateLimiter.js';
import type { Fault } from './StandinFaults.js';
import type {
  StandinAnswer,
  StandinRequest,
  StandinServer,
  StandinStream,
} from './StandinServer.js';
import { jsonAnswer, startStandinServer } from './StandinServer.js';

/** Options of {@link startPlatformStandin}. */
export interface PlatformStandinOptions {
  /** Clock of the lease expiry and the rate limits. */
  readonly clock?: MonotonicClock;
  /** Ends the process; without it, a kill closes the server and its connections. */
  readonly kill?: () => void;
  /** IP:PORT to listen on; port 0 takes a free port. */
  readonly listen: string;
  /** Ranges and watches above this rate are refused; unlimited by default. */
  readonly readsPerSecond?: number;
  /** Keys and leases to serve; empty by default. */
  readonly state?: PlatformStoreState;
  /** All other calls above this rate are refused; unlimited by default. */
  readonly writesPerSecond?: number;
}

/** Number of calls since the start, by path. */
export type CallCounts = Record<string, number>;

const LEASE_EXPIRY_INTERVAL_MS = 200;
const MS_PER_SECOND = 1000;
const READ_PATHS: ReadonlySet<string> = new Set(['/v3/kv/range', '/v3/watch']);

/**
 * Starts a stand-in of the platform's key-value service: a subset of the etcd v3 JSON gateway.
 *
 * @param options - address, state and rate limits
 * @returns the running stand-in
 * @throws when the address cannot be bound
 */
export async function startPlatformStandin(
  options: PlatformStandinOptions,
): Promise<StandinServer> {
  const service = new PlatformStandinService(options);
  const server = await startStandinServer({
    control: (request) => service.control(request),
    handle: (request) => service.handle(request),
    kill: options.kill,
    listen: options.listen,
    onCall: (request) => {
      service.countCall(request);
    },
    onFault: (fault) => service.applyFault(fault),
    refusedBody: { code: GRPC_STATUS.unavailable, message: NO_LEADER_MESSAGE },
  });
  return {
    ...sharedMembersOf(server),
    close: async () => {
      service.stop();
      await server.close();
    },
    kill: () => {
      service.stop();
      server.kill();
    },
  };
}

/** Members of the server that the stand-in passes on unchanged. */
function sharedMembersOf(
  server: StandinServer,
): Pick<StandinServer, 'address' | 'faults' | 'silenceConnections' | 'url'> {
  return {
    address: server.address,
    faults: server.faults,
    silenceConnections: () => {
      server.silenceConnections();
    },
    url: server.url,
  };
}

/** State that ranges see while the `lag` fault is in effect. */
interface StaleSnapshot {
  readonly revision: Revision;
  readonly values: readonly StoredValue[];
}

/** Handles the calls of the platform stand-in on its store state. */
class PlatformStandinService {
  readonly #clock: MonotonicClock;
  readonly #callCounts: CallCounts = {};
  readonly #leaseExpiryTimer: NodeJS.Timeout;
  readonly #readLimiter: RateLimiter;
  readonly #state: PlatformStoreState;
  readonly #writeLimiter: RateLimiter;
  #staleSnapshot: StaleSnapshot | undefined;

  constructor(options: PlatformStandinOptions) {
    this.#clock = options.clock ?? { nowMs: () => performance.now() };
    this.#state = options.state ?? new PlatformStoreState();
    this.#readLimiter = new RateLimiter(options.readsPerSecond);
    this.#writeLimiter = new RateLimiter(options.writesPerSecond);
    this.#leaseExpiryTimer = setInterval(() => {
      this.#state.revokeExpiredLeases(this.#clock.nowMs());
    }, LEASE_EXPIRY_INTERVAL_MS);
    this.#leaseExpiryTimer.unref();
  }

  stop(): void {
    clearInterval(this.#leaseExpiryTimer);
  }

  /** Handles the stand-in's control calls; returns undefined for an unknown path. */
  control(request: StandinRequest): StandinAnswer | undefined {
    switch (request.path) {
      case '/control/compact':
        this.#state.compact(this.#state.revision);
        return jsonAnswer(200, {});
      case '/control/counts':
        return jsonAnswer(200, this.#callCounts);
      default:
        return undefined;
    }
  }

  /** Counts a call by its path. */
  countCall(request: StandinRequest): void {
    this.#callCounts[request.path] = (this.#callCounts[request.path] ?? 0) + 1;
  }

  /**
   * Applies the `lag` fault: until it is cleared, ranges see the state at the time of the fault.
   *
   * @param fault - the fault
   * @returns whether the fault is of a kind that this stand-in handles itself
   */
  applyFault(fault: Fault): boolean {
    if (fault.kind === 'clear' || (fault.kind === 'lag' && fault.lagMs === 0)) {
      this.#staleSnapshot = undefined;
    } else if (fault.kind === 'lag') {
      this.#staleSnapshot = {
        revision: this.#state.revision,
        values: this.#state.select(() => true),
      };
    }
    return fault.kind === 'lag';
  }

  /** Handles a call of the gateway, within the rate limits. */
  handle(request: StandinRequest): StandinAnswer {
    const limiter = READ_PATHS.has(request.path) ? this.#readLimiter : this.#writeLimiter;
    if (!limiter.tryAcquire(this.#clock.nowMs())) {
      return errorAnswer(429, GRPC_STATUS.resourceExhausted, 'etcdserver: too many requests');
    }
    this.#state.revokeExpiredLeases(this.#clock.nowMs());
    try {
      return this.#answer(request.path, JSON.parse(request.body));
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      return errorAnswer(400, GRPC_STATUS.invalidArgument, detail);
    }
  }

  #answer(path: string, body: unknown): StandinAnswer {
    switch (path) {
      case '/v3/kv/lease/revoke':
      case '/v3/lease/revoke':
        return this.#revoke(leaseSchema.parse(body));
      case '/v3/kv/range':
        return this.#range(rangeSchema.parse(body));
      case '/v3/kv/txn':
        return this.#txn(txnSchema.parse(body));
      case '/v3/lease/grant':
        return this.#grant(grantSchema.parse(body));
      case '/v3/lease/keepalive':
        return this.#keepAlive(leaseSchema.parse(body));
      case '/v3/watch':
        return this.#watch(watchSchema.parse(body));
      default:
        return errorAnswer(404, GRPC_STATUS.notFound, 'unknown path');
    }
  }

  #range(body: z.infer<typeof rangeSchema>): StandinAnswer {
    const isInRange = keyFilter(body.key, body.range_end);
    const snapshot = this.#staleSnapshot;
    const values =
      snapshot?.values.filter((value) => isInRange(value.key)) ?? this.#state.select(isInRange);
    return jsonAnswer(200, {
      count: String(values.length),
      header: { revision: String(snapshot?.revision ?? this.#state.revision) },
      kvs: values.map(toKeyValue),
    });
  }

  #txn(body: z.infer<typeof txnSchema>): StandinAnswer {
    const writes = body.success.map(toStoreWrite);
    if (writes.some((write) => write.kind === 'put' && isTooLarge(write.value))) {
      return errorAnswer(400, GRPC_STATUS.invalidArgument, 'etcdserver: request is too large');
    }
    const guards: RevisionGuard[] = body.compare.map((guard) => ({
      key: fromBase64(guard.key),
      modRevision: toNumberId<Revision>(guard.mod_revision),
    }));
    const committed = this.#state.commit({ guards, writes });
    if (committed.ok) {
      return jsonAnswer(200, { header: this.#header(), succeeded: true });
    }
    if (committed.error.kind === 'leaseNotFound') {
      return leaseNotFoundAnswer();
    }
    return jsonAnswer(200, { header: this.#header() });
  }

  #grant(body: z.infer<typeof grantSchema>): StandinAnswer {
    const leaseId = this.#state.grantLease(body.TTL * MS_PER_SECOND, this.#clock.nowMs());
    return jsonAnswer(200, { header: this.#header(), ID: leaseId, TTL: String(body.TTL) });
  }

  #keepAlive(body: z.infer<typeof leaseSchema>): StandinAnswer {
    const ttlMs = this.#state.keepAlive(toId<LeaseId>(body.ID), this.#clock.nowMs());
    const ttlField = ttlMs === undefined ? {} : { TTL: String(ttlMs / MS_PER_SECOND) };
    return jsonAnswer(200, { result: { header: this.#header(), ID: body.ID, ...ttlField } });
  }

  #revoke(body: z.infer<typeof leaseSchema>): StandinAnswer {
    const wasRevoked = this.#state.revokeLease(toId<LeaseId>(body.ID));
    return wasRevoked ? jsonAnswer(200, { header: this.#header() }) : leaseNotFoundAnswer();
  }

  #watch(body: z.infer<typeof watchSchema>): StandinAnswer {
    const { key, range_end: rangeEnd, start_revision: startRevision } = body.create_request;
    const isInRange = keyFilter(key, rangeEnd);
    const firstRevision = startRevision === 0 ? this.#state.revision + 1 : startRevision;
    return {
      contentType: 'application/json',
      kind: 'stream',
      start: (stream) => {
        this.#startWatch(stream, isInRange, toNumberId<Revision>(firstRevision - 1));
      },
    };
  }

  #startWatch(stream: StandinStream, isInRange: (key: string) => boolean, after: Revision): void {
    const pastChanges = this.#state.changesAfter(after);
    if (!pastChanges) {
      const compactRevision = String(this.#state.oldestRevision - 1);
      this.#writeLine(stream, { canceled: true, compact_revision: compactRevision });
      stream.end();
      return;
    }
    this.#writeLine(stream, { created: true });
    const deliver = (entry: RevisionChanges): void => {
      const events = entry.changes.filter((change) => isInRange(change.key)).map(toWatchEvent);
      if (events.length > 0) {
        this.#writeLine(stream, { events }, entry.revision);
      }
    };
    pastChanges.forEach(deliver);
    stream.onClose(this.#state.onChange(deliver));
  }

  #writeLine(stream: StandinStream, result: object, revision?: Revision): void {
    const header = revision === undefined ? this.#header() : { revision: String(revision) };
    stream.write(`${JSON.stringify({ result: { header, ...result } })}\n`);
  }

  #header(): { readonly revision: string } {
    return { revision: String(this.#state.revision) };
  }
}

function isTooLarge(value: string): boolean {
  return Buffer.byteLength(value) > MAX_VALUE_BYTES;
}

function errorAnswer(status: number, code: number, message: string): StandinAnswer {
  return jsonAnswer(status, { code, message });
}

function leaseNotFoundAnswer(): StandinAnswer {
  return errorAnswer(404, GRPC_STATUS.notFound, 'etcdserver: requested lease not found');
}
