import type { BackendServer, EngineLimits, RoomWish } from '@laburnumgap/dispatch';
import { EngineLoad } from '@laburnumgap/dispatch';
import type {
  FailureDomainId,
  MemberId,
  RequestId,
  ServerId,
  ServiceId,
} from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { RoomMessage } from '../../index.js';
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

function wishOf(name: string): RoomWish {
  return {
    believedReadingTokens: 0,
    plannedTokens: 4_000,
    promptTokens: 3_900,
    requestId: toId<RequestId>(name),
    serverId: SERVER_ID,
    unreadTokens: 0,
  };
}

interface World {
  readonly asked: MemberId[];
  readonly keepers: Map<MemberId, EngineCapacityCoordinator>;
}

/** Keepers whose messages are lost to those in `silent`; owners are tried in the order of `ids`. */
function worldOf(names: readonly string[], silent: readonly string[] = []): World {
  const ids = names.map((name) => toId<MemberId>(name));
  const world: World = { asked: [], keepers: new Map() };
  for (const memberId of ids) {
    const send = (message: RoomMessage, to: MemberId): void => {
      if (message.kind === 'roomWanted') {
        world.asked.push(to);
      }
      if (!silent.includes(to)) {
        setImmediate(() => world.keepers.get(to)?.onMessage(message));
      }
    };
    const keeper = new EngineCapacityCoordinator({
      clock: { nowMs: () => performance.now() },
      engineLimitsOf: () => ENGINE,
      load: new EngineLoad(),
      loadSourceOf: (member) => member,
      log: { info: () => undefined, warn: () => undefined },
      memberId,
      ownerOf: (_server, without) => ids.find((id) => !without.has(id)) ?? memberId,
      send,
    });
    world.keepers.set(memberId, keeper);
  }
  return world;
}

function ask(world: World, name: string, request: string): Promise<boolean> {
  const keeper = world.keepers.get(toId<MemberId>(name));
  return new Promise((resolve) => keeper?.requestCapacity(wishOf(request), SERVER, resolve));
}

test('an owner grants room until the engine is full, whoever asks', async (t) => {
  const world = worldOf(['m1', 'm2', 'm3']);
  const answers = await Promise.all([
    ask(world, 'm2', 'r1'),
    ask(world, 'm3', 'r2'),
    ask(world, 'm2', 'r3'),
    ask(world, 'm3', 'r4'),
  ]);
  t.deepEqual(answers, [true, true, false, false]);
  t.false(await ask(world, 'm1', 'r5'), 'the owner itself is bound by what it granted');
});

test('the next owner is asked when the first is silent, and later ones go there at once', async (t) => {
  const world = worldOf(['m1', 'm2', 'm3'], ['m1']);
  t.true(await ask(world, 'm3', 'r1'));
  t.deepEqual(world.asked, ['m1', 'm2']);
  t.true(await ask(world, 'm3', 'r2'));
  t.deepEqual(world.asked, ['m1', 'm2', 'm2']);
  t.false(await ask(world, 'm3', 'r3'), 'the second owner counts what it granted');
});

test('a daemon that nobody answers goes ahead', async (t) => {
  const world = worldOf(['m1', 'm2', 'm3'], ['m1', 'm2']);
  t.true(await ask(world, 'm3', 'r1'));
  t.deepEqual(world.asked, ['m1', 'm2']);
});
