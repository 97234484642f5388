import type { BackendServer, EngineLimits, CapacityRequest } from '@laburnumgap/dispatch';
import { EngineLoad } from '@laburnumgap/dispatch';
import type {
  FailureDomainId,
  MemberId,
  RequestId,
  ServerId,
  ServiceId,
} from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import { install } from '@sinonjs/fake-timers';
import test from 'ava';
import type { CapacityKeeper, CapacityMessage } from '../../index.js';
import { EngineCapacityCoordinator } from '../../index.js';

const SERVER_ID = toId<ServerId>('e1');
const SERVER: BackendServer = {
  failureDomain: toId<FailureDomainId>('a'),
  host: '127.0.0.1',
  leaving: false,
  port: 80,
  serverId: SERVER_ID,
  service: toId<ServiceId>('engines'),
  slots: 24,
  startedEpochMs: 1,
};
const ENGINE: EngineLimits = {
  bytesPerToken: 18_432,
  canCopy: true,
  canMove: true,
  linkMbps: 2_700,
  memoryTokens: 10_000,
  slots: 24,
  tokensPerEvent: 4,
};

function capacityRequest(requestName: string): CapacityRequest {
  return {
    believedReadingTokens: 0,
    plannedTokens: 4_000,
    promptTokens: 3_900,
    requestId: toId<RequestId>(requestName),
    serverId: SERVER_ID,
    unreadTokens: 0,
  };
}

interface TestCluster {
  readonly coordinators: Map<MemberId, EngineCapacityCoordinator>;
  /** Recipients of capacity requests, in order. */
  readonly requestedOwners: MemberId[];
}

/**
 * Creates one coordinator for each name. Members in `unresponsive` receive no messages; engine
 * owners are tried in the order of the names.
 */
function createCluster(
  names: readonly string[],
  unresponsive: readonly string[] = [],
  capacityKeeper?: CapacityKeeper,
  nowMs: () => number = () => performance.now(),
): TestCluster {
  const ids = names.map((memberName) => toId<MemberId>(memberName));
  const cluster: TestCluster = { coordinators: new Map(), requestedOwners: [] };
  for (const memberId of ids) {
    const send = (message: CapacityMessage, recipientId: MemberId): void => {
      if (message.kind === 'roomWanted') {
        cluster.requestedOwners.push(recipientId);
      }
      if (!unresponsive.includes(recipientId)) {
        setImmediate(() => cluster.coordinators.get(recipientId)?.onMessage(message));
      }
    };
    const coordinator = new EngineCapacityCoordinator({
      capacityKeeper,
      clock: { nowMs },
      engineLimitsOf: () => ENGINE,
      load: new EngineLoad(),
      loadSourceOf: (member) => member,
      log: { info: () => undefined, warn: () => undefined },
      memberId,
      ownerOf: (_server, excluded) => ids.find((id) => !excluded.has(id)) ?? memberId,
      send,
    });
    cluster.coordinators.set(memberId, coordinator);
  }
  return cluster;
}

function requestCapacity(
  cluster: TestCluster,
  memberName: string,
  requestName: string,
): Promise<boolean> {
  const coordinator = cluster.coordinators.get(toId<MemberId>(memberName));
  return new Promise((resolve) =>
    coordinator?.requestCapacity(capacityRequest(requestName), SERVER, resolve),
  );
}

test('an owner grants capacity until the engine is full, regardless of the requester', async (t) => {
  const cluster = createCluster(['m1', 'm2', 'm3']);
  const answers = await Promise.all([
    requestCapacity(cluster, 'm2', 'r1'),
    requestCapacity(cluster, 'm3', 'r2'),
    requestCapacity(cluster, 'm2', 'r3'),
    requestCapacity(cluster, 'm3', 'r4'),
  ]);
  t.deepEqual(answers, [true, true, false, false]);
  t.false(
    await requestCapacity(cluster, 'm1', 'r5'),
    'grants to others also limit the owner itself',
  );
});

test('the next owner is asked when the first does not respond, and later requests skip the first', async (t) => {
  const cluster = createCluster(['m1', 'm2', 'm3'], ['m1']);
  t.true(await requestCapacity(cluster, 'm3', 'r1'));
  t.deepEqual(cluster.requestedOwners, ['m1', 'm2']);
  t.true(await requestCapacity(cluster, 'm3', 'r2'));
  t.deepEqual(cluster.requestedOwners, ['m1', 'm2', 'm2']);
  t.false(await requestCapacity(cluster, 'm3', 'r3'), 'the second owner counts its grants');
});

test('capacity counts as granted when no owner responds', async (t) => {
  const cluster = createCluster(['m1', 'm2', 'm3'], ['m1', 'm2']);
  t.true(await requestCapacity(cluster, 'm3', 'r1'));
  t.deepEqual(cluster.requestedOwners, ['m1', 'm2']);
});

test.serial(
  'load pattern: an answer that waits in a stalled process is read before its owner counts as silent',
  async (t) => {
    const fakeTimers = install({ toFake: ['setTimeout', 'clearTimeout'] });
    t.teardown(() => {
      fakeTimers.uninstall();
    });
    let nowMs = 0;
    const cluster = createCluster(['m1', 'm2', 'm3'], [], undefined, () => nowMs);
    await requestCapacity(cluster, 'm2', 'r1');
    await requestCapacity(cluster, 'm2', 'r2');
    const answer = requestCapacity(cluster, 'm3', 'r3');
    nowMs = 400;
    // The timeout fires late, before the messages are delivered.
    fakeTimers.next();
    t.false(await answer, 'the engine is full');
    fakeTimers.runAll();
    t.deepEqual(cluster.requestedOwners, ['m1', 'm1', 'm1']);
  },
);

test('load pattern: an owner keeps capacity for more urgent generations, also from itself', async (t) => {
  const decisions: string[] = [];
  const cluster = createCluster(['m1', 'm2'], [], {
    recordDecision: ({ requestId }, isLacking) => {
      decisions.push(`${requestId} ${String(isLacking)}`);
    },
    reserveFor: ({ requestId }) => ({ runs: 0, tokens: requestId === 'urgent' ? 0 : 4_000 }),
  });
  t.true(await requestCapacity(cluster, 'm2', 'r1'));
  t.false(await requestCapacity(cluster, 'm2', 'r2'));
  t.false(await requestCapacity(cluster, 'm1', 'r3'));
  t.true(await requestCapacity(cluster, 'm2', 'urgent'));
  t.deepEqual(decisions, ['r1 false', 'r2 true', 'r3 true', 'urgent false']);
});
