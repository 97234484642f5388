import { CONFIG_HEAD_KEY } from '@laburnumgap/contracts';
import type {
  PlatformStore,
  Result,
  Revision,
  StoreChange,
  StoreError,
  StoredValue,
  WatchEvent,
} from '@laburnumgap/kernel';
import { failure, success, toNumberId } from '@laburnumgap/kernel';

interface OpenWatch {
  readonly client: string;
  isSilent: boolean;
  readonly onEvent: (event: WatchEvent) => void;
  readonly prefix: string;
}

const revisionOf = (revision: number): Revision => toNumberId<Revision>(revision);

/** The platform's service as a fake: counts calls, and can be down, lag, or go silent on watches. */
export class FakeConfigStore {
  calls = 0;
  /** Reads of every document. */
  fullReads = 0;
  /** Clients for which every call fails. */
  readonly cutOff = new Set<string>();
  isDown = false;
  /** Reads give the state of this long ago, in changes. */
  lagChanges = 0;
  revision = 1;
  private readonly log: StoredValue[] = [];
  private readonly watches = new Set<OpenWatch>();

  /** Writes past any guard. Accepted changes write the head key in the same revision. */
  put(key: string, value: string, accepted = true): number {
    this.revision += 1;
    const modRevision = revisionOf(this.revision);
    const changes: StoredValue[] = [{ key, modRevision, value }];
    if (accepted) {
      changes.push({ key: CONFIG_HEAD_KEY, modRevision, value: '' });
    }
    this.log.push(...changes);
    this.publish(changes);
    return this.revision;
  }

  /** Makes every open watch go silent without ending it. */
  silenceWatches(): void {
    for (const watch of this.watches) {
      watch.isSilent = true;
    }
  }

  /** Ends every open watch. */
  endWatches(): void {
    for (const watch of [...this.watches]) {
      this.watches.delete(watch);
      watch.onEvent({ detail: 'reset', kind: 'ended' });
    }
  }

  get watchCount(): number {
    return this.watches.size;
  }

  /** The port as one daemon uses it. */
  clientOf(client: string): PlatformStore {
    const answer = <T>(value: () => T): Promise<Result<T, StoreError>> => {
      this.calls += 1;
      const fails = this.isDown || this.cutOff.has(client);
      return Promise.resolve(
        fails ? failure({ detail: 'down', kind: 'unavailable' }) : success(value()),
      );
    };
    const unused = (): never => {
      throw new Error('not used by the configuration');
    };
    return {
      close: () => Promise.resolve(),
      commit: unused,
      grantLease: unused,
      keepAlive: unused,
      range: (prefix) => {
        this.fullReads += 1;
        return answer(() => ({
          revision: revisionOf(this.readRevision()),
          values: this.current().filter(({ key }) => key.startsWith(prefix)),
        }));
      },
      read: (key) => answer(() => this.current().find((value) => value.key === key)),
      revokeLease: unused,
      watch: (prefix, after, onEvent) =>
        this.open({ client, isSilent: false, onEvent, prefix }, after),
    };
  }

  private current(): readonly StoredValue[] {
    const newest = new Map<string, StoredValue>();
    for (const value of this.log.filter(({ modRevision }) => modRevision <= this.readRevision())) {
      newest.set(value.key, value);
    }
    return [...newest.values()];
  }

  private open(watch: OpenWatch, after: Revision): { close: () => void } {
    this.calls += 1;
    if (this.isDown || this.cutOff.has(watch.client)) {
      queueMicrotask(() => {
        watch.onEvent({ detail: 'down', kind: 'ended' });
      });
      return { close: () => undefined };
    }
    this.watches.add(watch);
    this.deliver(
      watch,
      this.log.filter(({ modRevision }) => modRevision > after),
    );
    return {
      close: () => {
        this.watches.delete(watch);
      },
    };
  }

  private publish(changes: readonly StoreChange[]): void {
    for (const watch of this.watches) {
      if (!this.isDown && !this.cutOff.has(watch.client)) {
        this.deliver(watch, changes);
      }
    }
  }

  private deliver(watch: OpenWatch, changes: readonly StoreChange[]): void {
    const matching = changes.filter(({ key }) => key.startsWith(watch.prefix));
    if (!watch.isSilent && matching.length > 0) {
      const revision = revisionOf(this.revision);
      watch.onEvent({ changes: matching, kind: 'changes', revision });
    }
  }

  private readRevision(): number {
    return Math.max(1, this.revision - this.lagChanges);
  }
}
