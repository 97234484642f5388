import type { PlatformStore, Revision, StoreWrite, WatchEvent } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import { createEtcdStore, createMemoryStore, PlatformStoreState } from '@laburnumgap/key-value';
import type { ExecutionContext } from 'ava';
import { startPlatformStandin } from '../../PlatformStandin.js';
import type { StandinServer } from '../../StandinServer.js';

/** A clock that only the test moves. */
export class HandClock {
  #nowMs = 0;

  nowMs(): number {
    return this.#nowMs;
  }

  advance(ms: number): void {
    this.#nowMs += ms;
  }
}

/** A store under test with the state behind it. */
export interface StoreFixture {
  readonly clock: HandClock;
  readonly state: PlatformStoreState;
  readonly store: PlatformStore;
}

/** A store over the stand-in, with the stand-in's server. */
export interface EtcdFixture extends StoreFixture {
  readonly server: StandinServer;
}

/** Options of {@link etcdFixture}. */
export interface EtcdFixtureOptions {
  readonly deadlineMs?: number;
  readonly readsPerSecond?: number;
  readonly watchIdleLimitMs?: number;
  readonly writesPerSecond?: number;
}

/** Starts the stand-in and a client of it. */
export async function etcdFixture(
  t: ExecutionContext,
  options: EtcdFixtureOptions = {},
): Promise<EtcdFixture> {
  const clock = new HandClock();
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

/** Starts a store in memory. */
export function memoryFixture(): Promise<StoreFixture> {
  const clock = new HandClock();
  const state = new PlatformStoreState();
  return Promise.resolve({ clock, state, store: createMemoryStore({ clock, state }) });
}

/** Sends a fault order. */
export async function orderFault(server: StandinServer, fault: object): Promise<void> {
  const answer = await fetch(`${server.url}/control/fault`, {
    body: JSON.stringify(fault),
    method: 'POST',
  });
  if (!answer.ok) {
    throw new Error(`fault refused: ${await answer.text()}`);
  }
  await answer.arrayBuffer();
}

/** A put for a commit. */
export function put(key: string, value: string): StoreWrite {
  return { key, kind: 'put', value };
}

/** A revision for a guard. */
export function revision(value: number): Revision {
  return toNumberId<Revision>(value);
}

/** Collects watch events and waits for the one that fulfils a condition. */
export class WatchRecorder {
  readonly events: WatchEvent[] = [];
  #wake: () => void = () => undefined;

  readonly onEvent = (event: WatchEvent): void => {
    this.events.push(event);
    this.#wake();
  };

  async until(condition: (events: readonly WatchEvent[]) => boolean): Promise<void> {
    while (!condition(this.events)) {
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
    }
  }

  /** Waits until a key has been seen to change to a value, undefined for deleted. */
  untilChange(key: string, value: string | undefined): Promise<void> {
    return this.until((events) =>
      events.some(
        (event) =>
          event.kind === 'changes' &&
          event.changes.some((change) => change.key === key && change.value === value),
      ),
    );
  }
}
