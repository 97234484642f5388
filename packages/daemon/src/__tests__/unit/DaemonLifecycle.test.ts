import { NO_LOG } from '@laburnumgap/telemetry';
import test from 'ava';
import type { StartedDaemon } from '../../index.js';
import { DaemonLifecycle, EXIT_FAILED, EXIT_OK } from '../../index.js';

const SHUTDOWN_BOUND_MS = 60_000;

interface TestRun {
  readonly exit: Promise<number>;
  readonly lifecycle: DaemonLifecycle;
}

function createTestRun(): TestRun {
  let exit: (code: number) => void = () => undefined;
  const exited = new Promise<number>((resolve) => {
    exit = resolve;
  });
  const lifecycle = new DaemonLifecycle({
    boundMs: SHUTDOWN_BOUND_MS,
    exit,
    flush: () => undefined,
    log: NO_LOG,
  });
  return { exit: exited, lifecycle };
}

function daemonWithDrain(drain: () => Promise<void>): () => Promise<StartedDaemon> {
  return () => Promise.resolve({ addresses: {}, drain });
}

test('a daemon is ready only after every readiness condition is met', async (t) => {
  const { lifecycle } = createTestRun();
  let meetCondition: () => void = () => undefined;
  const started = lifecycle.start(() => {
    lifecycle.delayReadinessUntil(
      new Promise((resolve) => {
        meetCondition = resolve;
      }),
    );
    return daemonWithDrain(() => Promise.resolve())();
  });
  await Promise.resolve();
  t.is(lifecycle.stage, 'starting');
  meetCondition();
  await started;
  t.is(lifecycle.stage, 'ready');
});

test('a second signal does not drain again', async (t) => {
  const { exit, lifecycle } = createTestRun();
  let drainCount = 0;
  await lifecycle.start(
    daemonWithDrain(() => {
      drainCount += 1;
      return Promise.resolve();
    }),
  );
  lifecycle.shutDown('SIGTERM');
  lifecycle.shutDown('SIGTERM');
  await exit;
  t.is(drainCount, 1);
});

const EXIT_CASES: readonly {
  readonly code: number;
  readonly name: string;
  readonly start: () => Promise<StartedDaemon>;
}[] = [
  { code: EXIT_OK, name: 'a drain that ends', start: daemonWithDrain(() => Promise.resolve()) },
  {
    code: EXIT_FAILED,
    name: 'a drain that fails',
    start: daemonWithDrain(() => Promise.reject(new Error('drain'))),
  },
  {
    code: EXIT_FAILED,
    name: 'a start that fails',
    start: () => Promise.reject(new Error('start')),
  },
];

for (const { code, name, start } of EXIT_CASES) {
  test(`${name} exits with ${code}`, async (t) => {
    const { exit, lifecycle } = createTestRun();
    const started = lifecycle.start(start);
    lifecycle.shutDown('SIGTERM');
    lifecycle.shutDown('SIGTERM');
    t.is(lifecycle.stage, 'draining');
    t.is(await exit, code);
    await started;
    t.is(lifecycle.stage, 'draining');
  });
}
