import type { BackendServer, EngineLimits } from '@laburnumgap/dispatch';
import type { ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type {
  AccessOptions,
  Continuation,
  EngineControlRequest,
  GenerationRun,
  MoveCoordinator,
  RunStatus,
  ServingContext,
} from '../../index.js';
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

interface MoveSetup {
  /** Ids of the engines that are evacuated. */
  readonly evacuated: Set<string>;
  /** Called before the answer to each control request. */
  readonly onRequest?: (sent: readonly string[]) => void;
  /** Called when the move gets its turn. */
  readonly onTurn?: () => void;
}

/** Moves a run off an engine; returns the control requests and where the run continued. */
async function moveRun(setup: MoveSetup): Promise<{
  readonly allSaveStreams: boolean;
  readonly sent: readonly string[];
  readonly target: string | undefined;
}> {
  const { evacuated, onRequest, onTurn } = setup;
  const sent: string[] = [];
  let allSaveStreams = true;
  const engines = ['e2', 'e3'].map((id) => ({ serverId: toId<ServerId>(id) }) as BackendServer);
  const status = { isMoving: false, isQuarantined: false, requestId: 'r1', server: ENGINE };
  const target = await new Promise<string | undefined>((resolve) => {
    const run = {
      continueAt: ({ server }: Continuation) => {
        resolve(server.serverId);
      },
      continueOrFail: () => {
        resolve(undefined);
      },
      hasEnded: () => false,
      hasStream: () => false,
      isStopOpen: () => false,
      orderStop: () => undefined,
      rankTargets: (excluded: ReadonlySet<ServerId>) =>
        engines.filter(({ serverId }) => !excluded.has(serverId)).map((server) => ({ server })),
      serverId: () => undefined,
      setCopyTarget: () => undefined,
      setMoving: () => undefined,
      status: () => status,
      whenStreamClosed: (listener: (() => void) | undefined) => listener?.(),
    } as unknown as GenerationRun;
    const context = {
      clock: { nowMs: () => 0 },
      engineControl: {
        send: (
          _source: BackendServer,
          { path }: EngineControlRequest,
          _timeoutMs: number,
          access?: AccessOptions,
        ) => {
          sent.push(path);
          allSaveStreams &&= path === 'drop' || access?.savesStream === true;
          onRequest?.(sent);
          return Promise.resolve({ body: Buffer.from(''), kind: 'answered', status: 200 });
        },
      },
      log: { info: () => undefined, warn: () => undefined },
      protocol: {
        dropCopyRequest: () => ({ path: 'drop' }),
        moveRequest: (_id: string, { serverId }: BackendServer, isFinalCopy: boolean) => ({
          path: `${isFinalCopy ? 'final' : 'first'} copy to ${serverId}`,
        }),
        parseMoveResult: () => ({ eventsMade: 1, handle: 'h', kind: 'copied' }),
      },
      registry: {
        get: (serverId: ServerId) => ({
          server: engines.find((engine) => engine.serverId === serverId),
        }),
      },
      serverAccess: {
        avoidsEvacuated: ({ serverId }: BackendServer) => evacuated.has(serverId),
      },
    } as unknown as ServingContext;
    const coordinator = {
      releaseTurn: () => undefined,
      requestTurn: ({ targetIds }: { targetIds: readonly ServerId[] }) => {
        onTurn?.();
        return Promise.resolve({ kind: 'turn', targetId: targetIds[0] });
      },
    } as unknown as MoveCoordinator;
    const limits = { canMove: true } as EngineLimits;
    new StreamMover(context, new Set([run]), coordinator, () => limits).rescue(run, ENGINE);
  });
  return { allSaveStreams, sent, target };
}

test('a move is sent to its source as a request that saves a stream', async (t) => {
  const { allSaveStreams, sent, target } = await moveRun({ evacuated: new Set() });
  t.deepEqual(sent, ['first copy to e2', 'final copy to e2']);
  t.is(target, 'e2');
  t.true(allSaveStreams, 'it is also sent to an engine whose domain is evacuated');
});

test('a move whose target is evacuated while it waits for its turn goes to another', async (t) => {
  const evacuated = new Set<string>();
  const { sent, target } = await moveRun({ evacuated, onTurn: () => evacuated.add('e2') });
  t.deepEqual(sent, ['first copy to e3', 'final copy to e3']);
  t.is(target, 'e3');
});

test('a run is not stopped for a target that is evacuated after the first copy', async (t) => {
  const evacuated = new Set<string>();
  const { sent, target } = await moveRun({ evacuated, onRequest: () => evacuated.add('e2') });
  t.deepEqual(sent, ['first copy to e2', 'drop', 'first copy to e3', 'final copy to e3']);
  t.is(target, 'e3');
});
