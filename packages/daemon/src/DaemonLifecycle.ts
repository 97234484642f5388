import type { Log } from '@laburnumgap/telemetry';
import type { DaemonStage } from './DaemonHttpServer.js';

/** Exit code after a graceful shutdown. */
export const EXIT_OK = 0;
/** Exit code after a run-time failure or a shutdown that exceeded its time limit. */
export const EXIT_FAILED = 1;
/** Exit code for invalid settings or arguments. */
export const EXIT_USAGE = 2;

/** A running daemon, as its start function returns it. */
export interface StartedDaemon {
  /** Addresses that the daemon listens on, by log field name. */
  readonly addresses: Readonly<Record<string, string>>;
  /** Hands work over to other daemons, waits for the rest and flushes. Called once. */
  drain(): Promise<void>;
}

/** Options of a {@link DaemonLifecycle}. */
export interface DaemonLifecycleOptions {
  /** Time limit of a graceful shutdown; after it the process exits with {@link EXIT_FAILED}. */
  readonly boundMs: number;
  readonly exit: (code: number) => void;
  /** Called right before the exit of a graceful shutdown. */
  readonly flush: () => void;
  readonly log: Log;
}

/** Controls a daemon from its start to the end of its graceful shutdown. */
export class DaemonLifecycle {
  #readinessConditions: Promise<void>[] = [];
  #stage: DaemonStage = 'starting';
  #startResult: Promise<StartedDaemon> | undefined;

  constructor(private readonly options: DaemonLifecycleOptions) {}

  /** Current stage. */
  get stage(): DaemonStage {
    return this.#stage;
  }

  /** Delays readiness until the promise resolves. */
  delayReadinessUntil(condition: Promise<void>): void {
    this.#readinessConditions.push(condition);
  }

  /** Starts the daemon; exits the process if the start fails. */
  async start(startDaemon: () => Promise<StartedDaemon>): Promise<void> {
    const { exit, log } = this.options;
    this.#startResult = startDaemon();
    let started: StartedDaemon;
    try {
      started = await this.#startResult;
    } catch (error) {
      log.error('startFailed', { detail: describeError(error) });
      exit(EXIT_FAILED);
      return;
    }
    log.info('listening', { ...started.addresses });
    await Promise.all(this.#readinessConditions);
    if (this.#stage === 'starting') {
      this.#stage = 'ready';
      log.info('ready');
    }
  }

  /** Begins the graceful shutdown; further calls have no effect. */
  shutDown(reason: string): void {
    if (this.#stage === 'draining') {
      return;
    }
    const { boundMs, exit, log } = this.options;
    this.#stage = 'draining';
    log.info('draining', { boundMs, reason });
    setTimeout(() => {
      log.error('shutdownBoundMissed', { boundMs });
      exit(EXIT_FAILED);
    }, boundMs).unref();
    void this.#drain();
  }

  async #drain(): Promise<void> {
    const { exit, flush, log } = this.options;
    try {
      const started = await this.#startResult;
      await started?.drain();
    } catch (error) {
      log.error('drainFailed', { detail: describeError(error) });
      exit(EXIT_FAILED);
      return;
    }
    log.info('stopped');
    flush();
    exit(EXIT_OK);
  }
}

function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
