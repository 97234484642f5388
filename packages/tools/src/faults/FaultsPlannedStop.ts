import { setTimeout as sleep } from 'node:timers/promises';
import { toNumberId } from '@laburnumgap/kernel';
import { STOP_PREFIX, TOMBSTONE_TEXT } from '@laburnumgap/contracts';
import { stringify } from 'yaml';
import type { EngineSpec } from '../deployment/DeploymentOptions.js';
import type { FaultContext } from './FaultsTargets.js';
import { withTarget } from './FaultsTargets.js';

/** Time after planning a stop in which routers may still send new work to the server. */
const LEAVING_BOUND_MS = 3_000;

/** Plans a stop of an engine, checks that it gets no new work and cancels the stop. */
export function planServerStop(context: FaultContext): Promise<void> {
  return withTarget(context, context.deployment.options.engines, (engine) =>
    planEngineStop(context, engine),
  );
}

async function planEngineStop(context: FaultContext, engine: EngineSpec): Promise<void> {
  const { deployment, oracle, random } = context;
  const id = `stop-${engine.name}-${random.int(1, 1_000_000)}`;
  const startEpochMs = Date.now();
  const key = `${STOP_PREFIX}${id}`;
  const stop = {
    deadlineEpochMs: startEpochMs + 600_000,
    id,
    startEpochMs,
    target: { kind: 'server', serverId: engine.name },
  };
  const planned = await deployment.store.commit({
    guards: [{ key, modRevision: toNumberId(0) }],
    writes: [{ key, kind: 'put', value: stringify(stop) }],
  });
  if (!planned.ok) {
    oracle.count(`stop not planned: ${planned.error.kind}`);
    return;
  }
  const plannedEpochMs = Date.now();
  await sleep(LEAVING_BOUND_MS + random.int(1_000, 4_000));
  checkNoWorkAfterStop(context, engine.name, plannedEpochMs + LEAVING_BOUND_MS, Date.now());
  await cancelStop(context, key);
}

async function cancelStop({ deployment }: FaultContext, key: string): Promise<void> {
  for (;;) {
    const current = await deployment.store.read(key);
    const cancelled =
      current.ok &&
      current.value &&
      (await deployment.store.commit({
        guards: [{ key, modRevision: current.value.modRevision }],
        writes: [{ key, kind: 'put', value: TOMBSTONE_TEXT }],
      }));
    if (cancelled && cancelled.ok) {
      return;
    }
    await sleep(500);
  }
}

/** Records a violation for each routing decision to the engine within the time range. */
function checkNoWorkAfterStop(
  { deployment, oracle }: FaultContext,
  engineId: string,
  fromEpochMs: number,
  toEpochMs: number,
): void {
  oracle.count('plannedStopChecked');
  const lateDecisions = deployment.findLogLines((line) => {
    const atEpochMs = Date.parse(line.time ?? '');
    return (
      line.event === 'decision' &&
      line.decision === 'route' &&
      line.engineId === engineId &&
      atEpochMs > fromEpochMs &&
      atEpochMs < toEpochMs
    );
  });
  for (const line of lateDecisions) {
    oracle.recordViolation('workAfterStop', `${engineId}: ${JSON.stringify(line)}`);
  }
}
