import { measureClaims } from './CapacityClaims.js';
import { measureKernels } from './CapacityKernels.js';
import { measureIdleFleets, measureTargetState } from './CapacityProcesses.js';
import { measureRpc } from './CapacityRpc.js';
import type { CapacityRow } from './CapacityTable.js';
import { capacityRows, formatNumber } from './CapacityTable.js';

/** Measures the slopes and prints the capacity table as Markdown. */

function rowText(row: CapacityRow): string {
  const budget = row.budget === undefined ? '' : `${formatNumber(row.budget)} ${row.unit}`;
  const margin = row.budget === undefined ? '' : `x ${formatNumber(row.budget / row.atTarget)}`;
  const atTarget = `${formatNumber(row.atTarget)} ${row.unit}`;
  return `| ${[row.role, row.quantity, row.formula, row.slope, atTarget, budget, margin].join(' | ')} |`;
}

const kernels = measureKernels();
const claims = await measureClaims();
const rpc = await measureRpc();
const fleets = await measureIdleFleets();
const target = await measureTargetState();

process.stdout.write(
  '| role | quantity | formula | measured slope | at target | budget | margin |\n',
);
process.stdout.write('|---|---|---|---|---|---|---|\n');
for (const row of capacityRows({ claims, fleets, kernels, rpc, target })) {
  process.stdout.write(`${rowText(row)}\n`);
}
process.stdout.write(`\nclaims: ${JSON.stringify(claims)}\n`);
process.stdout.write(`fleets: ${JSON.stringify(fleets)}\n`);
process.stdout.write(`target: ${JSON.stringify(target)}\n`);
process.exit(0);
