import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { createInterface } from 'node:readline';
import logfmt from 'logfmt';

/** Fields of a logfmt line. */
export type LogLine = Readonly<Record<string, string>>;

/** How a process ended. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** Options of {@link startProcess}. */
export interface ProcessOptions {
  readonly args: readonly string[];
  /** Name of the process in error messages. */
  readonly name: string;
  /** Path of the compiled program. */
  readonly script: string;
}

/** A process of the deployment. */
export interface DeploymentProcess {
  /** Fields of its `listening` log line, which hold its addresses. */
  readonly addresses: LogLine;
  /** Returns the last 4,000 characters of its standard error. */
  errorText(): string;
  readonly exited: Promise<ProcessExit>;
  /** Sends a signal. */
  kill(signal: NodeJS.Signals): void;
  /** Returns the buffered log lines, oldest first. */
  logLines(): readonly LogLine[];
  readonly name: string;
  readonly pid: number;
  /** Resolves with the first matching line, buffered or future. */
  waitForLogLine(matches: (line: LogLine) => boolean): Promise<LogLine>;
}

const MAX_BUFFERED_LINES = 20_000;
const START_TIMEOUT_MS = 30_000;

/**
 * Starts a Node program and waits until it listens.
 *
 * @param options - name, script and arguments
 * @returns the running process
 * @throws when it exits, or does not listen in time
 */
export async function startProcess(options: ProcessOptions): Promise<DeploymentProcess> {
  const child = spawn(process.execPath, [options.script, ...options.args], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const bufferedLines: LogLine[] = [];
  const listeners = new Set<(line: LogLine) => void>();
  let errorText = '';

  child.stderr.on('data', (chunk: Buffer) => {
    errorText = (errorText + chunk.toString()).slice(-4000);
  });
  createInterface({ input: child.stdout }).on('line', (text) => {
    const line = logfmt.parse(text) as LogLine;
    bufferedLines.push(line);
    if (bufferedLines.length > MAX_BUFFERED_LINES) {
      bufferedLines.shift();
    }
    for (const notify of [...listeners]) {
      notify(line);
    }
  });

  const exited = exitOf(child);
  const waitForLine = (matches: (line: LogLine) => boolean): Promise<LogLine> => {
    const past = bufferedLines.find(matches);
    if (past) {
      return Promise.resolve(past);
    }
    return new Promise((resolve) => {
      const notify = (line: LogLine): void => {
        if (matches(line)) {
          listeners.delete(notify);
          resolve(line);
        }
      };
      listeners.add(notify);
    });
  };

  const addresses = await Promise.race([
    waitForLine((line) => line.event === 'listening'),
    exited.then((exit) => {
      throw new Error(`${options.name} ended with ${JSON.stringify(exit)}: ${errorText}`);
    }),
    startTimeout(options.name, () => errorText),
  ]);
  return {
    addresses,
    errorText: () => errorText,
    exited,
    kill: (signal) => {
      child.kill(signal);
    },
    logLines: () => bufferedLines,
    name: options.name,
    pid: child.pid ?? 0,
    waitForLogLine: waitForLine,
  };
}

function exitOf(child: ChildProcess): Promise<ProcessExit> {
  return new Promise((resolve) => {
    // `close` is emitted after all output was read; `exit` can be emitted before that.
    child.once('close', (code, signal) => {
      resolve({ code, signal });
    });
  });
}

function startTimeout(name: string, errorText: () => string): Promise<never> {
  return new Promise((_resolve, reject) => {
    const timer = setTimeout(() => {
      reject(new Error(`${name} does not listen after ${START_TIMEOUT_MS} ms: ${errorText()}`));
    }, START_TIMEOUT_MS);
    timer.unref();
  });
}
