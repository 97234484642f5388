import { formatDocumentProblem, loadSettingsFile } from '@laburnumgap/settings';
import { createLog } from '@laburnumgap/telemetry';
import type { Sade } from 'sade';
import sade from 'sade';
import { startEngineStandin } from './EngineStandin.js';
import { startPlatformStandin } from './PlatformStandin.js';
import { startServiceStandin } from './ServiceStandin.js';
import type { StandinServer } from './StandinServer.js';
import type { StandinVms } from './VmsStandin.js';
import { startVmsStandin, vmsSchema } from './VmsStandin.js';
import { startWeightsStandin } from './WeightsStandin.js';

type CliOptions = Readonly<Record<string, boolean | number | string | undefined>>;

type Start = (options: CliOptions) => Promise<StandinServer>;

const EXIT_FAILED = 1;
const EXIT_KILLED = 137;
const EXIT_USAGE = 2;

/**
 * Runs a stand-in from the command line until it is told to end.
 *
 * @param argv - the arguments, as in `process.argv`
 */
export function runStandinCli(argv: string[]): void {
  const cli = sade('laburnum-standin')
    .version('0.1.0')
    .option('--listen', 'IP:PORT', '127.0.0.1:0');
  addEngine(cli);
  cli
    .command('platform', "Stand-in of the platform's key-value service")
    .option('--reads', 'Reads a second')
    .option('--writes', 'Writes a second')
    .action(runner(startPlatform));
  cli
    .command('service', 'Stand-in of a plain service')
    .action(runner((options) => startServiceStandin({ kill, listen: listenOf(options) })));
  cli
    .command('vms', "Stand-in of the platform's list of VMs")
    .option('--file', 'YAML or JSON file with the first list')
    .action(runner(startVms));
  cli
    .command('weights', 'Stand-in of the weight store')
    .option('--max-transfers', 'Transfers that may start within one window')
    .option('--transfer-ms', 'Time of one transfer')
    .option('--window-ms', 'Length of the window')
    .action(runner(startWeights));
  cli.parse(argv, {
    boolean: ['ignore-fencing', 'refuse-continuation'],
    string: ['file', 'listen', 'models', 'weights-url'],
    unknown: (flag: string) => `Unknown option: ${flag}`,
  });
}

function addEngine(cli: Sade): void {
  cli
    .command('engine', 'Stand-in of a model engine')
    .option('--models', 'Names of the models, separated by commas', 'default')
    .option('--decode-ms', 'Time of a decoding step with one generation')
    .option('--decode-slowdown', 'Share of the step that each further generation adds')
    .option('--kv-tokens', 'Memory')
    .option('--max-running', 'Generations that run at once')
    .option('--max-queued', 'Generations that wait at most')
    .option('--min-output', 'Fewest tokens of an answer')
    .option('--max-output', 'Most tokens of an answer')
    .option('--prefill-ms', 'Time to compute one token of a prompt')
    .option('--refuse-continuation', 'Refuse to continue from a prefix')
    .option('--ignore-fencing', 'Ignore fencing numbers')
    .option('--weights-url', 'Base URL of the weight store')
    .action(runner(startEngine));
}

function startEngine(options: CliOptions): Promise<StandinServer> {
  const minTokens = numberOf(options, 'min-output') ?? 20;
  const maxTokens = numberOf(options, 'max-output') ?? Math.max(400, minTokens);
  return startEngineStandin({
    canContinueFromPrefix: options['refuse-continuation'] !== true,
    checksFencingNumbers: options['ignore-fencing'] !== true,
    decodeIntervalMs: numberOf(options, 'decode-ms'),
    decodeSlowdown: numberOf(options, 'decode-slowdown'),
    kill,
    kvTokensCapacity: numberOf(options, 'kv-tokens'),
    listen: listenOf(options),
    maxQueued: numberOf(options, 'max-queued'),
    maxRunning: numberOf(options, 'max-running'),
    models: textOf(options, 'models')?.split(','),
    outputRange: { maxTokens, minTokens },
    prefillMsPerToken: numberOf(options, 'prefill-ms'),
    weightStoreUrl: textOf(options, 'weights-url'),
  });
}

function startPlatform(options: CliOptions): Promise<StandinServer> {
  return startPlatformStandin({
    kill,
    listen: listenOf(options),
    readsPerSecond: numberOf(options, 'reads'),
    writesPerSecond: numberOf(options, 'writes'),
  });
}

async function startVms(options: CliOptions): Promise<StandinServer> {
  const file = textOf(options, 'file');
  const initial = file === undefined ? undefined : await vmsOrExit(file);
  return startVmsStandin({ initial, kill, listen: listenOf(options) });
}

function startWeights(options: CliOptions): Promise<StandinServer> {
  return startWeightsStandin({
    kill,
    listen: listenOf(options),
    maxTransfers: numberOf(options, 'max-transfers'),
    transferMs: numberOf(options, 'transfer-ms'),
    windowMs: numberOf(options, 'window-ms'),
  });
}

function runner(start: Start): (options: CliOptions) => Promise<void> {
  return async (options) => {
    const log = createLog();
    try {
      const server = await start(options);
      log.info('listening', { http: server.address });
      process.on('SIGTERM', () => process.exit(0));
      process.on('SIGINT', () => process.exit(0));
    } catch (error) {
      log.error('startFailed', { detail: error instanceof Error ? error.message : String(error) });
      process.exit(EXIT_FAILED);
    }
  };
}

async function vmsOrExit(file: string): Promise<StandinVms> {
  const loaded = await loadSettingsFile(file, vmsSchema);
  if (loaded.ok) {
    return loaded.value;
  }
  for (const problem of loaded.error) {
    process.stderr.write(`${formatDocumentProblem(problem)}\n`);
  }
  process.exit(EXIT_USAGE);
}

function kill(): never {
  process.exit(EXIT_KILLED);
}

function listenOf(options: CliOptions): string {
  return textOf(options, 'listen') ?? '127.0.0.1:0';
}

function numberOf(options: CliOptions, name: string): number | undefined {
  const value = options[name];
  if (value === undefined) {
    return undefined;
  }
  const parsed = Number(value);
  if (typeof value === 'boolean' || Number.isNaN(parsed)) {
    process.stderr.write(`--${name}: expected a number\n`);
    process.exit(EXIT_USAGE);
  }
  return parsed;
}

function textOf(options: CliOptions, name: string): string | undefined {
  const value = options[name];
  return value === undefined ? undefined : String(value);
}
