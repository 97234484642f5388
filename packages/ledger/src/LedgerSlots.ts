import type { SettleOutcome, SlotOperation, SlotReply } from '@laburnumgap/claims';
import { claimSlotOf, parseClaimKey } from '@laburnumgap/claims';
import type { DecisionSink, IdempotencyKey, SlotNumber, TeamId } from '@laburnumgap/kernel';
import type { Metrics } from '@laburnumgap/telemetry';
import type { LedgerSlotActor, LedgerSlotActorOptions } from './LedgerSlotActor.js';
import { startLedgerSlotActor } from './LedgerSlotActor.js';

/** A claim as a router asks for it. */
export interface LedgerClaim {
  readonly callDeadlineMs: number;
  readonly callHash: string;
  readonly claimId: string;
  readonly idempotencyKey: string;
  readonly teamId: TeamId;
}

/** The end of a claimed call as a router reports it. */
export interface LedgerSettlement {
  readonly claimId: string;
  readonly idempotencyKey: string;
  readonly outcome: SettleOutcome;
  readonly teamId: TeamId;
}

/** All journal slots of a ledger; a slot's actor starts with its first operation. */
export interface LedgerSlots {
  claim(claim: LedgerClaim): Promise<SlotReply>;
  /** Resolves when no operation waits. */
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

const MALFORMED_KEY: SlotReply = {
  detail: 'the key is not a UUIDv7',
  kind: 'unavailable',
  mayBeRecorded: false,
  retryAfterMs: 0,
};

/**
 * Starts the slots of a ledger. Any ledger serves any slot: which one is asked only matters for
 * efficiency, since the guard of each commit admits one writer.
 *
 * @param options - the store, clocks, settings and sinks
 * @returns the slots
 */
export function startLedgerSlots(options: LedgerSlotsOptions): LedgerSlots {
  const { decisions, metrics, settings } = options;
  const actors = new Map<SlotNumber, LedgerSlotActor>();
  const idleListeners: (() => void)[] = [];
  let nextOperationId = 0;
  let waiting = 0;

  const actorOf = (slot: SlotNumber): LedgerSlotActor => {
    const known = actors.get(slot);
    if (known) {
      return known;
    }
    const created = startLedgerSlotActor({ ...options, slot });
    actors.set(slot, created);
    return created;
  };
  const submit = (operation: SlotOperation): Promise<SlotReply> => {
    const slot = claimSlotOf(operation.teamId, operation.idempotencyKey, settings.slots);
    waiting += 1;
    return new Promise((resolve) => {
      actorOf(slot).submit(operation, (reply) => {
        waiting -= 1;
        recordReply(decisions, metrics, { operation, reply, slot });
        resolve(reply);
        if (waiting === 0) {
          idleListeners.splice(0).forEach((listener) => {
            listener();
          });
        }
      });
    });
  };
  const withKey = (
    text: string,
    build: (idempotencyKey: IdempotencyKey, operationId: number) => SlotOperation,
  ): Promise<SlotReply> => {
    const key = parseClaimKey(text);
    if (!key.ok) {
      return Promise.resolve(MALFORMED_KEY);
    }
    nextOperationId += 1;
    return submit(build(key.value.idempotencyKey, nextOperationId));
  };
  return {
    claim: (claim) =>
      withKey(claim.idempotencyKey, (idempotencyKey, operationId) => {
        return { ...claim, idempotencyKey, kind: 'claim', operationId };
      }),
    drained: () =>
      new Promise((resolve) => {
        if (waiting === 0) {
          resolve();
          return;
        }
        idleListeners.push(resolve);
      }),
    queuedOperations: () => waiting,
    settle: (settlement) =>
      withKey(settlement.idempotencyKey, (idempotencyKey, operationId) => {
        return { ...settlement, idempotencyKey, kind: 'settle', operationId };
      }),
    stop: () => {
      for (const actor of actors.values()) {
        actor.stop();
      }
    },
  };
}

function recordReply(
  decisions: DecisionSink,
  metrics: Metrics,
  fact: {
    readonly operation: SlotOperation;
    readonly reply: SlotReply;
    readonly slot: SlotNumber;
  },
): void {
  const { operation, reply, slot } = fact;
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
