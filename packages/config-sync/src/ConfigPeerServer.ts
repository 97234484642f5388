import type { MonotonicClock, Revision } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import type {
  ConfigBatch,
  ConfigEntry,
  FollowRequest__Output,
  RpcHandlers,
} from '@laburnumgap/rpc';
import type { ConfigEntryInForce, ConfigState } from './ConfigState.js';
import { BATCH_BYTES, HEARTBEAT_INTERVAL_MS } from './ConfigSyncConstants.js';

/** A stream to one follower. */
export interface FollowStream {
  end(): void;
  on(event: 'cancelled' | 'close' | 'drain' | 'error', listener: () => void): unknown;
  readonly request: FollowRequest__Output;
  write(batch: ConfigBatch): boolean;
}

/** gRPC handlers of the ConfigPeer service. */
export type ConfigPeerHandlers = NonNullable<RpcHandlers['ConfigPeer']>;

/** Options of {@link ConfigPeerServer}. */
export interface ConfigPeerServerOptions {
  /** Time since the configuration was last confirmed; infinite if never. */
  readonly ageMs: () => number;
  readonly clock: MonotonicClock;
  readonly state: ConfigState;
}

interface Follower {
  isBlocked: boolean;
  lastBatchAtMs: number;
  /** Documents applied up to this sequence number have been sent. */
  sentSequence: number;
  readonly stream: FollowStream;
}

/**
 * Sends accepted configuration to followers. What a slow follower has not taken yet is not queued:
 * it is read from the state once the follower takes more.
 */
export class ConfigPeerServer {
  private readonly followers = new Set<Follower>();

  constructor(private readonly options: ConfigPeerServerOptions) {}

  /** Handlers for the gRPC server. */
  get handlers(): ConfigPeerHandlers {
    return {
      Follow: (stream: FollowStream) => {
        this.follow(stream);
      },
    };
  }

  /** Number of followers connected. */
  get followerCount(): number {
    return this.followers.size;
  }

  /** Sends what was applied since the last call. */
  publish(): void {
    for (const follower of this.followers) {
      this.sendApplied(follower);
    }
  }

  /** Tells the followers that have heard nothing for a while the revision and its age. */
  tick(nowMs: number): void {
    for (const follower of this.followers) {
      const isDue = nowMs - follower.lastBatchAtMs >= HEARTBEAT_INTERVAL_MS;
      if (isDue && !follower.isBlocked) {
        this.sendBatches(follower, []);
      }
    }
  }

  /** Ends every stream. */
  stop(): void {
    for (const { stream } of this.followers) {
      stream.end();
    }
    this.followers.clear();
  }

  private follow(stream: FollowStream): void {
    const { state } = this.options;
    const follower: Follower = {
      isBlocked: false,
      lastBatchAtMs: 0,
      sentSequence: state.lastSequence,
      stream,
    };
    this.followers.add(follower);
    const forget = (): void => {
      this.followers.delete(follower);
    };
    stream.on('cancelled', forget);
    stream.on('close', forget);
    stream.on('error', forget);
    stream.on('drain', () => {
      follower.isBlocked = false;
      this.sendApplied(follower);
    });
    const after = toNumberId<Revision>(stream.request.afterRevision);
    this.sendBatches(follower, state.documentsAfter(after));
  }

  private sendApplied(follower: Follower): void {
    const { state } = this.options;
    if (follower.isBlocked || follower.sentSequence === state.lastSequence) {
      return;
    }
    const entries = state.appliedAfter(follower.sentSequence);
    follower.sentSequence = state.lastSequence;
    this.sendBatches(follower, entries);
  }

  /** Only the last batch carries the complete revision: the ones before it are parts. */
  private sendBatches(follower: Follower, entries: readonly ConfigEntryInForce[]): void {
    const { ageMs, clock, state } = this.options;
    const batches = splitBatches(entries);
    const age = ageMs();
    batches.forEach((batch, position) => {
      const isLast = position === batches.length - 1;
      const taken = follower.stream.write({
        ageMs: isLast && Number.isFinite(age) ? age : -1,
        entries: batch,
        revision: isLast ? state.completeRevision : 0,
      });
      follower.isBlocked = !taken;
    });
    follower.lastBatchAtMs = clock.nowMs();
  }
}

function splitBatches(entries: readonly ConfigEntryInForce[]): ConfigEntry[][] {
  const batches: ConfigEntry[][] = [[]];
  let bytes = 0;
  for (const { key, modRevision, value } of entries) {
    if (bytes > 0 && bytes + value.length > BATCH_BYTES) {
      batches.push([]);
      bytes = 0;
    }
    batches.at(-1)?.push({ deleted: false, key, modRevision, value });
    bytes += value.length;
  }
  return batches;
}
