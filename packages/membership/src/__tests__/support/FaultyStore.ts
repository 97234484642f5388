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
import type { FakeClock } from './FakeClock.js';

/** The fault that a store injects. */
export type StoreMode = 'down' | 'losesAnswers' | 'slow' | 'up' | 'watchesSilent';

const SLOW_MS = 8000;
const WATCH_IDLE_LIMIT_MS = 10_000;

/** A store that injects the faults of the platform's key-value service and records its calls. */
export class FaultyStore implements PlatformStore {
  mode: StoreMode = 'up';
  readonly calls: { readonly atMs: number; readonly name: keyof PlatformStore }[] = [];
  peakInFlight = 0;
  readonly #clock: FakeClock;
  readonly #inner: PlatformStore;
  #inFlight = 0;

  constructor(inner: PlatformStore, clock: FakeClock) {
    this.#inner = inner;
    this.#clock = clock;
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
    this.calls.push({ atMs: this.#clock.nowMs(), name: 'watch' });
    const deliversEvents = (): boolean => this.mode !== 'down' && this.mode !== 'watchesSilent';
    const inner = this.#inner.watch(prefix, afterRevision, (event) => {
      if (deliversEvents()) {
        onEvent(event);
      }
    });
    const end = (): void => {
      inner.close();
      onEvent({ detail: 'no event received', kind: 'ended' });
    };
    const cancel = this.#clock.after(this.mode === 'down' ? 0 : WATCH_IDLE_LIMIT_MS, end);
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
    return this.#track(name, async () => {
      if (this.mode === 'down' || this.mode === 'losesAnswers') {
        return failure({ detail: 'down', kind: 'unavailable' });
      }
      return this.#withLatency(call);
    });
  }

  async #write<T>(
    name: keyof PlatformStore,
    call: () => Promise<Result<T, StoreError>>,
  ): Promise<Result<T, StoreError>> {
    return this.#track(name, async () => {
      if (this.mode === 'down') {
        return failure({ detail: 'down', kind: 'unavailable' });
      }
      const result = await this.#withLatency(call);
      return this.mode === 'losesAnswers'
        ? failure({ detail: 'answer lost', kind: 'outcomeUnknown' })
        : result;
    });
  }

  async #withLatency<T>(call: () => Promise<T>): Promise<T> {
    const result = await call();
    if (this.mode === 'slow') {
      await new Promise<void>((resolve) => {
        this.#clock.after(SLOW_MS, resolve);
      });
    }
    return result;
  }

  async #track<T>(name: keyof PlatformStore, call: () => Promise<T>): Promise<T> {
    this.calls.push({ atMs: this.#clock.nowMs(), name });
    this.#inFlight += 1;
    this.peakInFlight = Math.max(this.peakInFlight, this.#inFlight);
    try {
      return await call();
    } finally {
      this.#inFlight -= 1;
    }
  }
}
