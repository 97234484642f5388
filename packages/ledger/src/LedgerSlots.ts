import type { SettleOutcome, SlotOperation, SlotReply } from '@laburnumgap/claims';
import { claimSlotOf, parseClaimKey } from '@laburnumgap/claims';
import type { DecisionSink, IdempotencyKey, SlotNumber, TeamId } from '@laburnumgap/kernel';
import type { Metrics } from '@laburnumgap/telemetry';
import type { LedgerSlotActor, LedgerSlotActorOptions } from './LedgerSlotActor.js';
import { startLedgerSlotActor } from './LedgerSlotActor.js';

/** A claim as requested by a router. */
export interface LedgerClaim {
  readonly callDeadlineMs: number;
  readonly callHash: string;
  readonly claimId: string;
  readonly idempotencyKey: string;
  readonly teamId: TeamId;
}

/** The outcome of a claimed call as reported by a router. */
export interface LedgerSettlement {
  readonly claimId: string;
  readonly idempotencyKey: string;
  readonly outcome: SettleOutcome;
  readonly teamId: TeamId;
}

/** All journal slots of a ledger. The actor of a slot is started by its first operation. */
export interface LedgerSlots {
  claim(claim: LedgerClaim): Promise<SlotReply>;
  /** Resolves when no operation waits for a reply. */
  drained(): Promise<void>;
  queuedOperations(): number;
  settle(settlement: LedgerSettlement): Promise<SlotReply>;
  stop(): void;
}

/** Options of {@link startLedgerSlots}. */
export interface LedgerSlotsOptions extends Omit<LedgerSlotActorOptions, 'slot'> {
  readonly decisions: DecisionSink;
  readonly metrics: Metrics;
}

const MALFORMED_KEY_REPLY: SlotReply = {
  detail: 'the key is not a UUIDv7',
  kind: 'unavailable',
  mayBeRecorded: false,
  retryAfterMs: 0,
};

/**
 * Starts the slots of a ledger. Any ledger can serve any slot: the guard of each commit prevents
 * conflicting writes, so sending all operations of a slot to one ledger only avoids retries.
 *
 * @param options - the store, clocks, settings, log, metrics and decisions
 * @returns the slots
 */
export function startLedgerSlots(options: LedgerSlotsOptions): LedgerSlots {
  const { decisions, metrics, settings } = options;
  const actors = new Map<SlotNumber, LedgerSlotActor>();
  const drainListeners: (() => void)[] = [];
  let lastOperationId = 0;
  let pendingOperations = 0;

  const getOrStartActor = (slot: SlotNumber): LedgerSlotActor => {
    const existing = actors.get(slot);
    if (existing) {
      return existing;
    }
    const created = startLedgerSlotActor({ ...options, slot });
    actors.set(slot, created);
    return created;
  };
  const submit = (operation: SlotOperation): Promise<SlotReply> => {
    const slot = claimSlotOf(operation.teamId, operation.idempotencyKey, settings.slots);
    pendingOperations += 1;
    return new Promise((resolve) => {
      getOrStartActor(slot).submit(operation, (reply) => {
        pendingOperations -= 1;
        recordReply(decisions, metrics, { operation, reply, slot });
        resolve(reply);
        if (pendingOperations === 0) {
          drainListeners.splice(0).forEach((listener) => {
            listener();
          });
        }
      });
    });
  };
  const submitWithKey = (
    text: string,
    build: (idempotencyKey: IdempotencyKey, operationId: number) => SlotOperation,
  ): Promise<SlotReply> => {
    const key = parseClaimKey(text);
    if (!key.ok) {
      return Promise.resolve(MALFORMED_KEY_REPLY);
    }
    lastOperationId += 1;
    return submit(build(key.value.idempotencyKey, lastOperationId));
  };
  return {
    claim: (claim) =>
      submitWithKey(claim.idempotencyKey, (idempotencyKey, operationId) => {
        return { ...claim, idempotencyKey, kind: 'claim', operationId };
      }),
    drained: () =>
      new Promise((resolve) => {
        if (pendingOperations === 0) {
          resolve();
          return;
        }
        drainListeners.push(resolve);
      }),
    queuedOperations: () => pendingOperations,
    settle: (settlement) =>
      submitWithKey(settlement.idempotencyKey, (idempotencyKey, operationId) => {
        return { ...settlement, idempotencyKey, kind: 'settle', operationId };
      }),
    stop: () => {
      for (const actor of actors.values()) {
        actor.stop();
      }
    },
  };
}

/** Counts a reply and records it among the decisions that operators can look up. */
function recordReply(
  decisions: DecisionSink,
  metrics: Metrics,
  answered: {
    readonly operation: SlotOperation;
    readonly reply: SlotReply;
    readonly slot: SlotNumber;
  },
): void {
  const { operation, reply, slot } = answered;
  metrics.increment('claims', 1, { operation: operation.kind, reply: reply.kind });
  decisions.record({
    decision: 'claim',
    fields: {
      claimId: operation.claimId,
      detail: reply.kind === 'unavailable' ? reply.detail : undefined,
      idempotencyKey: operation.idempotencyKey,
      operation: operation.kind,
      outcome: operation.kind === 'settle' ? operation.outcome.kind : undefined,
      recorded: reply.kind === 'settled' ? reply.recorded : undefined,
      reply: reply.kind,
      slot,
      team: operation.teamId,
    },
    requestId: operation.claimId,
  });
}
