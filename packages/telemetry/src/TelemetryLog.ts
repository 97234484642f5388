import './TelemetryRoarrEnvironment.js';
import logfmt from 'logfmt';
import { ROARR, Roarr } from 'roarr';

/** Value of a log field. */
export type LogValue = boolean | number | string | undefined;

/** Fields of a log line; keys carry their unit. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Log level. */
export type LogLevel = 'debug' | 'error' | 'info' | 'warn';

/** Writes one line of key=value pairs for each event. */
export interface Log {
  /** A log that adds the fields to every line. */
  child(fields: LogFields): Log;
  debug(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
}

/** Options of a log. */
export interface LogOptions {
  /** Fields of every line. */
  readonly fields?: LogFields;
  /** Lines below the level are dropped. */
  readonly level?: LogLevel;
  /** Takes a finished line without its line end. */
  readonly write?: (line: string) => void;
}

const LEVEL_RANK: Readonly<Record<LogLevel, number>> = { debug: 20, error: 50, info: 30, warn: 40 };

const NAME_OF_RANK: Readonly<Record<number, LogLevel>> = {
  20: 'debug',
  30: 'info',
  40: 'warn',
  50: 'error',
};

interface RoarrMessage {
  readonly context: Record<string, unknown>;
  readonly message: string;
  readonly time: number;
}

/**
 * Formats a serialized Roarr message as one line of key=value pairs.
 *
 * @param serialized - the message as Roarr hands it to its writer
 * @returns the line, without its line end
 */
export function formatLogLine(serialized: string): string {
  const { context, message, time } = JSON.parse(serialized) as RoarrMessage;
  const { logLevel, ...fields } = context;
  return logfmt.stringify({
    time: new Date(time).toISOString(),
    level: NAME_OF_RANK[Number(logLevel)] ?? 'info',
    event: message,
    ...fields,
  });
}

/**
 * Creates a log. The writer of the process is shared: the last log created sets it.
 *
 * @param options - level, fields of every line and the writer
 * @returns the log
 */
export function createLog(options: LogOptions = {}): Log {
  const write = options.write ?? ((line: string) => process.stdout.write(`${line}\n`));
  ROARR.write = (serialized: string) => {
    write(formatLogLine(serialized));
  };
  return logOver(LEVEL_RANK[options.level ?? 'info'], definedFields(options.fields ?? {}));
}

function logOver(minimumRank: number, base: LogFields): Log {
  const at =
    (level: LogLevel) =>
    (event: string, fields: LogFields = {}): void => {
      if (LEVEL_RANK[level] < minimumRank) {
        return;
      }
      Roarr[level]({ ...base, ...definedFields(fields) } as Record<string, boolean>, event);
    };
  return {
    child: (fields) => logOver(minimumRank, { ...base, ...definedFields(fields) }),
    debug: at('debug'),
    error: at('error'),
    info: at('info'),
    warn: at('warn'),
  };
}

function definedFields(fields: LogFields): LogFields {
  return Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined));
}

/** A log that writes nothing. */
export const NO_LOG: Log = {
  child: () => NO_LOG,
  debug: () => undefined,
  error: () => undefined,
  info: () => undefined,
  warn: () => undefined,
};
