import { join } from 'node:path';
import type { Deployment } from './Deployment.js';
import { Record } from './Record.js';

/** What a case needs besides its own stand-ins. */
export interface CaseTools {
  /** Whether the disruption is made; not with `TROUBLE=0`. */
  readonly hasTrouble: boolean;
  readonly record: Record;
  /** Registers what is stopped at the end, whatever happens. */
  readonly onEnd: (stop: () => Promise<void> | void) => void;
  /** Registers a deployment, which is stopped at the end. */
  readonly use: (deployment: Deployment) => Deployment;
}

const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;
const MAX_RUN_MS = 117_000;

/**
 * Runs a case and ends the process: with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 *
 * @param run - the case; returns what broke the rule, or undefined
 */
export async function runCase(
  run: (tools: CaseTools) => Promise<string | undefined>,
): Promise<void> {
  const record = new Record();
  const stops: (() => Promise<void> | void)[] = [];
  const hasTrouble = process.env.TROUBLE !== '0';
  record.add(`the case runs ${hasTrouble ? 'with' : 'without'} its disruption`);
  const end = async (code: number): Promise<never> => {
    for (const stop of stops.reverse()) {
      await stop();
    }
    record.write(join(process.env.CASE_FOLDER ?? '.', 'record.txt'));
    process.exit(code);
  };
  const fail = (reason: string): void => {
    record.add(`the case could not run: ${reason}`);
    void end(EXIT_NOT_RUN);
  };
  setTimeout(() => {
    fail('it took too long');
  }, MAX_RUN_MS).unref();
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => {
      fail('it was told to stop');
    });
  }
  process.once('uncaughtException', (error) => {
    fail(error.stack ?? error.message);
  });
  try {
    const broken = await run({
      hasTrouble,
      onEnd: (stop) => stops.push(stop),
      record,
      use: (deployment) => {
        stops.push(() => deployment.stop());
        return deployment;
      },
    });
    record.add(broken === undefined ? 'the rule held' : `the rule was broken: ${broken}`);
    process.stdout.write(`${broken === undefined ? 'held' : `broken: ${broken}`}\n`);
    await end(broken === undefined ? EXIT_HELD : EXIT_BROKEN);
  } catch (error) {
    fail(error instanceof Error ? (error.stack ?? error.message) : String(error));
  }
}
