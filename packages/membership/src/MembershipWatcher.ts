import type {
  MonotonicClock,
  PlatformStore,
  RandomSource,
  Revision,
  StoreChange,
  StoreWatch,
  StoredValue,
  Teardown,
  WatchEvent,
} from '@laburnumgap/kernel';
import type { Log } from '@laburnumgap/telemetry';
import { MembershipBackoff } from './MembershipBackoff.js';
import { MEMBER_PREFIX, WATCH_REOPEN_MAX_DELAY_MS } from './MembershipConstants.js';
import { decodeMember } from './MembershipSchema.js';
import type { MembershipTimers } from './MembershipTimers.js';
import type { MembershipView, RegisteredMember } from './MembershipView.js';

/** Options of a {@link MembershipWatcher}. */
export interface MembershipWatcherOptions {
  readonly clock: MonotonicClock;
  readonly log: Log;
  /** Called after each update of the view. */
  readonly onChange: () => void;
  readonly random: RandomSource;
  readonly store: PlatformStore;
  readonly timers: MembershipTimers;
  readonly view: MembershipView;
}

/** A watch that ends sooner than this after it was opened counts as a failure and backs off. */
const MIN_WATCH_DURATION_MS = 1000;

/** Keeps the view up to date with a range read followed by a watch; at most one of them runs. */
export class MembershipWatcher {
  readonly #backoff: MembershipBackoff;
  readonly #options: MembershipWatcherOptions;
  #cancelTimer: Teardown = () => undefined;
  #stopped = false;
  #watch: StoreWatch | undefined;

  constructor(options: MembershipWatcherOptions) {
    this.#backoff = new MembershipBackoff(options.random);
    this.#options = options;
  }

  /** Starts with a range read. */
  start(): void {
    void this.#readSnapshot();
  }

  /** Closes the watch and ignores an answer that is still outstanding. */
  stop(): void {
    this.#stopped = true;
    this.#cancelTimer();
    this.#watch?.close();
  }

  async #readSnapshot(): Promise<void> {
    const { clock, log, onChange, store, view } = this.#options;
    const range = await store.range(MEMBER_PREFIX);
    if (this.#stopped) {
      return;
    }
    if (!range.ok) {
      log.warn('membersUnread', { detail: range.error.kind });
      this.#schedule(this.#backoff.nextDelayMs(), () => void this.#readSnapshot());
      return;
    }
    this.#backoff.reset();
    const registered = range.value.values.flatMap((value) => this.#decode(value));
    view.applySnapshot(registered, range.value.revision, clock.nowMs());
    onChange();
    this.#openWatch(range.value.revision);
  }

  #openWatch(afterRevision: Revision): void {
    const { clock, store } = this.#options;
    const openedAtMs = clock.nowMs();
    let revision = afterRevision;
    this.#watch = store.watch(MEMBER_PREFIX, afterRevision, (event) => {
      if (event.kind === 'changes') {
        revision = event.revision;
      }
      this.#onWatchEvent(event, revision, openedAtMs);
    });
  }

  #onWatchEvent(event: WatchEvent, revision: Revision, openedAtMs: number): void {
    if (this.#stopped) {
      return;
    }
    switch (event.kind) {
      case 'changes':
        this.#backoff.reset();
        this.#applyChanges(event.changes);
        return;
      case 'compacted':
        this.#watch = undefined;
        this.#schedule(this.#reopenDelayMs(openedAtMs), () => void this.#readSnapshot());
        return;
      case 'ended':
        this.#watch = undefined;
        this.#schedule(this.#reopenDelayMs(openedAtMs), () => {
          this.#openWatch(revision);
        });
    }
  }

  #reopenDelayMs(openedAtMs: number): number {
    const { clock, random } = this.#options;
    if (clock.nowMs() - openedAtMs < MIN_WATCH_DURATION_MS) {
      return this.#backoff.nextDelayMs();
    }
    return WATCH_REOPEN_MAX_DELAY_MS * random.nextUnit();
  }

  #applyChanges(changes: readonly StoreChange[]): void {
    const { clock, onChange, view } = this.#options;
    for (const { key, modRevision, value } of changes) {
      const member = value === undefined ? undefined : this.#decode({ key, value })[0]?.member;
      if (value === undefined || member) {
        view.applyChange(key, member, modRevision, clock.nowMs());
      }
    }
    onChange();
  }

  #decode(stored: Pick<StoredValue, 'key' | 'value'>): readonly RegisteredMember[] {
    const member = decodeMember(stored.key, stored.value);
    if (!member) {
      this.#options.log.warn('memberMalformed', { key: stored.key });
      return [];
    }
    return [{ key: stored.key, member }];
  }

  #schedule(delayMs: number, run: () => void): void {
    this.#cancelTimer = this.#options.timers.after(delayMs, () => {
      if (!this.#stopped) {
        run();
      }
    });
  }
}
