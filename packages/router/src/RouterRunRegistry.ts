import type { RequestId, TeamId } from '@laburnumgap/kernel';
import type { RouterGenerationRun } from './RouterGenerationRun.js';

/** A run and the body that it answers. */
export interface RegisteredRun {
  readonly bodyHash: string;
  readonly run: RouterGenerationRun;
}

/** The runs of this router by team and request id. */
export class RouterRunRegistry {
  private readonly idle: (() => void)[] = [];
  private readonly running = new Set<RouterGenerationRun>();
  private readonly runs = new Map<string, RegisteredRun>();

  find(teamId: TeamId, requestId: RequestId): RegisteredRun | undefined {
    return this.runs.get(keyOf(teamId, requestId));
  }

  /**
   * Keeps a run until it has ended. Of two connections that ask at once, before either is on record,
   * the first is served; one that goes on with an earlier run replaces what serves it.
   */
  async follow(teamId: TeamId, requestId: RequestId, registered: RegisteredRun): Promise<void> {
    const key = keyOf(teamId, requestId);
    const rival = this.runs.get(key)?.run;
    if (rival && !rival.isStopped()) {
      if (!registered.run.continuesEarlier()) {
        registered.run.giveWay();
        return;
      }
      rival.handOver().reservation?.release();
    }
    this.runs.set(key, registered);
    this.running.add(registered.run);
    try {
      await registered.run.run();
    } finally {
      this.running.delete(registered.run);
      if (this.runs.get(key) === registered) {
        this.runs.delete(key);
      }
      this.noteIdle();
    }
  }

  /** Runs that have not ended. */
  size(): number {
    return this.running.size;
  }

  /** Resolves once no run is left. */
  whenIdle(): Promise<void> {
    return new Promise((resolve) => {
      this.idle.push(resolve);
      this.noteIdle();
    });
  }

  /** Leaves every run to other routers. */
  leaveAll(): void {
    for (const run of this.running) {
      run.leaveToOthers();
    }
  }

  /** Leaves the runs whose callers are away to other routers. */
  leaveParked(): void {
    for (const run of this.running) {
      if (run.isParked()) {
        run.leaveToOthers();
      }
    }
  }

  private noteIdle(): void {
    if (this.running.size > 0) {
      return;
    }
    for (const resolve of this.idle.splice(0)) {
      resolve();
    }
  }
}

function keyOf(teamId: TeamId, requestId: RequestId): string {
  return `${teamId}/${requestId}`;
}
