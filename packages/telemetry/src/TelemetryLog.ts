import './TelemetryRoarrEnvironment.js';
import logfmt from 'logfmt';
import { ROARR, Roarr } from 'roarr';

/** Value of a log field. */
export type LogValue = boolean | number | string | undefined;

/** Fields of a log line; keys end in their unit. */
export type LogFields = Readonly<Record<string, LogValue>>;

/** Log level. */
export type LogLevel = 'debug' | 'error' | 'info' | 'warn';

/** Writes one line of key=value pairs per event. */
export interface Log {
  /** Returns a log that adds the fields to every line. */
  child(fields: LogFields): Log;
  debug(event: string, fields?: LogFields): void;
  error(event: string, fields?: LogFields): void;
  info(event: string, fields?: LogFields): void;
  warn(event: string, fields?: LogFields): void;
}

/** Options of {@link createLog}. */
export interface LogOptions {
  /** Fields of every line. */
  readonly fields?: LogFields;
  /** Minimum level; lines below it are not written. */
  readonly level?: LogLevel;
  /** Writes one formatted line, given without a newline; the default writes to stdout. */
  readonly write?: (line: string) => void;
}

const LEVEL_RANK: Readonly<Record<LogLevel, number>> = { debug: 20, error: 50, info: 30, warn: 40 };

const LEVEL_BY_RANK: Readonly<Record<number, LogLevel>> = {
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
 * @param serialized - the message as Roarr passes it to its writer
 * @returns the line, without a newline
 */
export function formatLogLine(serialized: string): string {
  const { context, message, time } = JSON.parse(serialized) as RoarrMessage;
  const { logLevel, ...fields } = context;
  return logfmt.stringify({
    time: new Date(time).toISOString(),
    level: LEVEL_BY_RANK[Number(logLevel)] ?? 'info',
    event: message,
    ...fields,
  });
}

/**
 * Creates a log. All logs of the process share one writer, which the last call of this function sets.
 *
 * @param options - minimum level, fields of every line, and the writer
 * @returns the log
 */
export function createLog(options: LogOptions = {}): Log {
  const write = options.write ?? ((line: string) => process.stdout.write(`${line}\n`));
  ROARR.write = (serialized: string) => {
    write(formatLogLine(serialized));
  };
  return createLogWithFields(
    LEVEL_RANK[options.level ?? 'info'],
    omitUndefined(options.fields ?? {}),
  );
}

function createLogWithFields(minimumRank: number, baseFields: LogFields): Log {
  const writerFor =
    (level: LogLevel) =>
    (event: string, fields: LogFields = {}): void => {
      if (LEVEL_RANK[level] < minimumRank) {
        return;
      }
      Roarr[level]({ ...baseFields, ...omitUndefined(fields) } as Record<string, boolean>, event);
    };
  return {
    child: (fields) =>
      createLogWithFields(minimumRank, { ...baseFields, ...omitUndefined(fields) }),
    debug: writerFor('debug'),
    error: writerFor('error'),
    info: writerFor('info'),
    warn: writerFor('warn'),
  };
}

function omitUndefined(fields: LogFields): LogFields {
  return Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== undefined));
}

/** Discards every line. */
export const NO_LOG: Log = {
  child: () => NO_LOG,
  debug: () => undefined,
  error: () => undefined,
  info: () => undefined,
  warn: () => undefined,
};
