import type { ClaimSettings } from '@laburnumgap/claims';
import { DEFAULT_CLAIM_SETTINGS } from '@laburnumgap/claims';
import { createActorSystem } from '@laburnumgap/daemon';
import type { PlatformStore, Result, StoreError } from '@laburnumgap/kernel';
import { NO_DECISION_SINK, failure } from '@laburnumgap/kernel';
import type { LedgerSlots } from '@laburnumgap/ledger';
import { startLedgerSlots } from '@laburnumgap/ledger';
import { createMemoryStore } from '@laburnumgap/key-value';
import { NO_LOG, NO_METRICS } from '@laburnumgap/telemetry';
import type { StoreFault } from './PlainCallsFaults.js';
import type { PlainCallsSimulation } from './PlainCallsSimulation.js';

const SETTINGS: ClaimSettings = {
  ...DEFAULT_CLAIM_SETTINGS,
  backoffMaxMs: 1,
  backoffMinMs: 1,
  commitBurst: 1_000,
  commitIntervalMs: 1,
};

/** A ledger process. Once dead it replies to nothing, while what it has written stays stored. */
export class SimulatedLedger {
  readonly slots: LedgerSlots;
  commitFaults: StoreFault[] = [];
  dieAtCommit = false;
  private readonly actors = createActorSystem(NO_LOG);
  private readonly deathListeners: (() => void)[] = [];
  private isDead = false;

  constructor(simulation: PlainCallsSimulation, index: number) {
    this.slots = startLedgerSlots({
      actors: this.actors,
      clock: { nowMs: () => simulation.ledgerMs },
      decisions: NO_DECISION_SINK,
      log: NO_LOG,
      metrics: NO_METRICS,
      random: { nextUnit: () => 0.5 },
      settings: SETTINGS,
      store: this.createFaultyStore(createMemoryStore({ state: simulation.state })),
      wallClock: { nowEpochMs: () => simulation.epochMs },
      writer: `ledger-${index}`,
    });
  }

  /** Performs a call; resolves to undefined if the ledger is dead or dies before the reply. */
  async callUnlessDead<T>(work: () => Promise<T>): Promise<T | undefined> {
    if (this.isDead) {
      return undefined;
    }
    const death = new Promise<undefined>((resolve) => {
      this.deathListeners.push(() => {
        resolve(undefined);
      });
    });
    return Promise.race([work(), death]);
  }

  die(): void {
    this.isDead = true;
    this.deathListeners.splice(0).forEach((listener) => {
      listener();
    });
  }

  stop(): void {
    this.slots.stop();
    this.actors.stop();
  }

  private createFaultyStore(store: PlatformStore): PlatformStore {
    return {
      ...store,
      commit: async (commit) => {
        const fault = this.commitFaults.shift() ?? 'none';
        const applies = fault === 'applied, no answer' || fault === 'none';
        const result = applies ? await store.commit(commit) : undefined;
        if (this.dieAtCommit) {
          this.die();
        }
        const noAnswer: Result<never, StoreError> = failure({
          detail: 'test',
          kind: fault === 'unavailable' ? 'unavailable' : 'outcomeUnknown',
        });
        return fault === 'none' && result ? result : noAnswer;
      },
    };
  }
}
