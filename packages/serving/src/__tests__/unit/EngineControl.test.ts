import type { BackendServer } from '@laburnumgap/dispatch';
import type { FailureDomainId, ServerId, ServiceId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { BackendConnection, ResponseListener, ServerAccessListener } from '../../index.js';
import { EngineControl } from '../../index.js';

const SERVER: BackendServer = {
  failureDomain: toId<FailureDomainId>('a'),
  host: '10.0.0.1',
  leaving: false,
  port: 80,
  serverId: toId<ServerId>('e1'),
  service: toId<ServiceId>('engines'),
  slots: 24,
  startedEpochMs: 1,
};
const REQUEST = { body: '', headers: [], method: 'GET', path: '/status' };

function createControl() {
  const state = {
    abortedCount: 0,
    failedCount: 0,
    isBackingOff: false,
    releasedCount: 0,
    sentCount: 0,
  };
  const responses: ResponseListener[] = [];
  const listeners: ServerAccessListener[] = [];
  const connection = {
    abort: () => {
      state.abortedCount += 1;
    },
    send: (_request: unknown, listener: ResponseListener) => {
      state.sentCount += 1;
      responses.push(listener);
    },
  } as unknown as BackendConnection;
  const control = new EngineControl({
    clock: { nowMs: () => 0 },
    connections: {
      release: () => {
        state.releasedCount += 1;
      },
    },
    health: {
      recordOutcome: () => {
        state.failedCount += 1;
      },
    },
    protocol: {
      parseResponseMetadata: (headers) => ({
        isEncoded: false,
        isLeaving: false,
        isLimitUnreadable: false,
        isStamped: false,
        notRun: false,
        requestId: headers.find(([name]) => name === 'Request-Id')?.[1],
        unreadableHeaders: [],
      }),
    },
    serverAccess: {
      acquire: (_server, _maxPermitWaitMs, listener) => {
        listeners.push(listener);
      },
      controlDenial: () => (state.isBackingOff ? 'the engine is backing off' : undefined),
    },
    serverSignals: {
      evaluate: () => {
        throw new Error('no response in this test');
      },
    },
  });
  return { connection, control, listeners, responses, state };
}

test('an engine that asks to be left alone while a request waits for its permit gets nothing', async (t) => {
  const { connection, control, listeners, state } = createControl();
  const outcome = control.send(SERVER, REQUEST);
  state.isBackingOff = true;
  listeners[0]?.onConnected(connection);
  t.is((await outcome).kind, 'notSent');
  t.is(state.sentCount, 0);
  t.is(state.releasedCount, 1);
});

test('a control request without a permit is not sent', async (t) => {
  const { control, listeners, state } = createControl();
  const outcome = control.send(SERVER, REQUEST);
  listeners[0]?.onLimited(400, 'limited');
  t.deepEqual(await outcome, {
    kind: 'notSent',
    reason: 'the engine takes no more requests for 400 ms',
  });
  t.is(state.sentCount, 0);
});

test('a response to a control request without end closes the connection and counts against the engine', async (t) => {
  const { connection, control, listeners, responses, state } = createControl();
  const outcome = control.send(SERVER, REQUEST);
  listeners[0]?.onConnected(connection);
  for (let index = 0; index <= 1_024 && state.abortedCount === 0; index += 1) {
    responses[0]?.onBody(Buffer.alloc(1_024));
  }
  t.is((await outcome).kind, 'unknown');
  t.is(state.abortedCount, 1);
  t.is(state.failedCount, 1);
});

test("a late response to a caller's request is not taken for the response to a control request", async (t) => {
  const { connection, control, listeners, responses } = createControl();
  const outcome = control.send(SERVER, REQUEST);
  listeners[0]?.onConnected(connection);
  const head = { canReuseConnection: true, status: 200 };
  t.false(responses[0]?.accepts({ ...head, headers: [['Request-Id', 'r1']] }));
  t.true(responses[0]?.accepts({ ...head, headers: [['Content-Type', 'application/json']] }));
  responses[0]?.onBroken('closed');
  t.is((await outcome).kind, 'unknown');
});
