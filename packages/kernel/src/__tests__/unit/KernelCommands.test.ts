import test from 'ava';
import { createCommand, createCommandBus, createPluginRegistry } from '../../index.js';

test('handlers are asked by priority until one takes the command', (t) => {
  const bus = createCommandBus();
  const ping = createCommand<string>('ping');
  const asked: string[] = [];
  bus.register(ping, (payload) => asked.push(`low ${payload}`) > 0, 'low');
  const tearDown = bus.register(
    ping,
    (payload) => {
      asked.push(`high ${payload}`);
      return false;
    },
    'high',
  );

  t.true(bus.dispatch(ping, 'a'));
  tearDown();
  t.true(bus.dispatch(ping, 'b'));
  t.deepEqual(asked, ['high a', 'low a', 'low b']);
});

test('a plug-in name is registered once, until its teardown', (t) => {
  const registry = createPluginRegistry<number>();
  const tearDown = registry.register('one', 1);
  t.throws(() => registry.register('one', 2), { message: /invariant 101/ });
  tearDown();
  registry.register('one', 2);
  t.is(registry.find('one'), 2);
  t.deepEqual(registry.names(), ['one']);
});
