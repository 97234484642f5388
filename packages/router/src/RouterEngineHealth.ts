import { GapEstimator } from '@laburnumgap/generation';
import type { EngineId, MonotonicClock } from '@laburnumgap/kernel';
import { ENGINE_SUSPICION_MS } from './RouterConstants.js';

/** Estimators of the gaps before and between the tokens of one engine. */
export interface EngineGapEstimators {
  readonly betweenTokens: GapEstimator;
  readonly firstToken: GapEstimator;
}

/** What this router has observed of engines: token gaps, and which engines did not answer. */
export class RouterEngineHealth {
  private readonly gapEstimators = new Map<EngineId, EngineGapEstimators>();
  private readonly suspectedUntilMs = new Map<EngineId, number>();

  constructor(private readonly clock: MonotonicClock) {}

  gapEstimatorsOf(engineId: EngineId): EngineGapEstimators {
    const existing = this.gapEstimators.get(engineId);
    if (existing) {
      return existing;
    }
    const created = { betweenTokens: new GapEstimator(), firstToken: new GapEstimator() };
    this.gapEstimators.set(engineId, created);
    return created;
  }

  isSuspected(engineId: EngineId): boolean {
    return this.clock.nowMs() < (this.suspectedUntilMs.get(engineId) ?? 0);
  }

  /** Drops the state of all engines but these. */
  retain(engineIds: ReadonlySet<EngineId>): void {
    for (const engineId of this.gapEstimators.keys()) {
      if (!engineIds.has(engineId)) {
        this.gapEstimators.delete(engineId);
        this.suspectedUntilMs.delete(engineId);
      }
    }
  }

  suspect(engineId: EngineId): void {
    this.suspectedUntilMs.set(engineId, this.clock.nowMs() + ENGINE_SUSPICION_MS);
  }
}
