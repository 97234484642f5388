import type { ClaimSlotAction, ClaimTime } from '@laburnumgap/claims';
import {
  CLAIM_LAYOUT_KEY,
  ClaimSlot,
  DEFAULT_CLAIM_SETTINGS,
  claimSlotPrefix,
} from '@laburnumgap/claims';
import type { PlatformStore, SlotNumber, StoreCommit } from '@laburnumgap/kernel';
import { failure, toId, toNumberId } from '@laburnumgap/kernel';
import { createMemoryStore } from '@laburnumgap/key-value';
import { v7 } from 'uuid';

/** Cost of one claim and its settlement at a claim rate. */
export interface ClaimCost {
  readonly bytesWritten: number;
  readonly claimsPerSecond: number;
  readonly cpuUs: number;
  readonly writesPerSecond: number;
}

const RATES = [1, 10, 100] as const;
const SIMULATED_SECONDS = 60;
const MS_PER_SECOND = 1_000;
const STEP_MS = 10;
const ANSWER_AFTER_MS = 200;
const SLOT = toNumberId<SlotNumber>(0);

/**
 * Simulates one claim slot at several claim rates, with simulated time and an in-memory store.
 *
 * @returns the cost at each rate
 */
export async function measureClaims(): Promise<readonly ClaimCost[]> {
  const costs: ClaimCost[] = [];
  for (const claimsPerSecond of RATES) {
    costs.push(await measureAtRate(claimsPerSecond));
  }
  return costs;
}

async function measureAtRate(claimsPerSecond: number): Promise<ClaimCost> {
  const run = new SlotSimulation();
  const startedEpochMs = Date.now();
  const claims = claimsPerSecond * SIMULATED_SECONDS;
  const settlements = new Map<number, (() => Promise<void>)[]>();
  let started = 0;
  const before = process.cpuUsage();
  for (let atMs = 0; atMs < SIMULATED_SECONDS * MS_PER_SECOND; atMs += STEP_MS) {
    const now = { epochMs: startedEpochMs + atMs, monotonicMs: atMs };
    const due = Math.min(claims, Math.floor(((atMs + STEP_MS) * claimsPerSecond) / MS_PER_SECOND));
    for (; started < due; started += 1) {
      const settle = await run.claim(started, now);
      const settleAtMs = atMs + ANSWER_AFTER_MS;
      settlements.set(settleAtMs, [...(settlements.get(settleAtMs) ?? []), settle]);
    }
    for (const settle of settlements.get(atMs) ?? []) {
      await settle();
    }
    await run.wake(now);
  }
  const { system, user } = process.cpuUsage(before);
  return {
    bytesWritten: run.bytesWritten / claims,
    claimsPerSecond,
    cpuUs: (system + user) / claims,
    writesPerSecond: run.writes / SIMULATED_SECONDS,
  };
}

/** A claim slot with a store that completes every call immediately. */
class SlotSimulation {
  bytesWritten = 0;
  writes = 0;
  readonly #slot = new ClaimSlot({
    random: { nextUnit: () => 0.5 },
    settings: { ...DEFAULT_CLAIM_SETTINGS, maxQueuedOperations: 10_000 },
    slot: SLOT,
    writer: 'ledger-1/incarnation-1',
  });
  readonly #store: PlatformStore = createMemoryStore();
  #now: ClaimTime = { epochMs: 0, monotonicMs: 0 };

  async claim(operationId: number, now: ClaimTime): Promise<() => Promise<void>> {
    this.#now = now;
    const idempotencyKey = toId<never>(v7({ msecs: now.epochMs }));
    const claimId = v7();
    const teamId = toId<never>('transfers');
    await this.#perform(
      this.#slot.submit(
        {
          callDeadlineMs: 15_000,
          callHash: 'c'.repeat(64),
          claimId,
          idempotencyKey,
          kind: 'claim',
          operationId: operationId * 2,
          teamId,
        },
        now,
      ),
    );
    const body = Buffer.from('{"transfer":"accepted","crates":12}').toString('base64');
    return async () => {
      await this.#perform(
        this.#slot.submit(
          {
            claimId,
            idempotencyKey,
            kind: 'settle',
            operationId: operationId * 2 + 1,
            outcome: {
              answer: { body, contentType: 'application/json', status: 200 },
              kind: 'answered',
            },
            teamId,
          },
          this.#now,
        ),
      );
    };
  }

  async wake(now: ClaimTime): Promise<void> {
    this.#now = now;
    if ((this.#slot.wakeAtMs ?? Number.POSITIVE_INFINITY) <= now.monotonicMs) {
      await this.#perform(this.#slot.wake(now));
    }
  }

  async #perform(actions: readonly ClaimSlotAction[]): Promise<void> {
    for (const action of actions) {
      if (action.kind === 'load') {
        await this.#perform(await this.#load());
      }
      if (action.kind === 'commit') {
        await this.#perform(await this.#commit(action.commit));
      }
    }
  }

  async #load(): Promise<readonly ClaimSlotAction[]> {
    const layout = await this.#store.read(CLAIM_LAYOUT_KEY);
    const slot = await this.#store.range(claimSlotPrefix(SLOT));
    if (!layout.ok || !slot.ok) {
      return this.#slot.onLoaded(failure({ detail: 'read', kind: 'unavailable' }), this.#now);
    }
    const value = { layout: layout.value, slot: slot.value };
    return this.#slot.onLoaded({ ok: true, value }, this.#now);
  }

  async #commit(commit: StoreCommit): Promise<readonly ClaimSlotAction[]> {
    this.writes += 1;
    for (const write of commit.writes) {
      this.bytesWritten += write.key.length + (write.kind === 'put' ? write.value.length : 0);
    }
    return this.#slot.onCommitted(await this.#store.commit(commit), this.#now);
  }
}
