import sade from 'sade';
import type { FirmName } from './FaultsFirms.js';
import { FAULT_CASES } from './FaultsInjector.js';
import { runFaults } from './FaultsRun.js';

interface Options {
  readonly cases?: string;
  readonly firm?: string;
  readonly logs?: string;
  readonly minutes?: number;
  readonly seed?: number;
}

const MS_PER_MINUTE = 60_000;
const FIRMS: readonly FirmName[] = ['harrow-pell', 'hoa-sen'];

sade('laburnum-faults', true)
  .version('0.1.0')
  .describe('Runs a deployment as processes under random faults and checks every answer')
  .option('--seed', 'Seed of the faults and calls', 1)
  .option('--minutes', 'Duration of the faults in minutes', 1)
  .option('--firm', `One of ${FIRMS.join(', ')}; chosen by the seed if not set`)
  .option('--logs', "Folder for the daemons' logs")
  .option('--cases', 'Names of fault cases to choose from, separated by commas')
  .action(async (options: Options) => {
    const seed = options.seed ?? 1;
    const firm =
      FIRMS.find((name) => name === options.firm) ?? FIRMS[seed % FIRMS.length] ?? 'hoa-sen';
    const cases = options.cases?.split(',') ?? Object.keys(FAULT_CASES);
    const durationMs = (options.minutes ?? 1) * MS_PER_MINUTE;
    process.stdout.write(`seed ${seed}, ${firm}, ${durationMs / MS_PER_MINUTE} min under faults\n`);
    const oracle = await runFaults({ cases, durationMs, firm, logFolder: options.logs, seed });
    for (const [name, count] of oracle.counts()) {
      process.stdout.write(`  ${name}: ${count}\n`);
    }
    const violations = oracle.violations();
    for (const { detail, kind } of violations) {
      process.stdout.write(`VIOLATION ${kind}: ${detail}\n`);
    }
    process.stdout.write(`seed ${seed}: ${violations.length} violations\n`);
    process.exit(violations.length === 0 ? 0 : 1);
  })
  .parse(process.argv);
