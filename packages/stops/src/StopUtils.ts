import type { PlannedStop } from '@laburnumgap/contracts';
import type { EntryVmId, FailureDomainId, ListedServer } from '@laburnumgap/kernel';

/**
 * Finds the planned stop for which this daemon's entry VM has to drain.
 *
 * @param stops - the stops in force
 * @param entryVm - the entry VM of the daemon
 * @param failureDomain - the failure domain of the VM
 * @param nowEpochMs - current time
 * @returns the started stop with the earliest deadline, or undefined
 */
export function plannedStopOf(
  stops: readonly PlannedStop[],
  entryVm: EntryVmId,
  failureDomain: FailureDomainId,
  nowEpochMs: number,
): PlannedStop | undefined {
  return stops
    .filter((stop) => hasStarted(stop, nowEpochMs) && nowEpochMs < stop.deadlineEpochMs)
    .filter(({ target }) =>
      target.kind === 'failureDomain'
        ? target.failureDomain === failureDomain
        : target.kind === 'entryVm' && target.entryVm === entryVm,
    )
    .sort((a, b) => a.deadlineEpochMs - b.deadlineEpochMs)[0];
}

/**
 * Whether a stop has started.
 *
 * @param stop - the stop
 * @param nowEpochMs - current time
 * @returns true from its start time on
 */
export function hasStarted(stop: PlannedStop, nowEpochMs: number): boolean {
  return stop.startEpochMs <= nowEpochMs;
}

/**
 * Whether a stop targets a backend server, directly or through its failure domain.
 *
 * @param stop - the stop
 * @param server - the listed server
 * @returns true if the server has to leave
 */
export function targetsServer(
  stop: PlannedStop,
  server: Pick<ListedServer, 'failureDomain' | 'serverId'>,
): boolean {
  const { target } = stop;
  if (target.kind === 'server') {
    return target.serverId === server.serverId;
  }
  return target.kind === 'failureDomain' && target.failureDomain === server.failureDomain;
}
