import type { ServingConfiguration } from '@laburnumgap/dispatch';
import { failure, success } from '@laburnumgap/kernel';
import FakeTimers from '@sinonjs/fake-timers';
import test from 'ava';
import { ConfigurationFetcher } from '../../index.js';

function configurationOf(version: number): ServingConfiguration {
  const limits = {} as ServingConfiguration['limits'];
  return { limits, routes: [], services: [], teams: [], version };
}

interface TestFetcher {
  activeVersion: number;
  readonly fetcher: ConfigurationFetcher;
  readonly sources: string[];
}

/** A fetcher whose peers have the given versions; the peer `hanging` never responds. */
function createFetcher(
  versions: Readonly<Record<string, number>>,
  options: { readonly hanging?: string; readonly storeVersion?: number } = {},
): TestFetcher {
  const sources: string[] = [];
  const state: TestFetcher = {
    activeVersion: 1,
    fetcher: new ConfigurationFetcher({
      activeVersion: () => state.activeVersion,
      directory: {
        readConfiguration: () => {
          sources.push('store');
          return Promise.resolve(
            options.storeVersion === undefined
              ? failure({ kind: 'unreachable', reason: 'timeout' })
              : success(configurationOf(options.storeVersion)),
          );
        },
      },
      fetchFromPeer: (host) => {
        sources.push(host);
        const version = versions[host];
        return host === options.hanging
          ? new Promise(() => undefined)
          : Promise.resolve(version === undefined ? undefined : configurationOf(version));
      },
      log: { info: () => undefined, warn: () => undefined },
      onFetched: ({ version }) => {
        state.activeVersion = Math.max(state.activeVersion, version);
      },
      randomUnit: () => 0,
    }),
    sources,
  };
  return state;
}

test.serial('a version that a relay brings in time is not fetched again', async (t) => {
  const timers = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout'] });
  const state = createFetcher({ relay: 2, watcher: 2 });
  state.fetcher.onNotice({ host: 'watcher', version: 2 });
  await state.fetcher.fetch({ host: 'relay', version: 2 });
  await timers.tickAsync(5_000);
  timers.uninstall();
  t.deepEqual(state.sources, ['relay']);
});

test.serial(
  'a version that no relay brings is fetched from the daemon that named it',
  async (t) => {
    const timers = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout'] });
    const state = createFetcher({ watcher: 2 });
    state.fetcher.onNotice({ host: 'watcher', version: 2 });
    await timers.tickAsync(5_000);
    timers.uninstall();
    t.deepEqual(state.sources, ['watcher']);
    t.is(state.activeVersion, 2);
  },
);

test.serial(
  'a daemon that hangs after its announcement delays a version only a little',
  async (t) => {
    const timers = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout'] });
    const state = createFetcher({ other: 2 }, { hanging: 'relay' });
    void state.fetcher.fetch({ host: 'relay', version: 2 });
    await state.fetcher.fetch({ host: 'other', version: 2 });
    await timers.tickAsync(400);
    timers.uninstall();
    t.deepEqual(state.sources, ['relay', 'other']);
    t.is(state.activeVersion, 2);
  },
);

test.serial('attempts to fetch a version that nobody has end', async (t) => {
  const timers = FakeTimers.install({ toFake: ['setTimeout', 'clearTimeout'] });
  const state = createFetcher({}, { storeVersion: 1 });
  await state.fetcher.fetch({ host: 'relay', version: 2 });
  await timers.tickAsync(60_000);
  const attempts = state.sources.length;
  await timers.tickAsync(60_000);
  timers.uninstall();
  t.is(state.sources.length, attempts);
  t.true(attempts <= 8);
});
