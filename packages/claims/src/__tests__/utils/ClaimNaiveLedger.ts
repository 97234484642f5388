import type { SlotOperation, SlotReply } from '../../index.js';
import { claimRecordName } from '../../index.js';
import type { WorldLedger } from './ClaimTestWorld.js';

/** The naive version: a table in the memory of each ledger. */
export class ClaimNaiveLedger implements WorldLedger {
  readonly late: (() => void)[] = [];
  readonly replies = new Map<number, SlotReply>();
  private readonly taken = new Map<string, string>();

  settleStore(): void {
    // There is no store.
  }

  step(): void {
    // There is no store.
  }

  submit(operation: SlotOperation): SlotReply | undefined {
    const name = claimRecordName(operation.teamId, operation.idempotencyKey);
    if (operation.kind === 'settle') {
      return undefined;
    }
    const holder = this.taken.get(name) ?? operation.claimId;
    this.taken.set(name, holder);
    const reply: SlotReply =
      holder === operation.claimId ? { kind: 'granted' } : { kind: 'running', retryAfterMs: 100 };
    this.replies.set(operation.operationId, reply);
    return reply;
  }

  wake(): void {
    // Nothing waits.
  }
}
