import { mkdirSync } from 'node:fs';
import { dirname } from 'node:path';
import { CaseRecord } from './record.js';

/** What a case found. */
export type Verdict = 'broken' | 'held';

const LONGEST_MS = 110_000;

/**
 * Runs a case: exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. The
 * first argument of the program is the path of `record.txt`.
 *
 * @param run - plays the case; `hasTrouble` is false where TROUBLE=0 is set
 */
export function runCase(run: (record: CaseRecord, hasTrouble: boolean) => Promise<Verdict>): void {
  const path = process.argv[2] ?? '';
  mkdirSync(dirname(path), { recursive: true });
  const record = new CaseRecord(path);
  const hasTrouble = process.env.TROUBLE !== '0';
  record.line(hasTrouble ? 'with the disruption' : 'without the disruption');
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => {
      record.line(`${signal}: the case ends`);
      process.exit(2);
    });
  }
  const timer = setTimeout(() => {
    record.line('the case did not end in time');
    process.exit(2);
  }, LONGEST_MS);
  run(record, hasTrouble).then(
    (verdict) => {
      clearTimeout(timer);
      record.line(`the rule was ${verdict === 'broken' ? 'BROKEN' : 'kept'}`);
      process.stdout.write(`${verdict}\n`);
      process.exit(verdict === 'broken' ? 1 : 0);
    },
    (error: unknown) => {
      record.line(`the case could not run: ${String(error)}`);
      process.stderr.write(`${String(error)}\n`);
      process.exit(2);
    },
  );
}
