import type { Member, MonotonicClock } from '@laburnumgap/kernel';
import type { ConfigBatch__Output, RpcClients } from '@laburnumgap/rpc';
import { PARENT_SILENCE_BOUND_MS } from './ConfigSyncConstants.js';

/** A daemon to follow. */
export interface ConfigParent {
  readonly address: string;
  /** Absent for an address from the settings. */
  readonly memberId?: Member['memberId'];
}

/** Options of {@link ConfigPeerFollower}. */
export interface ConfigPeerFollowerOptions {
  /** Revision after which documents are asked for. */
  readonly afterRevision: () => number;
  readonly clients: RpcClients;
  readonly clock: MonotonicClock;
  readonly memberId: string;
  readonly onBatch: (parent: ConfigParent, batch: ConfigBatch__Output) => void;
  readonly onLost: (parent: ConfigParent, detail: string) => void;
}

interface FollowedParent {
  cancel(): void;
  lastHeardAtMs: number;
  readonly parent: ConfigParent;
}

/** Follows parents by a stream each, and finds streams that have gone silent. */
export class ConfigPeerFollower {
  private readonly followed = new Map<string, FollowedParent>();

  constructor(private readonly options: ConfigPeerFollowerOptions) {}

  /** Follows exactly these parents. */
  follow(parents: readonly ConfigParent[]): void {
    const wanted = new Set(parents.map((parent) => parent.address));
    for (const [address, known] of this.followed) {
      if (!wanted.has(address)) {
        this.drop(address, known);
      }
    }
    for (const parent of parents) {
      if (!this.followed.has(parent.address)) {
        this.open(parent);
      }
    }
  }

  /** Ends the stream of a parent, so that nothing that follows on it is taken. */
  giveUp(parent: ConfigParent, detail: string): void {
    const known = this.followed.get(parent.address);
    if (known) {
      this.drop(parent.address, known);
      this.options.onLost(parent, detail);
    }
  }

  /** Gives up the parents that have been silent for too long. */
  tick(nowMs: number): void {
    for (const { lastHeardAtMs, parent } of this.followed.values()) {
      if (nowMs - lastHeardAtMs >= PARENT_SILENCE_BOUND_MS) {
        this.giveUp(parent, 'silent');
      }
    }
  }

  /** Ends every stream. */
  stop(): void {
    this.follow([]);
  }

  private drop(address: string, known: FollowedParent): void {
    this.followed.delete(address);
    known.cancel();
  }

  private open(parent: ConfigParent): void {
    const { afterRevision, clients, clock, memberId, onBatch, onLost } = this.options;
    const client = clients.get('ConfigPeer', parent.address);
    const request = { afterRevision: afterRevision(), memberId };
    const stream = client.follow(request, clients.metadata());
    const known: FollowedParent = {
      cancel: () => {
        stream.cancel();
      },
      lastHeardAtMs: clock.nowMs(),
      parent,
    };
    this.followed.set(parent.address, known);
    const lose = (detail: string): void => {
      if (this.followed.get(parent.address) === known) {
        this.drop(parent.address, known);
        onLost(parent, detail);
      }
    };
    stream.on('data', (batch: ConfigBatch__Output) => {
      if (this.followed.get(parent.address) === known) {
        known.lastHeardAtMs = clock.nowMs();
        onBatch(parent, batch);
      }
    });
    stream.on('error', (error: Error) => {
      lose(error.message);
    });
    stream.on('end', () => {
      lose('ended');
    });
  }
}
