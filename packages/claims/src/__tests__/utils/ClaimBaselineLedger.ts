import type { SlotOperation, SlotReply } from '../../index.js';
import { claimRecordName } from '../../index.js';
import type { SimulatedLedger } from './ClaimSimulation.js';

/**
 * Baseline to compare with: each ledger keeps the claims in its own memory and shares nothing with
 * the others.
 */
export class ClaimBaselineLedger implements SimulatedLedger {
  readonly lateCommits: (() => void)[] = [];
  readonly replies = new Map<number, SlotReply>();
  private readonly holders = new Map<string, string>();

  answerAllStoreCalls(): void {
    // There is no store.
  }

  answerStoreCall(): void {
    // There is no store.
  }

  submit(operation: SlotOperation): SlotReply | undefined {
    const recordName = claimRecordName(operation.teamId, operation.idempotencyKey);
    if (operation.kind === 'settle') {
      return undefined;
    }
    const holder = this.holders.get(recordName) ?? operation.claimId;
    this.holders.set(recordName, holder);
    const reply: SlotReply =
      holder === operation.claimId ? { kind: 'granted' } : { kind: 'running', retryAfterMs: 100 };
    this.replies.set(operation.operationId, reply);
    return reply;
  }

  wake(): void {
    // No operation waits.
  }
}
