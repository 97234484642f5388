import Table from 'cli-table3';
import type { Histogram } from 'hdr-histogram-js';
import type { BenchFigures } from './PolicyBenchFigures.js';
import { newHistogram } from './PolicyBenchFigures.js';
import type { BenchResult } from './PolicyBenchRun.js';

/** Results of one policy at one mix and load, a run for each seed. */
export interface BenchRow {
  /** The long kind, then the short kind. */
  readonly kinds: readonly string[];
  readonly load: number;
  readonly mix: string;
  readonly policy: string;
  readonly runs: readonly BenchResult[];
}

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

const FIGURE_HEADS = [
  'mix',
  'load',
  'policy',
  'stall p50/p95/p99 s',
  'long kind',
  'short kind',
  'preempted /100',
  '3 times or more',
  'gap p99 ms',
  'tokens/s',
  'finished',
  'refused %',
  'worst small-team wait s',
];

const MS_PER_S = 1_000;
const PLAIN_STYLE = { border: [], compact: true, head: [] };

/**
 * Prints stalls and gaps pooled over the seeds, and the means of the other figures.
 *
 * @param rows - the results
 * @returns the table
 */
export function formatFigures(rows: readonly BenchRow[]): string {
  const table = new Table({ head: FIGURE_HEADS, style: PLAIN_STYLE });
  for (const row of rows) {
    const { kinds, load, mix, policy, runs } = row;
    const stalls = kinds.map((kind) => pool(runs.map((run) => stallsOf(run, kind))));
    const gaps = pool(runs.map(({ histograms }) => histograms.gaps));
    table.push([
      mix,
      load,
      policy,
      percentilesOf(pool(stalls)),
      ...stalls.map((histogram) => percentilesOf(histogram)),
      mean(runs, 'preemptionsPer100').toFixed(1),
      mean(runs, 'oftenPreempted').toFixed(1),
      gaps.getValueAtPercentile(99),
      mean(runs, 'tokensPerSecond').toFixed(0),
      mean(runs, 'finished').toFixed(0),
      mean(runs, 'refusedPercent').toFixed(1),
      mean(runs, 'smallTeamWaitS').toFixed(1),
    ]);
  }
  return table.toString();
}

/**
 * Prints in how many seeds the second policy was better, equal or worse than the first.
 *
 * @param rows - the results, the two policies of each mix and load after one another
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
  naive: readonly BenchResult[],
  ours: readonly BenchResult[],
  key: keyof BenchFigures,
): string {
  const differences = ours.map(
    (run, index) => run.figures[key] - (naive[index]?.figures[key] ?? 0),
  );
  const better = differences.filter((difference) => difference < 0).length;
  const worse = differences.filter((difference) => difference > 0).length;
  return `${better}/${differences.length - better - worse}/${worse}`;
}

function mean(runs: readonly BenchResult[], key: keyof BenchFigures): number {
  return runs.reduce((sum, run) => sum + run.figures[key], 0) / runs.length;
}

function percentilesOf(histogram: Histogram): string {
  return [50, 95, 99]
    .map((percentile) => (histogram.getValueAtPercentile(percentile) / MS_PER_S).toFixed(2))
    .join('/');
}

function pool(histograms: readonly Histogram[]): Histogram {
  const pooled = newHistogram();
  for (const histogram of histograms) {
    pooled.add(histogram);
  }
  return pooled;
}

function stallsOf(run: BenchResult, kind: string): Histogram {
  return run.histograms.stallsOfKind.get(kind) ?? newHistogram();
}
