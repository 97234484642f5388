import Table from 'cli-table3';
import type { Histogram } from 'hdr-histogram-js';
import type { BenchFigures } from './PolicyBenchFigures.js';
import { newHistogram } from './PolicyBenchFigures.js';
import type { BenchResult } from './PolicyBenchRun.js';

/** Results of one policy for one mix and load, with one run per seed. */
export interface BenchRow {
  /** Names of the long and the short kind, in this order. */
  readonly kinds: readonly string[];
  readonly load: number;
  readonly mix: string;
  readonly policy: string;
  readonly runs: readonly BenchResult[];
}

/** Statistics compared per seed; a lower value is better. */
const LOWER_IS_BETTER: readonly (keyof BenchFigures)[] = [
  'stallP50S',
  'stallP95S',
  'stallP99S',
  'preemptionsPer100',
  'gapP99Ms',
  'refusedPercent',
  'smallTeamWaitS',
];

const FIGURE_HEADERS = [
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
 * Formats a table of stalls and gaps merged over all seeds and the means of the other statistics.
 *
 * @param rows - the results
 * @returns the table
 */
export function formatFigures(rows: readonly BenchRow[]): string {
  const table = new Table({ head: FIGURE_HEADERS, style: PLAIN_STYLE });
  for (const row of rows) {
    const { kinds, load, mix, policy, runs } = row;
    const stalls = kinds.map((kind) => mergeHistograms(runs.map((run) => stallsOf(run, kind))));
    const gaps = mergeHistograms(runs.map(({ histograms }) => histograms.gaps));
    table.push([
      mix,
      load,
      policy,
      percentilesOf(mergeHistograms(stalls)),
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
 * Formats a table that counts the seeds in which the second policy was better than, equal to or
 * worse than the first.
 *
 * @param rows - the results; the two policies of a mix and load are adjacent
 * @returns the table
 */
export function formatBySeed(rows: readonly BenchRow[]): string {
  const head = ['mix', 'load', ...LOWER_IS_BETTER];
  const table = new Table({ head, style: PLAIN_STYLE });
  for (let index = 0; index + 1 < rows.length; index += 2) {
    const [baseline, candidate] = [rows[index], rows[index + 1]];
    if (baseline && candidate) {
      const cells = LOWER_IS_BETTER.map((key) => compare(baseline.runs, candidate.runs, key));
      table.push([candidate.mix, candidate.load, ...cells]);
    }
  }
  return table.toString();
}

function compare(
  baseline: readonly BenchResult[],
  candidate: readonly BenchResult[],
  key: keyof BenchFigures,
): string {
  const differences = candidate.map(
    (run, index) => run.figures[key] - (baseline[index]?.figures[key] ?? 0),
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

function mergeHistograms(histograms: readonly Histogram[]): Histogram {
  const merged = newHistogram();
  for (const histogram of histograms) {
    merged.add(histogram);
  }
  return merged;
}

function stallsOf(run: BenchResult, kind: string): Histogram {
  return run.histograms.stallsOfKind.get(kind) ?? newHistogram();
}
