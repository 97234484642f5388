import Table from 'cli-table3';
import type { BenchFigures } from './PolicyBenchFigures.js';

/** Figures of one policy at one mix and load, a run for each seed. */
export interface BenchRow {
  readonly load: number;
  readonly mix: string;
  readonly policy: string;
  readonly runs: readonly BenchFigures[];
}

interface Column {
  readonly digits: number;
  readonly head: string;
  readonly key: keyof BenchFigures;
}

const COLUMNS: readonly Column[] = [
  { digits: 2, head: 'stall p50 s', key: 'stallP50S' },
  { digits: 1, head: 'p95 s', key: 'stallP95S' },
  { digits: 1, head: 'p99 s', key: 'stallP99S' },
  { digits: 1, head: 'preempted /100', key: 'preemptionsPer100' },
  { digits: 1, head: '3 times or more', key: 'oftenPreempted' },
  { digits: 0, head: 'gap p99 ms', key: 'gapP99Ms' },
  { digits: 0, head: 'tokens/s', key: 'tokensPerSecond' },
  { digits: 0, head: 'finished', key: 'finished' },
  { digits: 1, head: 'refused %', key: 'refusedPercent' },
  { digits: 1, head: 'worst small-team wait s', key: 'smallTeamWaitS' },
];

/** Figures of which a lower value is better, for the comparison by seed. */
const LOWER_IS_BETTER: readonly (keyof BenchFigures)[] = [
  'stallP50S',
  'stallP95S',
  'stallP99S',
  'preemptionsPer100',
  'gapP99Ms',
  'refusedPercent',
  'smallTeamWaitS',
];

const PLAIN_STYLE = { border: [], compact: true, head: [] };

/**
 * Prints the mean of each figure over the seeds.
 *
 * @param rows - the runs
 * @returns the table
 */
export function formatMeans(rows: readonly BenchRow[]): string {
  const heads = COLUMNS.map(({ head }) => head);
  const table = new Table({ head: ['mix', 'load', 'policy', ...heads], style: PLAIN_STYLE });
  for (const { load, mix, policy, runs } of rows) {
    const cells = COLUMNS.map(({ digits, key }) => mean(runs, key).toFixed(digits));
    table.push([mix, load, policy, ...cells]);
  }
  return table.toString();
}

/**
 * Prints in how many seeds the second policy was better, equal or worse than the first.
 *
 * @param rows - the runs, the two policies of each mix and load after one another
 * @returns the table
 */
export function formatBySeed(rows: readonly BenchRow[]): string {
  const head = ['mix', 'load', ...LOWER_IS_BETTER];
  const table = new Table({ head, style: PLAIN_STYLE });
  for (let index = 0; index + 1 < rows.length; index += 2) {
    const [naive, ours] = [rows[index], rows[index + 1]];
    if (naive && ours) {
      const cells = LOWER_IS_BETTER.map((key) => compare(naive.runs, ours.runs, key));
      table.push([ours.mix, ours.load, ...cells]);
    }
  }
  return table.toString();
}

function compare(
  naive: readonly BenchFigures[],
  ours: readonly BenchFigures[],
  key: keyof BenchFigures,
): string {
  const differences = ours.map((run, index) => run[key] - (naive[index]?.[key] ?? 0));
  const better = differences.filter((difference) => difference < 0).length;
  const worse = differences.filter((difference) => difference > 0).length;
  return `${better}/${differences.length - better - worse}/${worse}`;
}

function mean(runs: readonly BenchFigures[], key: keyof BenchFigures): number {
  return runs.reduce((sum, run) => sum + run[key], 0) / runs.length;
}
