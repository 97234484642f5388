import { CONFIG_HEAD_KEY, CONFIG_PREFIX } from '@laburnumgap/contracts';
import type {
  PlatformStore,
  RangeSnapshot,
  Revision,
  StoreWatch,
  WatchEvent,
} from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import { readLastAccepted } from './ConfigHistoryReader.js';
import type { ConfigChange } from './ConfigState.js';

/** A response of the store or an event of its watch. */
export type StoreMessage =
  | { readonly changes: readonly ConfigChange[]; readonly kind: 'lastAccepted' }
  | { readonly detail: string; readonly kind: 'historyUnknown' }
  | { readonly detail: string; readonly kind: 'readFailed' }
  | { readonly event: WatchEvent; readonly kind: 'watch'; readonly watchNumber: number }
  | { readonly headRevision: Revision; readonly kind: 'head'; readonly sentAtMs: number }
  | { readonly kind: 'snapshot'; readonly sentAtMs: number; readonly snapshot: RangeSnapshot };

const NO_REVISION = toNumberId<Revision>(0);

/** Makes the calls to the store; every response is sent as a message to the actor. */
export class ConfigStoreCalls {
  private watch: StoreWatch | undefined;
  private watchNumber = 0;

  constructor(
    private readonly store: PlatformStore,
    private readonly send: (message: StoreMessage) => void,
  ) {}

  /** Closes the watch, if one is open; later events of it are ignored. */
  closeWatch(): void {
    this.watchNumber += 1;
    this.watch?.close();
    this.watch = undefined;
  }

  /** Whether a message belongs to the open watch. */
  isCurrent(watchNumber: number): boolean {
    return watchNumber === this.watchNumber;
  }

  /** Opens a watch for changes after a revision and closes the previous one. */
  openWatch(afterRevision: Revision): void {
    this.closeWatch();
    const { watchNumber } = this;
    this.watch = this.store.watch(CONFIG_PREFIX, afterRevision, (event) => {
      this.send({ event, kind: 'watch', watchNumber });
    });
  }

  /** Reads every document. */
  async readAll(sentAtMs: number): Promise<void> {
    const read = await this.store.range(CONFIG_PREFIX);
    this.send(
      read.ok
        ? { kind: 'snapshot', sentAtMs, snapshot: read.value }
        : { detail: read.error.kind, kind: 'readFailed' },
    );
  }

  /** Reads the revision of the last accepted change. */
  async readHead(sentAtMs: number): Promise<void> {
    const read = await this.store.read(CONFIG_HEAD_KEY);
    this.send(
      read.ok
        ? { headRevision: read.value?.modRevision ?? NO_REVISION, kind: 'head', sentAtMs }
        : { detail: read.error.kind, kind: 'readFailed' },
    );
  }

  /** Reads the version of a contract that `laburnumctl` accepted last. */
  async readLastAccepted(key: string): Promise<void> {
    const read = await readLastAccepted(this.store, key);
    if (!read.ok) {
      this.send({ detail: read.error, kind: 'historyUnknown' });
    } else if (read.value) {
      this.send({ changes: [read.value], kind: 'lastAccepted' });
    }
  }
}
