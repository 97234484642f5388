import type { ClaimCost } from './CapacityClaims.js';
import type { KernelSlopes } from './CapacityKernels.js';
import { fitLine } from './CapacityMeasure.js';
import type { IdleFleet, TargetState } from './CapacityProcesses.js';
import type { RpcCost, RpcSlopes } from './CapacityRpc.js';
import {
  AT_MOST_ONCE_SHARE,
  RUNNING_GENERATIONS,
  SECONDS_PER_DAY,
  TARGET,
} from './CapacityTarget.js';

/** All measurements that the table is computed from. */
export interface Slopes {
  readonly claims: readonly ClaimCost[];
  readonly fleets: readonly IdleFleet[];
  readonly kernels: KernelSlopes;
  readonly rpc: RpcSlopes;
  readonly target: TargetState;
}

/** One row of the capacity table. */
export interface CapacityRow {
  readonly atTarget: number;
  /** Maximum permitted value; rows without a budget are components of other rows. */
  readonly budget?: number;
  readonly formula: string;
  readonly quantity: string;
  readonly role: string;
  readonly slope: string;
  readonly unit: string;
}

const { entryVms, requestsPerSecond, servers } = TARGET;
const REQUESTS_PER_ROUTER = requestsPerSecond / entryVms;
const TEAMS_PER_SCHEDULER = TARGET.concurrentTeams / entryVms;
const RUNNING_PER_ROUTER = RUNNING_GENERATIONS / entryVms;
const PROGRESS_CALLS_PER_SECOND = entryVms;
const RUNNING_PER_PROGRESS_CALL = RUNNING_PER_ROUTER / entryVms;
const ENGINES_PER_SCHEDULER = servers / entryVms;
const SHARE_CALLS_PER_SECOND = entryVms;
/** Share of a call's CPU time attributed to each end; the measured cost covers client and server. */
const CPU_SHARE_PER_END = 0.5;
const US_PER_SECOND = 1_000_000;
const CLAIM_SLOTS = 16;
const VM_LIST_ENTRY_BYTES = 167;
/**
 * Calls of one request to schedulers: two estimates, one admission, and one record and one end at
 * each of the three schedulers that keep the request's record (its homes).
 */
const ESTIMATES_PER_REQUEST = 2;
const RECORDS_PER_REQUEST = 6;
const HOMES_PER_REQUEST = 3;

/**
 * Extrapolates the measured slopes to the target size.
 *
 * @param slopes - the measurements
 * @returns the rows of the table
 */
export function capacityRows(slopes: Slopes): readonly CapacityRow[] {
  return [
    ...idleRows(slopes.fleets, slopes.target),
    ...sharedRows(slopes.kernels),
    ...routerRows(slopes.rpc),
    ...schedulerRows(slopes.kernels, slopes.rpc),
    ...ledgerRows(slopes.claims),
    ...platformRows(slopes.fleets, slopes.claims),
  ];
}

function idleRows(fleets: readonly IdleFleet[], target: TargetState): readonly CapacityRow[] {
  const rows = (['ledger', 'router', 'scheduler'] as const).flatMap((role): CapacityRow[] => {
    const shares = fleets.map((fleet) => (fleet.roles[role].cpuShare * 100).toFixed(2));
    const sizes = fleets.map((fleet) => mebibytes(fleet.roles[role].residentBytes).toFixed(0));
    const formula = 'one daemon that knows 330 members, 1,200 contracts, 810 servers';
    const fleetSizes = fleets.map((fleet) => fleet.daemons).join(', ');
    return [
      {
        atTarget: target.roles[role].cpuShare * 100,
        budget: TARGET.controlCpuShare * 100,
        formula,
        quantity: 'processor, no callers',
        role,
        slope: `${shares.join(', ')} % with ${fleetSizes} daemons`,
        unit: '% of a core',
      },
      {
        atTarget: mebibytes(target.roles[role].residentBytes),
        budget: mebibytes(TARGET.memoryBytes),
        formula,
        quantity: 'resident memory, no callers',
        role,
        slope: `${sizes.join(', ')} MiB with ${fleetSizes} daemons`,
        unit: 'MiB',
      },
    ];
  });
  const inForce = fitLine(fleets.map((fleet) => [fleet.daemons, fleet.inForceMs]));
  return [
    ...rows,
    {
      atTarget: inForce.base + Math.max(0, inForce.slope) * TARGET.daemons,
      budget: TARGET.inForceMs,
      formula: 'base + slope x 330 daemons',
      quantity: 'change in force everywhere',
      role: 'all',
      slope: `${inForce.base.toFixed(0)} ms + ${inForce.slope.toFixed(2)} ms a daemon`,
      unit: 'ms',
    },
  ];
}

function sharedRows(kernels: KernelSlopes): readonly CapacityRow[] {
  const changes = TARGET.configChangesPerDay / SECONDS_PER_DAY;
  const members = TARGET.memberChangesPerDay / SECONDS_PER_DAY;
  return [
    row('all', 'configuration state', kernels.configDocumentBytes / 1024, 'KiB a contract', {
      atTarget: mebibytes(kernels.configDocumentBytes * TARGET.concurrentTeams),
      formula: 'slope x 1,200 contracts',
      unit: 'MiB',
    }),
    row('all', 'applying changes', kernels.configApplyUs, 'µs a change', {
      atTarget: percent(kernels.configApplyUs * changes),
      formula: 'slope x 4,000 changes a day',
      unit: '% of a core',
    }),
    row('all', 'membership state', kernels.memberBytes, 'bytes a member', {
      atTarget: mebibytes(kernels.memberBytes * TARGET.daemons),
      formula: 'slope x 330 members',
      unit: 'MiB',
    }),
    row('all', 'parents for the configuration', kernels.configTopologyUs, 'µs a plan of 330', {
      atTarget: percent(kernels.configTopologyUs * members),
      formula: 'slope x membership changes',
      unit: '% of a core',
    }),
    {
      atTarget: (servers * VM_LIST_ENTRY_BYTES) / 1024,
      budget: TARGET.controlBytesPerSecond / 1024,
      formula: '810 servers x 167 bytes, once a second, without ETags',
      quantity: 'reading the VM list',
      role: 'all',
      slope: '135,579 bytes for 810 servers in JSON',
      unit: 'KiB/s',
    },
  ];
}

function routerRows(rpc: RpcSlopes): readonly CapacityRow[] {
  const share = interpolateCost(
    rpc.shareWithOneEntry,
    rpc.shareWithTenEntries,
    TEAMS_PER_SCHEDULER,
  );
  const progress = interpolateCost(
    rpc.progressWithOneEntry,
    rpc.progressWithTenEntries,
    RUNNING_PER_PROGRESS_CALL,
  );
  return [
    ...callRows('router', 'shares of team limits', share, SHARE_CALLS_PER_SECOND, true),
    ...callRows('router', 'progress reports', progress, PROGRESS_CALLS_PER_SECOND, true),
    ...callRows(
      'router',
      'estimates of requests',
      rpc.estimate,
      REQUESTS_PER_ROUTER * ESTIMATES_PER_REQUEST,
      false,
    ),
    ...callRows(
      'router',
      'homes of requests',
      rpc.record,
      REQUESTS_PER_ROUTER * RECORDS_PER_REQUEST,
      false,
    ),
  ];
}

function schedulerRows(kernels: KernelSlopes, rpc: RpcSlopes): readonly CapacityRow[] {
  const admissions = REQUESTS_PER_ROUTER;
  const progress = interpolateCost(
    rpc.progressWithOneEntry,
    rpc.progressWithTenEntries,
    RUNNING_PER_PROGRESS_CALL,
  );
  const share = interpolateCost(
    rpc.shareWithOneEntry,
    rpc.shareWithTenEntries,
    TEAMS_PER_SCHEDULER,
  );
  const records = REQUESTS_PER_ROUTER * HOMES_PER_REQUEST * 60;
  return [
    ...callRows('scheduler', 'shares of team limits', share, SHARE_CALLS_PER_SECOND, true),
    ...callRows('scheduler', 'progress reports', progress, PROGRESS_CALLS_PER_SECOND, true),
    row('scheduler', 'share decisions', kernels.quotaDemandUs, 'µs a demand', {
      atTarget: percent(kernels.quotaDemandUs * SHARE_CALLS_PER_SECOND * TEAMS_PER_SCHEDULER),
      formula: 'slope x 110 routers x 10.9 teams a second',
      unit: '% of a core',
    }),
    row('scheduler', 'admission decisions', kernels.admissionGenerationUs, 'µs a generation', {
      atTarget: percent(kernels.admissionGenerationUs * admissions),
      formula: 'slope x 52.7 generations a second',
      unit: '% of a core',
    }),
    row('scheduler', 'progress decisions', kernels.admissionProgressUs, 'µs a report', {
      atTarget: percent(kernels.admissionProgressUs * RUNNING_PER_ROUTER),
      formula: `slope x ${formatNumber(RUNNING_PER_ROUTER)} generations a second`,
      unit: '% of a core',
    }),
    row('scheduler', 'running generations', kernels.admissionRunningBytes / 1024, 'KiB each', {
      atTarget: mebibytes(kernels.admissionRunningBytes * RUNNING_PER_ROUTER),
      formula: `slope x ${formatNumber(RUNNING_PER_ROUTER)} generations`,
      unit: 'MiB',
    }),
    row('scheduler', 'length model', kernels.lengthModelBytes / 1024 / 1024, 'MiB, bounded', {
      atTarget: mebibytes(kernels.lengthModelBytes),
      formula: '1,200 teams x 27 models, 32,768 distributions at most',
      unit: 'MiB',
    }),
    row('scheduler', 'request homes', kernels.homeRecordBytes / 1024, 'KiB a record', {
      atTarget: mebibytes(kernels.homeRecordBytes * records),
      formula: 'slope x 52.7 requests x 3 homes x 60 s',
      unit: 'MiB',
    }),
    row('scheduler', 'loads of its engines', ENGINES_PER_SCHEDULER * 2, 'HTTP calls a second', {
      atTarget: ENGINES_PER_SCHEDULER * 2,
      formula: '7.4 engines x 2 calls',
      unit: 'calls/s',
    }),
  ];
}

function ledgerRows(claims: readonly ClaimCost[]): readonly CapacityRow[] {
  const claimsPerSlot = (requestsPerSecond * AT_MOST_ONCE_SHARE) / CLAIM_SLOTS;
  const atTenPerSecond = claims.find((cost) => cost.claimsPerSecond === 10) ?? claims[0];
  return [
    row('ledger', 'claim decisions', atTenPerSecond?.cpuUs ?? 0, 'µs a claim at 10/s', {
      atTarget: percent((atTenPerSecond?.cpuUs ?? 0) * claimsPerSlot),
      formula: `slope x ${claimsPerSlot.toFixed(1)} claims a second and slot`,
      unit: '% of a core',
    }),
    row('ledger', 'journal bytes', atTenPerSecond?.bytesWritten ?? 0, 'bytes a claim at 10/s', {
      atTarget: ((atTenPerSecond?.bytesWritten ?? 0) * claimsPerSlot) / 1024,
      formula: `slope x ${claimsPerSlot.toFixed(1)} claims a second and slot`,
      unit: 'KiB/s',
    }),
  ];
}

function platformRows(
  fleets: readonly IdleFleet[],
  claims: readonly ClaimCost[],
): readonly CapacityRow[] {
  const kinds = Object.keys(fleets.at(-1)?.storeCallsPerSecond ?? {}).sort();
  const calls = kinds.map((kind) => {
    const line = fitLine(
      fleets.map((fleet) => [fleet.daemons, fleet.storeCallsPerSecond[kind] ?? 0]),
    );
    const atTarget = line.base + line.slope * TARGET.daemons;
    return row('platform service', kind, line.slope, 'calls/s a daemon', {
      atTarget,
      formula: 'base + slope x 330 daemons',
      unit: 'calls/s',
    });
  });
  const atTenPerSecond = claims.find((cost) => cost.claimsPerSecond === 10) ?? claims[0];
  const started = fleets.at(-1)?.storeCallsAtStart ?? 0;
  return [
    ...calls,
    row(
      'platform service',
      'writes of claims',
      atTenPerSecond?.writesPerSecond ?? 0,
      'writes/s a slot',
      {
        atTarget: (atTenPerSecond?.writesPerSecond ?? 0) * CLAIM_SLOTS,
        budget: TARGET.storeWritesPerSecond,
        formula: 'slope x 16 slots',
        unit: 'writes/s',
      },
    ),
    row('platform service', 'daemons of a region restart', started, 'calls a daemon', {
      atTarget: (started * TARGET.daemons) / 2,
      formula: 'slope x 165 daemons, spread over their start',
      unit: 'calls',
    }),
  ];
}

/** Cost of a call with a number of entries, on the line through calls with one and ten entries. */
function interpolateCost(one: RpcCost, ten: RpcCost, entries: number): RpcCost {
  const interpolate = (first: number, tenth: number): number =>
    first + ((tenth - first) / 9) * (entries - 1);
  return { bytes: interpolate(one.bytes, ten.bytes), cpuUs: interpolate(one.cpuUs, ten.cpuUs) };
}

function callRows(
  role: string,
  quantity: string,
  cost: RpcCost,
  callsPerSecond: number,
  isBackground: boolean,
): readonly CapacityRow[] {
  const formula = `${callsPerSecond.toFixed(1)} calls a second`;
  return [
    {
      atTarget: percent(cost.cpuUs * CPU_SHARE_PER_END * callsPerSecond),
      ...(isBackground ? { budget: TARGET.controlCpuShare * 100 } : {}),
      formula,
      quantity,
      role,
      slope: `${cost.cpuUs.toFixed(0)} µs a call, half of it here`,
      unit: '% of a core',
    },
    {
      atTarget: (cost.bytes * callsPerSecond) / 1024,
      ...(isBackground ? { budget: TARGET.controlBytesPerSecond / 1024 } : {}),
      formula,
      quantity,
      role,
      slope: `${cost.bytes.toFixed(0)} bytes a call, both ways`,
      unit: 'KiB/s',
    },
  ];
}

function row(
  role: string,
  quantity: string,
  slope: number,
  slopeUnit: string,
  rest: Pick<CapacityRow, 'atTarget' | 'budget' | 'formula' | 'unit'>,
): CapacityRow {
  return { ...rest, quantity, role, slope: `${formatNumber(slope)} ${slopeUnit}` };
}

/** Formats a number with three significant digits. */
export function formatNumber(value: number): string {
  return Number(value.toPrecision(3)).toLocaleString('en-US', { maximumFractionDigits: 4 });
}

function mebibytes(bytes: number): number {
  return bytes / 1024 / 1024;
}

function percent(usPerSecond: number): number {
  return (usPerSecond / US_PER_SECOND) * 100;
}
