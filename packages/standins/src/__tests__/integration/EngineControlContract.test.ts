import type { EngineControl, EngineControlError } from '@laburnumgap/engine';
import type { EngineOrder, GenerationId, Result } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import type { EngineFixture } from '../support/OrdersFixtures.js';
import { engineFixture, ordersInForce } from '../support/OrdersFixtures.js';
import { orderFault } from '../support/StoreFixtures.js';

const GENERATION = toId<GenerationId>('g1');
const ORDER: EngineOrder = {
  adapters: ['a1'],
  fencingNumber: toNumberId(5),
  models: ['m0'],
  role: 'decode',
};

function start(server: EngineFixture['server'], body: object): Promise<Response> {
  return fetch(`${server.url}/v1/generations`, {
    body: JSON.stringify({
      attempt: 1,
      generationId: GENERATION,
      maxTokens: 10_000,
      model: 'm0',
      prompt: 'p',
      seed: 1,
      ...body,
    }),
    method: 'POST',
  });
}

test('status follows a generation to its cancellation', async (t) => {
  const { control, server } = await engineFixture(t, {
    outputRange: { maxTokens: 9000, minTokens: 9000 },
  });
  const unknown = await control.status(GENERATION);
  t.is(unknown.ok && unknown.value.state, 'unknown');
  const stream = await start(server, { attempt: 2 });
  const running = await control.status(GENERATION);
  t.is(running.ok && running.value.state, 'running');
  t.deepEqual(await control.cancel(GENERATION, toNumberId(1)), {
    error: { kind: 'rejected', reason: 'superseded', status: 409 },
    ok: false,
  });
  t.true((await control.cancel(GENERATION, toNumberId(2))).ok);
  t.regex(await stream.text(), /event: finished\ndata: \{"finishReason":"cancelled"/);
  const finished = await control.status(GENERATION);
  t.is(finished.ok && finished.value.state, 'finished');
});

test('load, state and cache events read as the protocol says', async (t) => {
  const { control, server } = await engineFixture(t);
  await (await start(server, { maxTokens: 2, prompt: 'x'.repeat(64) })).text();
  await orderFault(server, { kind: 'reclaim' });
  const load = await control.load();
  t.true(load.ok && load.value.leaving);
  t.is((await start(server, { generationId: 'g2' })).status, 503);
  const events = await control.cacheEvents(0);
  t.is(events.ok && events.value.latestSequence, 1);
  const ordered = await control.order(ORDER);
  t.deepEqual(ordered, await control.state());
  t.like(ordered.ok && ordered.value, { adapters: ['a1'], fencingNumber: 5, role: 'decode' });
});

interface FaultRow {
  readonly call: 'order' | 'state';
  readonly expected: EngineControlError['kind'];
  readonly fault: object | 'close';
  readonly inForce: number;
  readonly name: string;
}

const CALLS: Readonly<
  Record<FaultRow['call'], (control: EngineControl) => Promise<Result<unknown, EngineControlError>>>
> = {
  order: (control) => control.order(ORDER),
  state: (control) => control.state(),
};

const FAULT_ROWS: readonly FaultRow[] = [
  { call: 'order', expected: 'unavailable', fault: 'close', inForce: 0, name: 'refused' },
  { call: 'state', expected: 'unavailable', fault: 'close', inForce: 0, name: 'refused' },
  {
    call: 'order',
    expected: 'outcomeUnknown',
    fault: { kind: 'loseAnswer' },
    inForce: 1,
    name: 'answer lost',
  },
  {
    call: 'state',
    expected: 'unavailable',
    fault: { kind: 'loseAnswer' },
    inForce: 0,
    name: 'answer lost',
  },
  {
    call: 'order',
    expected: 'rejected',
    fault: { kind: 'refuse' },
    inForce: 0,
    name: '503',
  },
  {
    call: 'state',
    expected: 'unavailable',
    fault: { kind: 'freeze' },
    inForce: 0,
    name: 'frozen',
  },
];

for (const row of FAULT_ROWS) {
  test(`${row.call}, ${row.name}: ${row.expected}`, async (t) => {
    const { control, server } = await engineFixture(t);
    const before = row.fault === 'close' ? [] : undefined;
    await (row.fault === 'close' ? server.close() : orderFault(server, row.fault));
    const answer = await CALLS[row.call](control);
    t.is(answer.ok ? 'ok' : answer.error.kind, row.expected);
    t.is((before ?? (await ordersInForce(server))).length, row.inForce);
  });
}

const TRIGGERS: Readonly<Record<string, { readonly fault: object; readonly seen: RegExp }>> = {
  'killed after 3 tokens': {
    fault: { afterTokens: 3, kind: 'kill' },
    seen: /^(?!.*finished).*broken$/s,
  },
  'preempted after 3 tokens': {
    fault: { afterTokens: 3, kind: 'preempt' },
    seen: /"index":2,.*event: preempted\ndata: \{\}\n\n$/s,
  },
};

for (const [name, { fault, seen }] of Object.entries(TRIGGERS)) {
  test(`a stream ${name}`, async (t) => {
    const { server } = await engineFixture(t, {
      outputRange: { maxTokens: 9000, minTokens: 9000 },
    });
    await orderFault(server, fault);
    const stream = await start(server, {});
    let text = '';
    const decoder = new TextDecoder();
    try {
      for await (const chunk of stream.body ?? []) {
        text += decoder.decode(chunk as Uint8Array, { stream: true });
      }
    } catch {
      text += 'broken';
    }
    t.regex(text, seen);
    t.notRegex(text, /"index":3,/);
  });
}
