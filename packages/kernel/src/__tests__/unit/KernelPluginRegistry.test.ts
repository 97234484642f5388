import test from 'ava';
import { createPluginRegistry } from '../../index.js';

test('a plug-in name can be registered again only after its teardown', (t) => {
  const registry = createPluginRegistry<number>();
  const tearDown = registry.register('one', 1);
  t.throws(() => registry.register('one', 2), { message: /invariant 101/ });
  tearDown();
  registry.register('one', 2);
  t.is(registry.find('one'), 2);
  t.deepEqual(registry.names(), ['one']);
});
