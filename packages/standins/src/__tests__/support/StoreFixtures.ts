import type { PlatformStore, Revision, StoreWrite, WatchEvent } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import { createEtcdStore, createMemoryStore, PlatformStoreState } from '@laburnumgap/key-value';
import type { ExecutionContext } from 'ava';
import { startPlatformStandin } from '../../PlatformStandin.js';
import type { StandinServer } from '../../StandinServer.js';

/** A clock that advances only when the test advances it. */
export class FakeClock {
  #nowMs = 0;

  nowMs(): number {
    return this.#nowMs;
  }

  advance(ms: number): void {
    this.#nowMs += ms;
  }
}

/** A store client under test, with the state and the clock of its back end. */
export interface StoreFixture {
  readonly clock: FakeClock;
  readonly state: PlatformStoreState;
  readonly store: PlatformStore;
}

/** An etcd store client, with the platform stand-in that it calls. */
export interface EtcdFixture extends StoreFixture {
  readonly server: StandinServer;
}

/** Options of {@link startEtcdFixture}. */
export interface EtcdFixtureOptions {
  readonly deadlineMs?: number;
  readonly readsPerSecond?: number;
  readonly watchIdleLimitMs?: number;
  readonly writesPerSecond?: number;
}

/** Starts the platform stand-in and an etcd store client of it. */
export async function startEtcdFixture(
  t: ExecutionContext,
  options: EtcdFixtureOptions = {},
): Promise<EtcdFixture> {
  const clock = new FakeClock();
  const state = new PlatformStoreState();
  const { readsPerSecond, writesPerSecond } = options;
  const server = await startPlatformStandin({
    clock,
    listen: '127.0.0.1:0',
    readsPerSecond,
    state,
    writesPerSecond,
  });
  const { deadlineMs, watchIdleLimitMs } = options;
  const store = createEtcdStore({
    deadlineMs,
    random: { nextUnit: () => 0 },
    url: server.url,
    watchIdleLimitMs,
  });
  t.teardown(async () => {
    await store.close();
    await server.close();
  });
  return { clock, server, state, store };
}

/** Creates an in-memory store. */
export function createMemoryFixture(): Promise<StoreFixture> {
  const clock = new FakeClock();
  const state = new PlatformStoreState();
  return Promise.resolve({ clock, state, store: createMemoryStore({ clock, state }) });
}

/** Injects a fault into a stand-in. */
export async function injectFault(server: StandinServer, fault: object): Promise<void> {
  const answer = await fetch(`${server.url}/control/fault`, {
    body: JSON.stringify(fault),
    method: 'POST',
  });
  if (!answer.ok) {
    throw new Error(`the stand-in rejected the fault: ${await answer.text()}`);
  }
  await answer.arrayBuffer();
}

/** Creates a put of a commit. */
export function putWrite(key: string, value: string): StoreWrite {
  return { key, kind: 'put', value };
}

/** Converts a number to a revision. */
export function toRevision(value: number): Revision {
  return toNumberId<Revision>(value);
}

/** Records watch events and waits for a condition on them. */
export class WatchRecorder {
  readonly events: WatchEvent[] = [];
  #notifyWaiter: () => void = () => undefined;

  readonly onEvent = (event: WatchEvent): void => {
    this.events.push(event);
    this.#notifyWaiter();
  };

  async waitUntil(condition: (events: readonly WatchEvent[]) => boolean): Promise<void> {
    while (!condition(this.events)) {
      await new Promise<void>((resolve) => {
        this.#notifyWaiter = resolve;
      });
    }
  }

  /** Waits until a change of the key to the value is recorded; undefined stands for a deletion. */
  waitForChange(key: string, value: string | undefined): Promise<void> {
    return this.waitUntil((events) =>
      events.some(
        (event) =>
          event.kind === 'changes' &&
          event.changes.some((change) => change.key === key && change.value === value),
      ),
    );
  }
}
