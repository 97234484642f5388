import type { BackendServer, EngineLimits } from '@laburnumgap/dispatch';
import type { ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { GenerationRun, MoveCoordinator, RunStatus, ServingContext } from '../../index.js';
import { StreamMover } from '../../index.js';

const ENGINE = { serverId: toId<ServerId>('e1') } as BackendServer;

/** How the rescue of a run begins. */
function rescue(status: Partial<RunStatus>): string {
  let outcome = 'nothing';
  const run = {
    fail: () => {
      outcome = 'failed';
    },
    hasEnded: () => true,
    hasStream: () => false,
    rankTargets: () => [],
    setMoving: () => {
      outcome = 'moving';
    },
    status: () => ({ isMoving: false, isQuarantined: false, requestId: 'r1', ...status }),
  } as unknown as GenerationRun;
  const context = { log: { info: () => undefined, warn: () => undefined } };
  const coordinator = { releaseTurn: () => undefined } as unknown as MoveCoordinator;
  const mover = new StreamMover(
    context as unknown as ServingContext,
    new Set([run]),
    coordinator,
    () => ({ canMove: true }) as EngineLimits,
  );
  mover.rescue(run, ENGINE);
  return outcome;
}

test('a stream that broke on a severed path is moved', (t) => {
  t.is(rescue({}), 'moving');
});

test('a stream that may crash engines is not moved to another when its connection breaks', (t) => {
  t.is(rescue({ isQuarantined: true }), 'failed');
});
