import type { Member, MonotonicClock } from '@laburnumgap/kernel';
import type { ConfigBatch__Output, RpcClients } from '@laburnumgap/rpc';
import { PARENT_TIMEOUT_MS } from './ConfigSyncConstants.js';

/** A daemon to follow. */
export interface ConfigParent {
  readonly address: string;
  /** Undefined for a seed address from the settings. */
  readonly memberId?: Member['memberId'];
}

/** Options of {@link ConfigPeerFollower}. */
export interface ConfigPeerFollowerOptions {
  /** Revision after which documents are requested. */
  readonly afterRevision: () => number;
  readonly clients: RpcClients;
  readonly clock: MonotonicClock;
  readonly memberId: string;
  readonly onBatch: (parent: ConfigParent, batch: ConfigBatch__Output) => void;
  readonly onLost: (parent: ConfigParent, detail: string) => void;
}

interface FollowedParent {
  cancel(): void;
  lastMessageAtMs: number;
  readonly parent: ConfigParent;
}

/** Follows each parent over one stream and closes streams that no longer deliver messages. */
export class ConfigPeerFollower {
  private readonly followedParents = new Map<string, FollowedParent>();

  constructor(private readonly options: ConfigPeerFollowerOptions) {}

  /** Opens streams to new parents and closes those of parents that are not in the list. */
  follow(parents: readonly ConfigParent[]): void {
    const wanted = new Set(parents.map((parent) => parent.address));
    for (const [address, followed] of this.followedParents) {
      if (!wanted.has(address)) {
        this.closeStream(address, followed);
      }
    }
    for (const parent of parents) {
      if (!this.followedParents.has(parent.address)) {
        this.openStream(parent);
      }
    }
  }

  /**
   * Closes the stream of a parent, so that its later messages are ignored, and reports the loss.
   */
  abandon(parent: ConfigParent, detail: string): void {
    const followed = this.followedParents.get(parent.address);
    if (followed) {
      this.closeStream(parent.address, followed);
      this.options.onLost(parent, detail);
    }
  }

  /** Abandons parents that have sent nothing for {@link PARENT_TIMEOUT_MS}. */
  tick(nowMs: number): void {
    for (const { lastMessageAtMs, parent } of this.followedParents.values()) {
      if (nowMs - lastMessageAtMs >= PARENT_TIMEOUT_MS) {
        this.abandon(parent, 'silent');
      }
    }
  }

  /** Closes every stream. */
  stop(): void {
    this.follow([]);
  }

  private closeStream(address: string, followed: FollowedParent): void {
    this.followedParents.delete(address);
    followed.cancel();
  }

  private openStream(parent: ConfigParent): void {
    const { afterRevision, clients, clock, memberId, onBatch, onLost } = this.options;
    const client = clients.get('ConfigPeer', parent.address);
    const request = { afterRevision: afterRevision(), memberId };
    const stream = client.follow(request, clients.metadata());
    const followed: FollowedParent = {
      cancel: () => {
        stream.cancel();
      },
      lastMessageAtMs: clock.nowMs(),
      parent,
    };
    this.followedParents.set(parent.address, followed);
    const onStreamClosed = (detail: string): void => {
      if (this.followedParents.get(parent.address) === followed) {
        this.closeStream(parent.address, followed);
        onLost(parent, detail);
      }
    };
    stream.on('data', (batch: ConfigBatch__Output) => {
      if (this.followedParents.get(parent.address) === followed) {
        followed.lastMessageAtMs = clock.nowMs();
        onBatch(parent, batch);
      }
    });
    stream.on('error', (error: Error) => {
      onStreamClosed(error.message);
    });
    stream.on('end', () => {
      onStreamClosed('ended');
    });
  }
}
