import type { Revision, WatchEvent } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import type { Dispatcher } from 'undici';
import { openEtcdWatch } from '../../PlatformEtcdWatch.js';
import type { PlatformHttpClient } from '../../PlatformHttpClient.js';

/** Opens a watch, and returns the handler of its response and the events that it reports. */
function openWatch(): {
  readonly close: () => void;
  readonly events: readonly WatchEvent[];
  readonly receive: (text: string) => void;
} {
  const events: WatchEvent[] = [];
  const handlers: Dispatcher.DispatchHandler[] = [];
  const dispatcher = {
    destroy: () => Promise.resolve(),
    dispatch: (_options: unknown, handler: Dispatcher.DispatchHandler) => {
      handlers.push(handler);
      return true;
    },
  };
  const watch = openEtcdWatch({
    afterRevision: toNumberId<Revision>(1),
    httpClient: {
      createDispatcher: () => dispatcher,
      origin: 'http://store',
      resolvePath: (path: string) => path,
    } as unknown as PlatformHttpClient,
    idleLimitMs: 60_000,
    onEvent: (event) => {
      events.push(event);
    },
    prefix: '/a/',
    random: { nextUnit: () => 0 },
  });
  const controller = {} as Dispatcher.DispatchController;
  handlers[0]?.onResponseStart?.(controller, 200, {});
  return {
    close: () => {
      watch.close();
    },
    events,
    receive: (text) => {
      handlers[0]?.onResponseData?.(controller, Buffer.from(text));
    },
  };
}

function lineOf(key: string, revision: number): string {
  const kv = {
    key: Buffer.from(key).toString('base64'),
    mod_revision: String(revision),
    value: '',
  };
  return `${JSON.stringify({ result: { events: [{ kv }], header: { revision: String(revision) } } })}\n`;
}

test('lines are parsed however they are cut into pieces', (t) => {
  const { close, events, receive } = openWatch();
  const text = lineOf('/a/1', 2) + lineOf('/a/2', 3);
  for (const character of text) {
    receive(character);
  }
  receive(text + text.slice(0, 10));
  receive(text.slice(10));
  close();
  t.deepEqual(
    events.map((event) => event.kind === 'changes' && event.revision),
    [2, 3, 2, 3, 2, 3].map((revision) => toNumberId<Revision>(revision)),
  );
});

test('load pattern: a line in many pieces is searched once, not once for each piece', (t) => {
  const { close, events, receive } = openWatch();
  const split = Reflect.get(String.prototype, 'split') as (separator: string) => string[];
  let searchedCharacters = 0;
  Reflect.set(String.prototype, 'split', function (this: string, separator: string): string[] {
    searchedCharacters += this.length;
    return split.call(this, separator);
  });
  const pieces = 1_000;
  for (let index = 0; index < pieces; index += 1) {
    receive('x'.repeat(1_024));
  }
  Reflect.set(String.prototype, 'split', split);
  close();
  t.true(searchedCharacters <= 2 * pieces * 1_024, `${searchedCharacters} characters`);
  t.deepEqual(events, []);
});
