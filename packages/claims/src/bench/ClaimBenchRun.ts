import type {
  IdempotencyKey,
  Revision,
  SlotNumber,
  StoreCommit,
  TeamId,
} from '@laburnumgap/kernel';
import { success, toId, toNumberId } from '@laburnumgap/kernel';
import type { ClaimSlotAction, ClaimTime, SlotOperation } from '../index.js';
import { ClaimSlot, DEFAULT_CLAIM_SETTINGS } from '../index.js';

/** Simulated load of one slot. */
export interface ClaimBenchLoad {
  /** Body size of each recorded answer. */
  readonly answerBytes: number;
  /** Time from a grant to the settlement of the claim. */
  readonly callMs: number;
  readonly claimsPerSecond: number;
  /** Latency of a store call. */
  readonly storeMs: number;
  /** Simulated duration of the run. */
  readonly virtualMs: number;
}

/** Measured cost of one slot. */
export interface ClaimBenchResult {
  readonly claimP50Ms: number;
  readonly claimP99Ms: number;
  readonly cpuMicrosecondsPerClaim: number;
  /** Size of all stored values at the end of the run. */
  readonly journalBytes: number;
  readonly largestValueBytes: number;
  readonly writesPerSecond: number;
  readonly writtenBytesPerClaim: number;
}

const START_EPOCH_MS = Date.UTC(2026, 11, 3);
const MS_PER_SECOND = 1_000;

/** Runs one slot in virtual time against a stub store that only counts writes. */
export class ClaimBenchRun {
  private commitDueMs: number | undefined;
  private commits = 0;
  private largestValueBytes = 0;
  private readonly latenciesMs: number[] = [];
  private nowMs = 0;
  private lastOperationId = 0;
  private readonly pendingSettlements: {
    readonly dueMs: number;
    readonly operation: SlotOperation;
  }[] = [];
  private readonly slot: ClaimSlot;
  private readonly submittedAtMs = new Map<SlotOperation, number>();
  private readonly stored = new Map<string, string>();
  private writtenBytes = 0;

  constructor(private readonly load: ClaimBenchLoad) {
    this.slot = new ClaimSlot({
      random: { nextUnit: () => 0.5 },
      settings: DEFAULT_CLAIM_SETTINGS,
      slot: toNumberId<SlotNumber>(0),
      writer: 'bench',
    });
  }

  run(): ClaimBenchResult {
    const { claimsPerSecond, virtualMs } = this.load;
    const cpuBefore = process.cpuUsage();
    let claims = 0;
    for (; this.nowMs < virtualMs; this.nowMs += 1) {
      this.completeDueCommit();
      this.submitDueSettlements();
      while (claims * MS_PER_SECOND < this.nowMs * claimsPerSecond) {
        claims += 1;
        this.submitClaim(claims);
      }
      if ((this.slot.wakeAtMs ?? Infinity) <= this.nowMs) {
        this.perform(this.slot.wake(this.now()));
      }
    }
    const cpu = process.cpuUsage(cpuBefore);
    this.latenciesMs.sort((a, b) => a - b);
    return {
      claimP50Ms: this.latencyQuantileMs(0.5),
      claimP99Ms: this.latencyQuantileMs(0.99),
      cpuMicrosecondsPerClaim: (cpu.user + cpu.system) / claims,
      journalBytes: [...this.stored.values()].reduce((sum, value) => sum + value.length, 0),
      largestValueBytes: this.largestValueBytes,
      writesPerSecond: (this.commits * MS_PER_SECOND) / virtualMs,
      writtenBytesPerClaim: this.writtenBytes / claims,
    };
  }

  private submitClaim(number: number): void {
    const operation: SlotOperation = {
      callDeadlineMs: 10_000,
      callHash: 'A'.repeat(43),
      claimId: createUuidV7(this.now().epochMs, number),
      idempotencyKey: createUuidV7(this.now().epochMs, number),
      kind: 'claim',
      operationId: (this.lastOperationId += 1),
      teamId: toId<TeamId>('hoa-sen-transfers'),
    };
    this.submittedAtMs.set(operation, this.nowMs);
    this.perform(this.slot.submit(operation, this.now()));
  }

  private submitDueSettlements(): void {
    while ((this.pendingSettlements[0]?.dueMs ?? Infinity) <= this.nowMs) {
      const due = this.pendingSettlements.shift();
      if (due !== undefined) {
        this.perform(this.slot.submit(due.operation, this.now()));
      }
    }
  }

  private completeDueCommit(): void {
    if (this.commitDueMs === undefined || this.commitDueMs > this.nowMs) {
      return;
    }
    this.commitDueMs = undefined;
    this.commits += 1;
    this.perform(this.slot.onCommitted(success(toNumberId<Revision>(this.commits)), this.now()));
  }

  private perform(actions: readonly ClaimSlotAction[]): void {
    for (const action of actions) {
      if (action.kind === 'load') {
        const slot = { revision: toNumberId<Revision>(0), values: [] };
        this.perform(this.slot.onLoaded(success({ layout: undefined, slot }), this.now()));
      } else if (action.kind === 'commit') {
        this.recordWrites(action.commit);
        this.commitDueMs = this.nowMs + this.load.storeMs;
      } else if (action.kind === 'reply' && action.operation.kind === 'claim') {
        this.onGranted(action.operation);
      }
    }
  }

  private onGranted(claim: SlotOperation): void {
    this.latenciesMs.push(this.nowMs - (this.submittedAtMs.get(claim) ?? 0));
    this.submittedAtMs.delete(claim);
    const { claimId, idempotencyKey, teamId } = claim;
    const body = Buffer.alloc(this.load.answerBytes).toString('base64');
    const answer = { body, contentType: 'application/json', status: 201 };
    const operation: SlotOperation = {
      claimId,
      idempotencyKey,
      kind: 'settle',
      operationId: (this.lastOperationId += 1),
      outcome: { answer, kind: 'answered' },
      teamId,
    };
    this.pendingSettlements.push({ dueMs: this.nowMs + this.load.callMs, operation });
  }

  private recordWrites(commit: StoreCommit): void {
    for (const write of commit.writes) {
      this.writtenBytes += write.key.length;
      if (write.kind === 'delete') {
        this.stored.delete(write.key);
        continue;
      }
      this.writtenBytes += write.value.length;
      this.largestValueBytes = Math.max(this.largestValueBytes, write.value.length);
      this.stored.set(write.key, write.value);
    }
  }

  private now(): ClaimTime {
    return { epochMs: START_EPOCH_MS + this.nowMs, monotonicMs: this.nowMs };
  }

  private latencyQuantileMs(fraction: number): number {
    return this.latenciesMs[Math.floor(this.latenciesMs.length * fraction)] ?? 0;
  }
}

function createUuidV7(epochMs: number, number: number): IdempotencyKey {
  const time = epochMs.toString(16).padStart(12, '0');
  const tail = number.toString(16).padStart(12, '0');
  return toId<IdempotencyKey>(`${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`);
}
