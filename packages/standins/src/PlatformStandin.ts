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
import { keyFilter, toEvent, toKeyValue, toStoreWrite } from './PlatformStandinUtils.js';
import { RateCap } from './StandinRateCap.js';
import type { Fault } from './StandinFaults.js';
import type {
  StandinAnswer,
  StandinRequest,
  StandinServer,
  StandinStream,
} from './StandinServer.js';
import { startStandinServer, whole } from './StandinServer.js';

/** Options of {@link startPlatformStandin}. */
export interface PlatformStandinOptions {
  /** Ends leases and fills the rates. */
  readonly clock?: MonotonicClock;
  readonly kill?: () => void;
  readonly listen: string;
  /** Reads above this rate are refused; unlimited without it. */
  readonly readsPerSecond?: number;
  readonly state?: PlatformStoreState;
  /** Writes above this rate are refused; unlimited without it. */
  readonly writesPerSecond?: number;
}

/** Calls by their path since the start. */
export type CallCounts = Record<string, number>;

const EXPIRY_INTERVAL_MS = 200;
const MS_PER_SECOND = 1000;
const READ_PATHS: ReadonlySet<string> = new Set(['/v3/kv/range', '/v3/watch']);

/**
 * Starts a stand-in of the platform's key-value service: a subset of the etcd v3 JSON gateway.
 *
 * @param options - address, state and rates
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
      service.count(request);
    },
    onFault: (fault) => service.applyFault(fault),
    refusedBody: { code: GRPC_STATUS.unavailable, message: NO_LEADER_MESSAGE },
  });
  return {
    ...passOn(server),
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

function passOn(
  server: StandinServer,
): Pick<StandinServer, 'address' | 'faults' | 'silence' | 'url'> {
  return {
    address: server.address,
    faults: server.faults,
    silence: () => {
      server.silence();
    },
    url: server.url,
  };
}

/** What lagging reads see. */
interface StaleRead {
  readonly revision: Revision;
  readonly values: readonly StoredValue[];
}

class PlatformStandinService {
  readonly #clock: MonotonicClock;
  readonly #counts: CallCounts = {};
  readonly #expiry: NodeJS.Timeout;
  readonly #reads: RateCap;
  readonly #state: PlatformStoreState;
  readonly #writes: RateCap;
  #staleRead: StaleRead | undefined;

  constructor(options: PlatformStandinOptions) {
    this.#clock = options.clock ?? { nowMs: () => performance.now() };
    this.#state = options.state ?? new PlatformStoreState();
    this.#reads = new RateCap(options.readsPerSecond);
    this.#writes = new RateCap(options.writesPerSecond);
    this.#expiry = setInterval(() => {
      this.#state.revokeExpiredLeases(this.#clock.nowMs());
    }, EXPIRY_INTERVAL_MS);
    this.#expiry.unref();
  }

  stop(): void {
    clearInterval(this.#expiry);
  }

  control(request: StandinRequest): StandinAnswer | undefined {
    switch (request.path) {
      case '/control/compact':
        this.#state.compact(this.#state.revision);
        return whole(200, {});
      case '/control/counts':
        return whole(200, this.#counts);
      default:
        return undefined;
    }
  }

  count(request: StandinRequest): void {
    this.#counts[request.path] = (this.#counts[request.path] ?? 0) + 1;
  }

  /** While it lags, reads see the state of the moment at which that began. */
  applyFault(fault: Fault): boolean {
    if (fault.kind === 'clear' || (fault.kind === 'lag' && fault.lagMs === 0)) {
      this.#staleRead = undefined;
    } else if (fault.kind === 'lag') {
      this.#staleRead = { revision: this.#state.revision, values: this.#state.select(() => true) };
    }
    return fault.kind === 'lag';
  }

  handle(request: StandinRequest): StandinAnswer {
    const cap = READ_PATHS.has(request.path) ? this.#reads : this.#writes;
    if (!cap.take(this.#clock.nowMs())) {
      return refused(429, GRPC_STATUS.resourceExhausted, 'etcdserver: too many requests');
    }
    this.#state.revokeExpiredLeases(this.#clock.nowMs());
    try {
      return this.#answer(request.path, JSON.parse(request.body));
    } catch (error) {
      const detail = error instanceof Error ? error.message : String(error);
      return refused(400, GRPC_STATUS.invalidArgument, detail);
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
        return refused(404, GRPC_STATUS.notFound, 'unknown path');
    }
  }

  #range(body: z.infer<typeof rangeSchema>): StandinAnswer {
    const takes = keyFilter(body.key, body.range_end);
    const stale = this.#staleRead;
    const values = stale?.values.filter((value) => takes(value.key)) ?? this.#state.select(takes);
    return whole(200, {
      count: String(values.length),
      header: { revision: String(stale?.revision ?? this.#state.revision) },
      kvs: values.map(toKeyValue),
    });
  }

  #txn(body: z.infer<typeof txnSchema>): StandinAnswer {
    const writes = body.success.map(toStoreWrite);
    if (writes.some((write) => write.kind === 'put' && isTooLarge(write.value))) {
      return refused(400, GRPC_STATUS.invalidArgument, 'etcdserver: request is too large');
    }
    const guards: RevisionGuard[] = body.compare.map((guard) => ({
      key: fromBase64(guard.key),
      modRevision: toNumberId<Revision>(guard.mod_revision),
    }));
    const committed = this.#state.commit({ guards, writes });
    if (committed.ok) {
      return whole(200, { header: this.#header(), succeeded: true });
    }
    if (committed.error.kind === 'leaseNotFound') {
      return leaseNotFound();
    }
    return whole(200, { header: this.#header() });
  }

  #grant(body: z.infer<typeof grantSchema>): StandinAnswer {
    const leaseId = this.#state.grantLease(body.TTL * MS_PER_SECOND, this.#clock.nowMs());
    return whole(200, { header: this.#header(), ID: leaseId, TTL: String(body.TTL) });
  }

  #keepAlive(body: z.infer<typeof leaseSchema>): StandinAnswer {
    const ttlMs = this.#state.keepAlive(toId<LeaseId>(body.ID), this.#clock.nowMs());
    const term = ttlMs === undefined ? {} : { TTL: String(ttlMs / MS_PER_SECOND) };
    return whole(200, { result: { header: this.#header(), ID: body.ID, ...term } });
  }

  #revoke(body: z.infer<typeof leaseSchema>): StandinAnswer {
    const existed = this.#state.revokeLease(toId<LeaseId>(body.ID));
    return existed ? whole(200, { header: this.#header() }) : leaseNotFound();
  }

  #watch(body: z.infer<typeof watchSchema>): StandinAnswer {
    const { key, range_end: rangeEnd, start_revision: startRevision } = body.create_request;
    const takes = keyFilter(key, rangeEnd);
    const start = startRevision === 0 ? this.#state.revision + 1 : startRevision;
    return {
      contentType: 'application/json',
      kind: 'stream',
      start: (stream) => {
        this.#startWatch(stream, takes, toNumberId<Revision>(start - 1));
      },
    };
  }

  #startWatch(stream: StandinStream, takes: (key: string) => boolean, after: Revision): void {
    const missed = this.#state.changesAfter(after);
    if (!missed) {
      const compactRevision = String(this.#state.oldestRevision - 1);
      this.#writeLine(stream, { canceled: true, compact_revision: compactRevision });
      stream.end();
      return;
    }
    this.#writeLine(stream, { created: true });
    const deliver = (entry: RevisionChanges): void => {
      const events = entry.changes.filter((change) => takes(change.key)).map(toEvent);
      if (events.length > 0) {
        this.#writeLine(stream, { events }, entry.revision);
      }
    };
    missed.forEach(deliver);
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

function refused(status: number, code: number, message: string): StandinAnswer {
  return whole(status, { code, message });
}

function leaseNotFound(): StandinAnswer {
  return refused(404, GRPC_STATUS.notFound, 'etcdserver: requested lease not found');
}
