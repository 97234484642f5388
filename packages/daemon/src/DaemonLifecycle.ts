import type { Log } from '@laburnumgap/telemetry';
import type { DaemonStage } from './DaemonHealth.js';

/** Exit code after a graceful shutdown. */
export const EXIT_OK = 0;
/** Exit code after a failure at run time, or a shutdown that missed its bound. */
export const EXIT_FAILED = 1;
/** Exit code for settings or arguments that are wrong. */
export const EXIT_USAGE = 2;

/** A started daemon. */
export interface StartedDaemon {
  /** Addresses for the log, by name. */
  readonly addresses: Readonly<Record<string, string>>;
  /** Hands over, lets running work end and flushes. Called once. */
  drain(): Promise<void>;
}

/** Options of a {@link DaemonLifecycle}. */
export interface DaemonLifecycleOptions {
  /** Longest time of a graceful shutdown. */
  readonly boundMs: number;
  readonly exit: (code: number) => void;
  /** Called before an exit that was graceful. */
  readonly flush: () => void;
  readonly log: Log;
}

/** Takes a daemon from its start to the end of its graceful shutdown. */
export class DaemonLifecycle {
  #conditions: Promise<void>[] = [];
  #stage: DaemonStage = 'starting';
  #started: Promise<StartedDaemon> | undefined;

  constructor(private readonly options: DaemonLifecycleOptions) {}

  /** Current stage. */
  get stage(): DaemonStage {
    return this.#stage;
  }

  /** Holds back readiness until the condition is met. */
  readyAfter(condition: Promise<void>): void {
    this.#conditions.push(condition);
  }

  /** Starts the daemon; a start that fails ends the process. */
  async start(startDaemon: () => Promise<StartedDaemon>): Promise<void> {
    const { exit, log } = this.options;
    this.#started = startDaemon();
    let started: StartedDaemon;
    try {
      started = await this.#started;
    } catch (error) {
      log.error('startFailed', { detail: messageOf(error) });
      exit(EXIT_FAILED);
      return;
    }
    log.info('listening', { ...started.addresses });
    await Promise.all(this.#conditions);
    if (this.#stage === 'starting') {
      this.#stage = 'ready';
      log.info('ready');
    }
  }

  /** Begins the graceful shutdown; does nothing when it has begun. */
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
      const started = await this.#started;
      await started?.drain();
    } catch (error) {
      log.error('drainFailed', { detail: messageOf(error) });
      exit(EXIT_FAILED);
      return;
    }
    log.info('stopped');
    flush();
    exit(EXIT_OK);
  }
}

function messageOf(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
