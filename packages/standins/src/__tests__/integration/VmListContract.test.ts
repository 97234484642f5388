import { createHttpVmList } from '@laburnumgap/key-value';
import test from 'ava';
import { jsonAnswer, startStandinServer } from '../../StandinServer.js';
import { startVmsStandin } from '../../VmsStandin.js';
import { injectFault } from '../support/StoreFixtures.js';

const VM = {
  address: 'http://127.0.0.1:9',
  backend: { kind: 'model', pool: 'reports' },
  failureDomain: 'south-1',
  region: 'south',
  serverId: 's1',
  state: 'live',
} as const;
const DEADLINE_MS = 1000;

test('the client reads the list, its changes and a lagging list', async (t) => {
  const server = await startVmsStandin({ initial: { vms: [VM] }, listen: '127.0.0.1:0' });
  t.teardown(() => server.close());
  const list = createHttpVmList({ url: server.url });
  const listed = { ...VM, serverId: 's2', state: 'leaving' };
  const replace = () =>
    fetch(`${server.url}/control/vms`, {
      body: JSON.stringify({ vms: [listed] }),
      method: 'POST',
    });
  t.deepEqual(await list.list(), { ok: true, value: [VM] });
  await injectFault(server, { kind: 'lag', lagMs: 3_600_000 });
  t.true((await replace()).ok);
  t.deepEqual(await list.list(), { ok: true, value: [VM] });
  await injectFault(server, { kind: 'clear' });
  t.deepEqual(await list.list(), { ok: true, value: [listed] });
});

const FAULTS = {
  'answer lost': { kind: 'loseAnswer' },
  frozen: { kind: 'freeze' },
  refused: { kind: 'refuse' },
  silent: { kind: 'silent' },
} as const;

for (const [name, fault] of Object.entries(FAULTS)) {
  test(`the list is unavailable: ${name}`, async (t) => {
    const server = await startVmsStandin({ initial: { vms: [VM] }, listen: '127.0.0.1:0' });
    t.teardown(() => server.close());
    const list = createHttpVmList({ deadlineMs: DEADLINE_MS, url: server.url });
    t.true((await list.list()).ok);
    await injectFault(server, fault);
    const listed = await list.list();
    t.is(listed.ok ? 'ok' : listed.error.kind, 'vmListUnavailable');
    await injectFault(server, { kind: 'clear' });
    t.true((await list.list()).ok);
  });
}

const MALFORMED_LISTS: Readonly<Record<string, unknown>> = {
  'a server without a region': { vms: [VM, { ...VM, region: undefined }] },
  'an unknown state': { vms: [{ ...VM, state: 'gone' }] },
  'no list': {},
  'not an object': 'vms',
};

for (const [name, body] of Object.entries(MALFORMED_LISTS)) {
  test(`a malformed list is refused as a whole: ${name}`, async (t) => {
    const server = await startStandinServer({
      handle: () => jsonAnswer(200, body),
      listen: '127.0.0.1:0',
    });
    t.teardown(() => server.close());
    const listed = await createHttpVmList({ url: server.url }).list();
    t.is(listed.ok ? 'ok' : listed.error.kind, 'vmListUnavailable');
  });
}
