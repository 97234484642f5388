import type {
  LeaseId,
  PlatformStore,
  Result,
  Revision,
  StoreCommit,
  StoreError,
  StoreWatch,
  WatchEvent,
} from '@laburnumgap/kernel';
import { failure } from '@laburnumgap/kernel';
import type { FakeTime } from './FakeTime.js';

/** How a faulty store behaves. */
export type StoreMode = 'down' | 'losesAnswers' | 'slow' | 'up' | 'watchesSilent';

const SLOW_MS = 8000;
const WATCH_IDLE_LIMIT_MS = 10_000;

/** A store that can fail in the ways that the platform's service does; it counts its calls. */
export class FaultyStore implements PlatformStore {
  mode: StoreMode = 'up';
  readonly calls: { readonly atMs: number; readonly name: keyof PlatformStore }[] = [];
  mostRunning = 0;
  readonly #inner: PlatformStore;
  readonly #time: FakeTime;
  #running = 0;

  constructor(inner: PlatformStore, time: FakeTime) {
    this.#inner = inner;
    this.#time = time;
  }

  close(): Promise<void> {
    return this.#inner.close();
  }

  commit(commit: StoreCommit): Promise<Result<Revision, StoreError>> {
    return this.#write('commit', () => this.#inner.commit(commit));
  }

  grantLease(ttlMs: number): ReturnType<PlatformStore['grantLease']> {
    return this.#write('grantLease', () => this.#inner.grantLease(ttlMs));
  }

  keepAlive(leaseId: LeaseId): ReturnType<PlatformStore['keepAlive']> {
    return this.#write('keepAlive', () => this.#inner.keepAlive(leaseId));
  }

  range(prefix: string): ReturnType<PlatformStore['range']> {
    return this.#read('range', () => this.#inner.range(prefix));
  }

  read(key: string): ReturnType<PlatformStore['read']> {
    return this.#read('read', () => this.#inner.read(key));
  }

  revokeLease(leaseId: LeaseId): ReturnType<PlatformStore['revokeLease']> {
    return this.#write('revokeLease', () => this.#inner.revokeLease(leaseId));
  }

  watch(prefix: string, afterRevision: Revision, onEvent: (event: WatchEvent) => void): StoreWatch {
    this.calls.push({ atMs: this.#time.nowMs(), name: 'watch' });
    const hears = (): boolean => this.mode !== 'down' && this.mode !== 'watchesSilent';
    const inner = this.#inner.watch(prefix, afterRevision, (event) => {
      if (hears()) {
        onEvent(event);
      }
    });
    const end = (): void => {
      inner.close();
      onEvent({ detail: 'nothing heard', kind: 'ended' });
    };
    const cancel = this.#time.after(this.mode === 'down' ? 0 : WATCH_IDLE_LIMIT_MS, end);
    return {
      close: () => {
        cancel();
        inner.close();
      },
    };
  }

  async #read<T>(
    name: keyof PlatformStore,
    call: () => Promise<Result<T, StoreError>>,
  ): Promise<Result<T, StoreError>> {
    return this.#count(name, async () => {
      if (this.mode === 'down' || this.mode === 'losesAnswers') {
        return failure({ detail: 'down', kind: 'unavailable' });
      }
      return this.#slowly(call);
    });
  }

  async #write<T>(
    name: keyof PlatformStore,
    call: () => Promise<Result<T, StoreError>>,
  ): Promise<Result<T, StoreError>> {
    return this.#count(name, async () => {
      if (this.mode === 'down') {
        return failure({ detail: 'down', kind: 'unavailable' });
      }
      const result = await this.#slowly(call);
      return this.mode === 'losesAnswers'
        ? failure({ detail: 'answer lost', kind: 'outcomeUnknown' })
        : result;
    });
  }

  async #slowly<T>(call: () => Promise<T>): Promise<T> {
    const result = await call();
    if (this.mode === 'slow') {
      await new Promise<void>((resolve) => {
        this.#time.after(SLOW_MS, resolve);
      });
    }
    return result;
  }

  async #count<T>(name: keyof PlatformStore, call: () => Promise<T>): Promise<T> {
    this.calls.push({ atMs: this.#time.nowMs(), name });
    this.#running += 1;
    this.mostRunning = Math.max(this.mostRunning, this.#running);
    try {
      return await call();
    } finally {
      this.#running -= 1;
    }
  }
}
