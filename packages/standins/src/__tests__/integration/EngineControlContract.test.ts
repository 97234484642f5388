import type { EngineControl, EngineControlError } from '@laburnumgap/engine';
import type { EngineOrder, GenerationId, Result } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import type { EngineFixture } from '../support/OrdersFixtures.js';
import { fetchAppliedOrders, startEngineFixture } from '../support/OrdersFixtures.js';
import { injectFault } from '../support/StoreFixtures.js';

const GENERATION_ID = toId<GenerationId>('g1');
const ORDER: EngineOrder = {
  adapters: ['a1'],
  fencingNumber: toNumberId(5),
  models: ['m0'],
  role: 'decode',
};

function startGeneration(server: EngineFixture['server'], body: object): Promise<Response> {
  return fetch(`${server.url}/v1/generations`, {
    body: JSON.stringify({
      attempt: 1,
      generationId: GENERATION_ID,
      maxTokens: 10_000,
      model: 'm0',
      prompt: 'p',
      seed: 1,
      ...body,
    }),
    method: 'POST',
  });
}

test('the status of a generation goes from unknown to running to finished when it is cancelled', async (t) => {
  const { control, server } = await startEngineFixture(t, {
    outputRange: { maxTokens: 9000, minTokens: 9000 },
  });
  const unknown = await control.status(GENERATION_ID);
  t.is(unknown.ok && unknown.value.state, 'unknown');
  const stream = await startGeneration(server, { attempt: 2 });
  const running = await control.status(GENERATION_ID);
  t.is(running.ok && running.value.state, 'running');
  t.deepEqual(await control.cancel(GENERATION_ID, toNumberId(1)), {
    error: { kind: 'rejected', reason: 'superseded', status: 409 },
    ok: false,
  });
  t.true((await control.cancel(GENERATION_ID, toNumberId(2))).ok);
  t.regex(await stream.text(), /event: finished\ndata: \{"finishReason":"cancelled"/);
  const finished = await control.status(GENERATION_ID);
  t.is(finished.ok && finished.value.state, 'finished');
});

test('the client parses load reports, states and cache events', async (t) => {
  const { control, server } = await startEngineFixture(t);
  await (await startGeneration(server, { maxTokens: 2, prompt: 'x'.repeat(64) })).text();
  await injectFault(server, { kind: 'reclaim' });
  const load = await control.load();
  t.true(load.ok && load.value.leaving);
  t.is((await startGeneration(server, { generationId: 'g2' })).status, 503);
  const events = await control.cacheEvents(0);
  t.is(events.ok && events.value.latestSequence, 1);
  const ordered = await control.order(ORDER);
  t.deepEqual(ordered, await control.state());
  t.like(ordered.ok && ordered.value, { adapters: ['a1'], fencingNumber: 5, role: 'decode' });
});

/** A control call under a fault, with the error that the client returns. */
interface FaultCase {
  /** Number of orders that the engine applied. */
  readonly appliedOrders: number;
  readonly call: 'order' | 'state';
  readonly expected: EngineControlError['kind'];
  readonly fault: object | 'close';
  readonly name: string;
}

const CALLS: Readonly<
  Record<
    FaultCase['call'],
    (control: EngineControl) => Promise<Result<unknown, EngineControlError>>
  >
> = {
  order: (control) => control.order(ORDER),
  state: (control) => control.state(),
};

const FAULT_CASES: readonly FaultCase[] = [
  {
    appliedOrders: 0,
    call: 'order',
    expected: 'unavailable',
    fault: 'close',
    name: 'connection refused',
  },
  {
    appliedOrders: 0,
    call: 'state',
    expected: 'unavailable',
    fault: 'close',
    name: 'connection refused',
  },
  {
    appliedOrders: 1,
    call: 'order',
    expected: 'outcomeUnknown',
    fault: { kind: 'loseAnswer' },
    name: 'answer lost',
  },
  {
    appliedOrders: 0,
    call: 'state',
    expected: 'unavailable',
    fault: { kind: 'loseAnswer' },
    name: 'answer lost',
  },
  {
    appliedOrders: 0,
    call: 'order',
    expected: 'rejected',
    fault: { kind: 'refuse' },
    name: '503',
  },
  {
    appliedOrders: 0,
    call: 'state',
    expected: 'unavailable',
    fault: { kind: 'freeze' },
    name: 'frozen',
  },
];

for (const row of FAULT_CASES) {
  test(`${row.call}, ${row.name}: ${row.expected}`, async (t) => {
    const { control, server } = await startEngineFixture(t);
    const ordersOfClosedEngine = row.fault === 'close' ? [] : undefined;
    await (row.fault === 'close' ? server.close() : injectFault(server, row.fault));
    const answer = await CALLS[row.call](control);
    t.is(answer.ok ? 'ok' : answer.error.kind, row.expected);
    t.is((ordersOfClosedEngine ?? (await fetchAppliedOrders(server))).length, row.appliedOrders);
  });
}

const STREAM_FAULTS: Readonly<
  Record<string, { readonly expectedText: RegExp; readonly fault: object }>
> = {
  'killed after 3 tokens': {
    expectedText: /^(?!.*finished).*broken$/s,
    fault: { afterTokens: 3, kind: 'kill' },
  },
  'preempted after 3 tokens': {
    expectedText: /"index":2,.*event: preempted\ndata: \{\}\n\n$/s,
    fault: { afterTokens: 3, kind: 'preempt' },
  },
};

for (const [name, { expectedText, fault }] of Object.entries(STREAM_FAULTS)) {
  test(`a stream ${name}`, async (t) => {
    const { server } = await startEngineFixture(t, {
      outputRange: { maxTokens: 9000, minTokens: 9000 },
    });
    await injectFault(server, fault);
    const stream = await startGeneration(server, {});
    let text = '';
    const decoder = new TextDecoder();
    try {
      for await (const chunk of stream.body ?? []) {
        text += decoder.decode(chunk as Uint8Array, { stream: true });
      }
    } catch {
      text += 'broken';
    }
    t.regex(text, expectedText);
    t.notRegex(text, /"index":3,/);
  });
}
