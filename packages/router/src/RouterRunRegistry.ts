import type { RequestId, TeamId } from '@laburnumgap/kernel';
import type { RouterGenerationRun } from './RouterGenerationRun.js';

/** A run and the hash of the request body that it answers. */
export interface RegisteredRun {
  readonly bodyHash: string;
  readonly run: RouterGenerationRun;
}

/** The active runs of this router, by team and request id. */
export class RouterRunRegistry {
  private readonly activeRuns = new Set<RouterGenerationRun>();
  private readonly idleListeners: (() => void)[] = [];
  private readonly runsByKey = new Map<string, RegisteredRun>();

  find(teamId: TeamId, requestId: RequestId): RegisteredRun | undefined {
    return this.runsByKey.get(runKey(teamId, requestId));
  }

  /**
   * Registers a run until it has ended. If a run of the same request is active, a run that continues
   * it replaces it. Otherwise the new run is refused: two connections arrived before the homes had a
   * record of either, and the first is served.
   */
  async registerAndRun(
    teamId: TeamId,
    requestId: RequestId,
    registered: RegisteredRun,
  ): Promise<void> {
    const key = runKey(teamId, requestId);
    const currentRun = this.runsByKey.get(key)?.run;
    if (currentRun && !currentRun.isStopped()) {
      if (!registered.run.continuesEarlierRun()) {
        registered.run.rejectAsSuperseded();
        return;
      }
      currentRun.handOver().reservation?.release();
    }
    this.runsByKey.set(key, registered);
    this.activeRuns.add(registered.run);
    try {
      await registered.run.run();
    } finally {
      this.activeRuns.delete(registered.run);
      if (this.runsByKey.get(key) === registered) {
        this.runsByKey.delete(key);
      }
      this.notifyIfIdle();
    }
  }

  /** Number of runs that have not ended. */
  activeRunCount(): number {
    return this.activeRuns.size;
  }

  /** Resolves once no run is active. */
  whenIdle(): Promise<void> {
    return new Promise((resolve) => {
      this.idleListeners.push(resolve);
      this.notifyIfIdle();
    });
  }

  /** Disconnects the callers of all runs and leaves the generations to other routers. */
  detachAll(): void {
    for (const run of this.activeRuns) {
      run.detach();
    }
  }

  /** Leaves the generations whose callers have disconnected to other routers. */
  detachAwaitingReconnect(): void {
    for (const run of this.activeRuns) {
      if (run.isAwaitingReconnect()) {
        run.detach();
      }
    }
  }

  private notifyIfIdle(): void {
    if (this.activeRuns.size > 0) {
      return;
    }
    for (const resolve of this.idleListeners.splice(0)) {
      resolve();
    }
  }
}

function runKey(teamId: TeamId, requestId: RequestId): string {
  return `${teamId}/${requestId}`;
}
