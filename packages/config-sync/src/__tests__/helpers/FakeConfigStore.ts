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
  isStalled: boolean;
  readonly onEvent: (event: WatchEvent) => void;
  readonly prefix: string;
}

const toRevision = (revision: number): Revision => toNumberId<Revision>(revision);

/** Fake store that counts calls; it can be down, return stale reads and stall watches. */
export class FakeConfigStore {
  callCount = 0;
  /** Number of reads of a whole prefix. */
  fullReadCount = 0;
  /** Ids of clients for which every call fails. */
  readonly disconnectedClients = new Set<string>();
  isDown = false;
  /** Number of changes by which reads are stale. */
  lagChanges = 0;
  revision = 1;
  private readonly changeLog: StoredValue[] = [];
  private readonly watches = new Set<OpenWatch>();

  /** Writes without guards. Accepted changes write the head key at the same revision. */
  put(key: string, value: string, accepted = true): number {
    this.revision += 1;
    const modRevision = toRevision(this.revision);
    const changes: StoredValue[] = [{ key, modRevision, value }];
    if (accepted) {
      changes.push({ key: CONFIG_HEAD_KEY, modRevision, value: '' });
    }
    this.changeLog.push(...changes);
    this.publish(changes);
    return this.revision;
  }

  /** Stops delivery on every open watch without ending it. */
  stallWatches(): void {
    for (const watch of this.watches) {
      watch.isStalled = true;
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

  /** Creates the store client of one daemon. */
  createClient(client: string): PlatformStore {
    const respond = <T>(value: () => T): Promise<Result<T, StoreError>> => {
      this.callCount += 1;
      const fails = this.isDown || this.disconnectedClients.has(client);
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
        this.fullReadCount += 1;
        return respond(() => ({
          revision: toRevision(this.readRevision()),
          values: this.currentValues().filter(({ key }) => key.startsWith(prefix)),
        }));
      },
      read: (key) => respond(() => this.currentValues().find((value) => value.key === key)),
      revokeLease: unused,
      watch: (prefix, after, onEvent) =>
        this.openWatch({ client, isStalled: false, onEvent, prefix }, after),
    };
  }

  private currentValues(): readonly StoredValue[] {
    const newest = new Map<string, StoredValue>();
    for (const value of this.changeLog.filter(
      ({ modRevision }) => modRevision <= this.readRevision(),
    )) {
      newest.set(value.key, value);
    }
    return [...newest.values()];
  }

  private openWatch(watch: OpenWatch, after: Revision): { close: () => void } {
    this.callCount += 1;
    if (this.isDown || this.disconnectedClients.has(watch.client)) {
      queueMicrotask(() => {
        watch.onEvent({ detail: 'down', kind: 'ended' });
      });
      return { close: () => undefined };
    }
    this.watches.add(watch);
    this.deliver(
      watch,
      this.changeLog.filter(({ modRevision }) => modRevision > after),
    );
    return {
      close: () => {
        this.watches.delete(watch);
      },
    };
  }

  private publish(changes: readonly StoreChange[]): void {
    for (const watch of this.watches) {
      if (!this.isDown && !this.disconnectedClients.has(watch.client)) {
        this.deliver(watch, changes);
      }
    }
  }

  private deliver(watch: OpenWatch, changes: readonly StoreChange[]): void {
    const matching = changes.filter(({ key }) => key.startsWith(watch.prefix));
    if (!watch.isStalled && matching.length > 0) {
      const revision = toRevision(this.revision);
      watch.onEvent({ changes: matching, kind: 'changes', revision });
    }
  }

  private readRevision(): number {
    return Math.max(1, this.revision - this.lagChanges);
  }
}
