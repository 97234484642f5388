import { hashKey } from '@laburnumgap/contracts';
import type { Result } from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import { parseYamlDocument } from '@laburnumgap/settings';
import type { Sade } from 'sade';
import sade from 'sade';
import type { Command, CtlOptions } from './CtlCommands.js';
import { STORE_COMMANDS } from './CtlCommands.js';
import { EXIT_FAILED, EXIT_OK } from './CtlConstants.js';
import type { CtlEnvironment, CtlOutcome } from './CtlContext.js';
import type { CtlError } from './CtlError.js';
import { exitCodeOf, formatError } from './CtlError.js';
import type { CtlSettings } from './CtlSettings.js';
import { ctlSettingsSchema } from './CtlSettings.js';
import { readFileText, toText } from './CtlUtils.js';

const PROGRAM = 'laburnumctl';
const VERSION = '0.1.0';
const COMMON_OPTIONS = {
  json: 'Print JSON for scripts',
  settings: 'Path of the YAML settings file',
};

/**
 * Runs `laburnumctl`.
 *
 * @param argv - the arguments, as in `process.argv`
 * @param environment - daemons, store, files, clock and output
 * @returns the exit code
 */
export async function runCtl(argv: string[], environment: CtlEnvironment): Promise<number> {
  const reportError = (error: CtlError): number => {
    for (const line of formatError(error)) {
      environment.writeError(`${PROGRAM}: ${line}`);
    }
    return exitCodeOf(error);
  };
  const unknownCommand = findUnknownCommand(argv);
  if (unknownCommand !== undefined) {
    return reportError({ detail: `${unknownCommand}; see ${PROGRAM} --help`, kind: 'usage' });
  }
  const parsed = declareCommands().parse(argv, {
    boolean: ['json'],
    lazy: true,
    string: valueOptionNames(),
  }) as { args: unknown[]; name: string } | undefined;
  if (!parsed) {
    return EXIT_OK;
  }
  const options = (parsed.args.at(-1) ?? {}) as CtlOptions;
  const argument = parsed.args.length > 1 ? parsed.args[0] : undefined;
  const outcome = await runCommand(parsed.name, argument, options, environment);
  if (!outcome.ok) {
    return reportError(outcome.error);
  }
  const { hasFailed, json, lines } = outcome.value;
  for (const line of options.json === true ? [JSON.stringify(json)] : lines) {
    environment.writeLine(line);
  }
  return hasFailed ? EXIT_FAILED : EXIT_OK;
}

async function runCommand(
  name: string,
  argument: unknown,
  options: CtlOptions,
  environment: CtlEnvironment,
): Promise<CtlOutcome> {
  if (name === 'hash-key') {
    return hashApiKey(argument, environment);
  }
  const command = STORE_COMMANDS.find((candidate) => candidate.name === name);
  const argumentError = findArgumentError(command, argument, options);
  if (argumentError !== undefined) {
    return failure({ detail: argumentError, kind: 'usage' });
  }
  const settings = await loadSettings(environment, options.settings);
  if (!settings.ok) {
    return settings;
  }
  if (!command) {
    return success({ json: { valid: true }, lines: ['settings are valid'] });
  }
  const clients = environment.connectClients(settings.value);
  const store = environment.connectStore(settings.value);
  try {
    const context = { clients, environment, settings: settings.value, store };
    return await command.run(context, toText(argument), options);
  } finally {
    clients.close();
    await store.close();
  }
}

function declareCommands(): Sade {
  const cli = sade(PROGRAM)
    .version(VERSION)
    .describe('Manages contracts and planned stops, and shows status and decisions of the daemons')
    .option('--settings', COMMON_OPTIONS.settings)
    .option('--json', COMMON_OPTIONS.json);
  for (const { argument, description, name, options } of STORE_COMMANDS) {
    cli.command(argument === undefined ? name : `${name} [${argument}]`, description);
    for (const [option, meaning] of Object.entries(options ?? {})) {
      cli.option(`--${option}`, meaning);
    }
  }
  cli.command('check-settings', 'Check the settings file and exit');
  cli.command('hash-key [key]', 'Print the hash of a key, read from standard input if not given');
  return cli;
}

function valueOptionNames(): string[] {
  return ['settings', ...STORE_COMMANDS.flatMap(({ options }) => Object.keys(options ?? {}))];
}

function findUnknownCommand(argv: readonly string[]): string | undefined {
  if (argv.some((word) => ['--help', '--version', '-h', '-v'].includes(word))) {
    return undefined;
  }
  const names = [...STORE_COMMANDS.map(({ name }) => name), 'check-settings', 'hash-key'];
  const words = argv.slice(2);
  const line = `${words.join(' ')} `;
  if (names.some((name) => line.startsWith(`${name} `))) {
    return undefined;
  }
  return words.length === 0
    ? 'no command given'
    : `unknown command: ${words.slice(0, 2).join(' ')}`;
}

function findArgumentError(
  command: Command | undefined,
  argument: unknown,
  options: CtlOptions,
): string | undefined {
  const { _: rest = [], ...givenOptions } = options as CtlOptions & { _?: unknown[] };
  const knownOptions = { ...COMMON_OPTIONS, ...command?.options };
  const unknownOption = Object.keys(givenOptions).find((name) => !(name in knownOptions));
  if (unknownOption !== undefined) {
    return `unknown option: --${unknownOption}`;
  }
  if (command?.argument !== undefined && argument === undefined) {
    return `${command.name} needs a ${command.argument}`;
  }
  return rest.length > 0 ? `unexpected argument: ${toText(rest[0])}` : undefined;
}

async function loadSettings(
  environment: CtlEnvironment,
  file: unknown,
): Promise<Result<CtlSettings, CtlError>> {
  if (typeof file !== 'string') {
    return failure({ detail: '--settings FILE is required', kind: 'usage' });
  }
  const text = await readFileText(environment, file);
  if (!text.ok) {
    return text;
  }
  const parsed = parseYamlDocument({ file, schema: ctlSettingsSchema, text: text.value });
  return parsed.ok ? parsed : failure({ kind: 'invalid', problems: parsed.error });
}

async function hashApiKey(argument: unknown, environment: CtlEnvironment): Promise<CtlOutcome> {
  const input = argument === undefined ? await environment.readStdin() : toText(argument);
  const key = input.trim();
  if (key === '') {
    return failure({ detail: 'hash-key needs a key', kind: 'usage' });
  }
  return success({ json: { sha256: hashKey(key) }, lines: [hashKey(key)] });
}
