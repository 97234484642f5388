import type { PlannedStop } from '@laburnumgap/contracts';
import type { EntryVmId, FailureDomainId, ListedServer } from '@laburnumgap/kernel';

/**
 * Finds the planned stop that asks this daemon's entry VM to drain.
 *
 * @param stops - the stops in force
 * @param entryVm - the VM of the daemon
 * @param failureDomain - the failure domain of the VM
 * @param nowEpochMs - the time by the wall clock
 * @returns the started stop that ends first, or undefined
 */
export function plannedStopOf(
  stops: readonly PlannedStop[],
  entryVm: EntryVmId,
  failureDomain: FailureDomainId,
  nowEpochMs: number,
): PlannedStop | undefined {
  return stops
    .filter((stop) => isStarted(stop, nowEpochMs) && nowEpochMs < stop.deadlineEpochMs)
    .filter(({ target }) =>
      target.kind === 'failureDomain'
        ? target.failureDomain === failureDomain
        : target.kind === 'entryVm' && target.entryVm === entryVm,
    )
    .sort((a, b) => a.deadlineEpochMs - b.deadlineEpochMs)[0];
}

/**
 * Whether a stop has begun.
 *
 * @param stop - the stop
 * @param nowEpochMs - the time by the wall clock
 * @returns true from its start on
 */
export function isStarted(stop: PlannedStop, nowEpochMs: number): boolean {
  return stop.startEpochMs <= nowEpochMs;
}

/**
 * Whether a stop names a backend server, by itself or by its failure domain.
 *
 * @param stop - the stop
 * @param server - the server as listed
 * @returns true when the server is to leave
 */
export function namesServer(
  stop: PlannedStop,
  server: Pick<ListedServer, 'failureDomain' | 'serverId'>,
): boolean {
  const { target } = stop;
  if (target.kind === 'server') {
    return target.serverId === server.serverId;
  }
  return target.kind === 'failureDomain' && target.failureDomain === server.failureDomain;
}
