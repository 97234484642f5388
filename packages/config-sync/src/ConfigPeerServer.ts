import type { MonotonicClock, Revision } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import type {
  ConfigBatch,
  ConfigEntry,
  FollowRequest__Output,
  RpcHandlers,
} from '@laburnumgap/rpc';
import type { ConfigEntryInForce, ConfigState } from './ConfigState.js';
import { HEARTBEAT_INTERVAL_MS, MAX_BATCH_BYTES } from './ConfigSyncConstants.js';

/** A stream to one follower. */
export interface FollowerStream {
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
  isAwaitingDrain: boolean;
  lastBatchAtMs: number;
  /** Sequence number up to which documents have been sent. */
  sentSequence: number;
  readonly stream: FollowerStream;
}

/**
 * Streams accepted configuration to followers. Nothing is queued for a slow follower: once its
 * stream drains, the documents that it lacks are read from the state.
 */
export class ConfigPeerServer {
  private readonly followers = new Set<Follower>();

  constructor(private readonly options: ConfigPeerServerOptions) {}

  /** Handlers to register with the gRPC server. */
  get handlers(): ConfigPeerHandlers {
    return {
      Follow: (stream: FollowerStream) => {
        this.addFollower(stream);
      },
    };
  }

  /** Number of followers connected. */
  get followerCount(): number {
    return this.followers.size;
  }

  /** Sends the documents applied since the last call. */
  publish(): void {
    for (const follower of this.followers) {
      this.sendNewEntries(follower);
    }
  }

  /** Sends a heartbeat with revision and age to followers without a recent batch. */
  tick(nowMs: number): void {
    for (const follower of this.followers) {
      const isDue = nowMs - follower.lastBatchAtMs >= HEARTBEAT_INTERVAL_MS;
      if (isDue && !follower.isAwaitingDrain) {
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

  private addFollower(stream: FollowerStream): void {
    const { state } = this.options;
    const follower: Follower = {
      isAwaitingDrain: false,
      lastBatchAtMs: 0,
      sentSequence: state.lastSequence,
      stream,
    };
    this.followers.add(follower);
    const removeFollower = (): void => {
      this.followers.delete(follower);
    };
    stream.on('cancelled', removeFollower);
    stream.on('close', removeFollower);
    stream.on('error', removeFollower);
    stream.on('drain', () => {
      follower.isAwaitingDrain = false;
      this.sendNewEntries(follower);
    });
    const after = toNumberId<Revision>(stream.request.afterRevision);
    this.sendBatches(follower, state.entriesAfterRevision(after));
  }

  private sendNewEntries(follower: Follower): void {
    const { state } = this.options;
    if (follower.isAwaitingDrain || follower.sentSequence === state.lastSequence) {
      return;
    }
    const entries = state.entriesAppliedAfter(follower.sentSequence);
    follower.sentSequence = state.lastSequence;
    this.sendBatches(follower, entries);
  }

  /** Only the last batch carries the complete revision, because the earlier ones are partial. */
  private sendBatches(follower: Follower, entries: readonly ConfigEntryInForce[]): void {
    const { ageMs, clock, state } = this.options;
    const batches = splitIntoBatches(entries);
    const age = ageMs();
    batches.forEach((batch, position) => {
      const isLast = position === batches.length - 1;
      const acceptsMore = follower.stream.write({
        ageMs: isLast && Number.isFinite(age) ? age : -1,
        entries: batch,
        revision: isLast ? state.completeRevision : 0,
      });
      follower.isAwaitingDrain = !acceptsMore;
    });
    follower.lastBatchAtMs = clock.nowMs();
  }
}

/**
 * Splits entries into messages of bounded size.
 *
 * @param entries - the entries
 * @returns at least one batch; a larger entry is a batch of its own
 */
export function splitIntoBatches(entries: readonly ConfigEntryInForce[]): ConfigEntry[][] {
  const batches: ConfigEntry[][] = [[]];
  let bytes = 0;
  for (const { key, modRevision, value } of entries) {
    const valueBytes = Buffer.byteLength(value);
    if (bytes > 0 && bytes + valueBytes > MAX_BATCH_BYTES) {
      batches.push([]);
      bytes = 0;
    }
    batches.at(-1)?.push({ deleted: false, key, modRevision, value });
    bytes += valueBytes;
  }
  return batches;
}
