import { parseSocketAddress } from '@laburnumgap/kernel';
import type { DaemonSettings } from '@laburnumgap/settings';
import { formatDocumentProblem, loadSettingsFile } from '@laburnumgap/settings';
import type { DecisionLog, Log, Metrics } from '@laburnumgap/telemetry';
import { NO_METRICS, createDecisionLog, createLog, createMetrics } from '@laburnumgap/telemetry';
import sade from 'sade';
import type { ZodType } from 'zod';
import type { ActorSystem } from './DaemonActor.js';
import { createActorSystem } from './DaemonActor.js';
import type { DaemonStage } from './DaemonHttpServer.js';
import type { StartedDaemon } from './DaemonLifecycle.js';
import { DaemonLifecycle, EXIT_FAILED, EXIT_USAGE } from './DaemonLifecycle.js';

/** Services passed to a daemon's start function. */
export interface DaemonContext<Settings extends DaemonSettings> {
  readonly actors: ActorSystem;
  readonly decisions: DecisionLog;
  /** Delays readiness until the promise resolves; call it from the start function. */
  delayReadinessUntil(condition: Promise<void>): void;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly settings: Settings;
  /** Begins the same graceful shutdown as SIGTERM. */
  shutDown(reason: string): void;
  /** Current stage. */
  stage(): DaemonStage;
}

/** A daemon with its command line and settings schema. */
export interface DaemonProgram<Settings extends DaemonSettings> {
  readonly description: string;
  readonly name: string;
  readonly schema: ZodType<Settings>;
  start(context: DaemonContext<Settings>): Promise<StartedDaemon>;
  readonly version: string;
}

/**
 * Runs a daemon's command line: `--settings FILE` starts the daemon, `check-settings` only validates
 * the settings file.
 *
 * @param program - the daemon to run
 * @param argv - arguments in the form of `process.argv`
 */
export function runDaemonProgram<Settings extends DaemonSettings>(
  program: DaemonProgram<Settings>,
  argv: string[] = process.argv,
): void {
  const cli = sade(program.name)
    .version(program.version)
    .describe(program.description)
    .option('--settings', 'Path of the YAML settings file');
  cli
    .command('run', 'Start the daemon', { default: true })
    .action(async (options: { settings?: string }) => {
      const settings = await loadSettingsOrExit(program, options.settings);
      await runUntilSignal(program, settings);
    });
  cli
    .command('check-settings', 'Check the settings file and exit')
    .action(async (options: { settings?: string }) => {
      await loadSettingsOrExit(program, options.settings);
      process.stdout.write('settings are valid\n');
    });
  cli.parse(argv, {
    unknown: (flag: string) => `Unknown option: ${flag}`,
  });
}

async function loadSettingsOrExit<Settings extends DaemonSettings>(
  program: DaemonProgram<Settings>,
  file: string | undefined,
): Promise<Settings> {
  if (file === undefined) {
    process.stderr.write(`${program.name}: --settings FILE is required\n`);
    process.exit(EXIT_USAGE);
  }
  const loaded = await loadSettingsFile(file, program.schema);
  if (loaded.ok) {
    return loaded.value;
  }
  for (const problem of loaded.error) {
    process.stderr.write(`${formatDocumentProblem(problem)}\n`);
  }
  process.exit(EXIT_USAGE);
}

async function runUntilSignal<Settings extends DaemonSettings>(
  program: DaemonProgram<Settings>,
  settings: Settings,
): Promise<void> {
  const log = createLog({ fields: { member: settings.member.id }, level: settings.log.level });
  const actors = createActorSystem(log);
  const metrics = createProgramMetrics(settings, program.name);
  const lifecycle = new DaemonLifecycle({
    boundMs: settings.shutdown.boundMs,
    exit: (code) => process.exit(code),
    flush: () => {
      metrics.close();
      actors.stop();
    },
    log,
  });
  process.on('SIGTERM', (signal) => {
    lifecycle.shutDown(signal);
  });
  process.on('SIGINT', (signal) => {
    lifecycle.shutDown(signal);
  });
  process.on('uncaughtException', (error) => {
    log.error('crashed', { detail: error.stack ?? error.message });
    process.exit(EXIT_FAILED);
  });
  await lifecycle.start(() =>
    program.start({
      actors,
      decisions: createDecisionLog({ log }),
      delayReadinessUntil: (condition) => {
        lifecycle.delayReadinessUntil(condition);
      },
      log,
      metrics,
      settings,
      shutDown: (reason) => {
        lifecycle.shutDown(reason);
      },
      stage: () => lifecycle.stage,
    }),
  );
}

function createProgramMetrics(settings: DaemonSettings, program: string): Metrics {
  if (!settings.metrics) {
    return NO_METRICS;
  }
  return createMetrics({
    ...parseSocketAddress(settings.metrics.address),
    tags: { member: settings.member.id, program },
  });
}
