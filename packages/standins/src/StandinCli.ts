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

type StartStandin = (options: CliOptions) => Promise<StandinServer>;

const EXIT_FAILED = 1;
/** The exit code that a shell reports for a process killed by SIGKILL. */
const EXIT_KILLED = 137;
const EXIT_USAGE = 2;

/**
 * Runs a stand-in from the command line until a signal or a fault ends the process.
 *
 * @param argv - the arguments, as in `process.argv`
 */
export function runStandinCli(argv: string[]): void {
  const cli = sade('laburnum-standin')
    .version('0.1.0')
    .option('--listen', 'IP:PORT', '127.0.0.1:0');
  addEngineCommand(cli);
  cli
    .command('platform', "Stand-in of the platform's key-value service")
    .option('--reads', 'Maximum reads per second; unlimited by default')
    .option('--writes', 'Maximum writes per second; unlimited by default')
    .action(createAction(startPlatform));
  cli
    .command('service', 'Stand-in of a plain service')
    .action(
      createAction((options) => startServiceStandin({ kill, listen: listenOption(options) })),
    );
  cli
    .command('vms', "Stand-in of the platform's list of VMs")
    .option('--file', 'YAML or JSON file with the initial list')
    .action(createAction(startVms));
  cli
    .command('weights', 'Stand-in of the weight store')
    .option('--max-transfers', 'Maximum number of transfers that start within one window')
    .option('--transfer-ms', 'Duration of one transfer in milliseconds')
    .option('--window-ms', 'Length of the window')
    .action(createAction(startWeights));
  cli.parse(argv, {
    boolean: ['ignore-fencing', 'refuse-continuation'],
    string: ['file', 'listen', 'models', 'weights-url'],
    unknown: (flag: string) => `Unknown option: ${flag}`,
  });
}

function addEngineCommand(cli: Sade): void {
  cli
    .command('engine', 'Stand-in of a model engine')
    .option('--models', 'Names of the served models, separated by commas', 'default')
    .option(
      '--decode-ms',
      'Duration of a decoding step with one running generation, in milliseconds',
    )
    .option('--decode-slowdown', 'Fraction of the step that each further running generation adds')
    .option('--kv-tokens', 'Size of the KV cache in tokens')
    .option('--max-running', 'Maximum number of running generations')
    .option('--max-queued', 'Maximum number of queued generations')
    .option('--min-output', 'Minimum output length in tokens')
    .option('--max-output', 'Maximum output length in tokens')
    .option('--prefill-ms', 'Prefill time per uncached prompt token, in milliseconds')
    .option('--refuse-continuation', 'Refuse generations that continue from a prefix')
    .option('--ignore-fencing', 'Accept orders with stale fencing numbers')
    .option('--weights-url', 'Base URL of the weight store')
    .action(createAction(startEngine));
}

function startEngine(options: CliOptions): Promise<StandinServer> {
  const minTokens = numberOption(options, 'min-output') ?? 20;
  const maxTokens = numberOption(options, 'max-output') ?? Math.max(400, minTokens);
  return startEngineStandin({
    canContinueFromPrefix: options['refuse-continuation'] !== true,
    checksFencingNumbers: options['ignore-fencing'] !== true,
    decodeIntervalMs: numberOption(options, 'decode-ms'),
    decodeSlowdown: numberOption(options, 'decode-slowdown'),
    kill,
    kvTokensCapacity: numberOption(options, 'kv-tokens'),
    listen: listenOption(options),
    maxQueued: numberOption(options, 'max-queued'),
    maxRunning: numberOption(options, 'max-running'),
    models: textOption(options, 'models')?.split(','),
    outputRange: { maxTokens, minTokens },
    prefillMsPerToken: numberOption(options, 'prefill-ms'),
    weightStoreUrl: textOption(options, 'weights-url'),
  });
}

function startPlatform(options: CliOptions): Promise<StandinServer> {
  return startPlatformStandin({
    kill,
    listen: listenOption(options),
    readsPerSecond: numberOption(options, 'reads'),
    writesPerSecond: numberOption(options, 'writes'),
  });
}

async function startVms(options: CliOptions): Promise<StandinServer> {
  const file = textOption(options, 'file');
  const initial = file === undefined ? undefined : await loadVmsOrExit(file);
  return startVmsStandin({ initial, kill, listen: listenOption(options) });
}

function startWeights(options: CliOptions): Promise<StandinServer> {
  return startWeightsStandin({
    kill,
    listen: listenOption(options),
    maxTransfers: numberOption(options, 'max-transfers'),
    transferMs: numberOption(options, 'transfer-ms'),
    windowMs: numberOption(options, 'window-ms'),
  });
}

/** Creates the action of a command: starts the stand-in and logs its address. */
function createAction(start: StartStandin): (options: CliOptions) => Promise<void> {
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

async function loadVmsOrExit(file: string): Promise<StandinVms> {
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

function listenOption(options: CliOptions): string {
  return textOption(options, 'listen') ?? '127.0.0.1:0';
}

function numberOption(options: CliOptions, name: string): number | undefined {
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

function textOption(options: CliOptions, name: string): string | undefined {
  const value = options[name];
  return value === undefined ? undefined : String(value);
}
