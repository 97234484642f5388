import { writeConfig } from '@laburnumgap/config-sync';
import type { PlannedStop } from '@laburnumgap/contracts';
import {
  STOP_PREFIX,
  TOMBSTONE_TEXT,
  parseConfigDocument,
  parsePlannedStop,
} from '@laburnumgap/contracts';
import type { Revision } from '@laburnumgap/kernel';
import { failure, success, toNumberId } from '@laburnumgap/kernel';
import type { CtlContext, CtlOutcome } from './CtlContext.js';
import { formatTable } from './CtlTable.js';
import { storeUnavailable } from './CtlUtils.js';

const NO_REVISION = toNumberId<Revision>(0);

/** Plans a stop. From its start time on, the target takes no new work. */
export async function planStop(context: CtlContext, stop: PlannedStop): Promise<CtlOutcome> {
  const text = `${JSON.stringify(stop, undefined, 2)}\n`;
  const parsed = parsePlannedStop({ file: 'arguments', text });
  if (!parsed.ok) {
    return failure({ kind: 'invalid', problems: parsed.error });
  }
  const written = await writeStop(context, stop.id, text, NO_REVISION);
  if (!written.ok) {
    return written;
  }
  const line = `stop ${stop.id} of ${describeTarget(stop)} planned at revision ${written.value}`;
  return success({ json: { id: stop.id, revision: written.value }, lines: [line] });
}

/** Lists the planned stops. */
export async function listStops(context: CtlContext): Promise<CtlOutcome> {
  const stored = await context.store.range(STOP_PREFIX);
  if (!stored.ok) {
    return storeUnavailable(stored.error);
  }
  const nowEpochMs = context.environment.nowEpochMs();
  const stops = stored.value.values.flatMap(({ key, modRevision, value }) => {
    const parsed = parseConfigDocument(key, value);
    const stop = parsed.ok && parsed.value.kind === 'stop' ? parsed.value.stop : undefined;
    return stop ? [{ ...stop, revision: modRevision, state: describeState(stop, nowEpochMs) }] : [];
  });
  const columns = ['ID', 'TARGET', 'STATE', 'START', 'DEADLINE', 'REASON', 'REVISION'];
  const rows = stops.map((stop) => [
    stop.id,
    describeTarget(stop),
    stop.state,
    new Date(stop.startEpochMs).toISOString(),
    new Date(stop.deadlineEpochMs).toISOString(),
    stop.reason,
    String(stop.revision),
  ]);
  return success({ json: stops, lines: formatTable(columns, rows) });
}

/** Cancels a planned stop. */
export async function cancelStop(context: CtlContext, id: string): Promise<CtlOutcome> {
  const read = await context.store.read(`${STOP_PREFIX}${id}`);
  if (!read.ok) {
    return storeUnavailable(read.error);
  }
  if (!read.value || read.value.value === TOMBSTONE_TEXT) {
    return failure({ kind: 'notFound', what: `stop ${id}` });
  }
  const written = await writeStop(context, id, TOMBSTONE_TEXT, read.value.modRevision);
  if (!written.ok) {
    return written;
  }
  const lines = [`stop ${id} cancelled at revision ${written.value}`];
  return success({ json: { id, revision: written.value }, lines });
}

function writeStop(
  context: CtlContext,
  id: string,
  text: string,
  expectedRevision: Revision,
): ReturnType<typeof writeConfig> {
  const { environment, settings, store } = context;
  return writeConfig(
    { store, wait: (durationMs) => environment.wait(durationMs) },
    {
      changeId: environment.newId(),
      expectedRevision,
      key: `${STOP_PREFIX}${id}`,
      nowEpochMs: environment.nowEpochMs(),
      operator: settings.operator,
      text,
    },
  );
}

function describeState(stop: PlannedStop, nowEpochMs: number): string {
  if (nowEpochMs < stop.startEpochMs) {
    return 'planned';
  }
  return nowEpochMs < stop.deadlineEpochMs ? 'in force' : 'past its deadline';
}

function describeTarget({ target }: PlannedStop): string {
  switch (target.kind) {
    case 'entryVm':
      return `entry VM ${target.entryVm}`;
    case 'failureDomain':
      return `failure domain ${target.failureDomain}`;
    case 'server':
      return `backend server ${target.serverId}`;
  }
}
