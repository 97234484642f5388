import { createHash } from 'node:crypto';
import type { ClaimReply, RecordedAnswer, SettleOutcome } from '@laburnumgap/claims';
import { claimSlotOf } from '@laburnumgap/claims';
import type {
  IdempotencyKey,
  Member,
  MemberDirectory,
  MonotonicClock,
  TeamId,
} from '@laburnumgap/kernel';
import type { PlainAnswer } from '@laburnumgap/plain-calls';
import type {
  ClaimReply__Output,
  ClaimRequest,
  RpcClients,
  SettleReply__Output,
  SettleRequest,
} from '@laburnumgap/rpc';

/** A claim that this router requests for a call. */
export interface RouterClaim {
  readonly callDeadlineMs: number;
  readonly callHash: string;
  /** Unique for each call of a caller. */
  readonly claimId: string;
  readonly idempotencyKey: IdempotencyKey;
  readonly teamId: TeamId;
}

/**
 * Reply to a claim. `lost`: no ledger replied, so the claim may have been recorded; `noLedger`: no
 * ledger is known, so none was asked.
 */
export type RouterClaimReply =
  ClaimReply | { readonly kind: 'lost' } | { readonly kind: 'noLedger' };

/** Port to the ledgers. */
export interface LedgerPort {
  claim(claim: RouterClaim): Promise<RouterClaimReply>;
  /** Resolves to whether the outcome is durably recorded. */
  settle(claim: RouterClaim, outcome: SettleOutcome, attempt: number): Promise<boolean>;
}

/** Options of a {@link RpcLedger}. */
export interface RpcLedgerOptions {
  readonly clients: RpcClients;
  readonly clock: MonotonicClock;
  readonly directory: MemberDirectory;
  readonly routerId: string;
  /** Journal slots of the deployment; only used to choose the ledgers to ask. */
  readonly slots: number;
}

/** Deadline of a claim; longer than an operation is queued in its slot. */
const CLAIM_DEADLINE_MS = 2_000;
const SETTLE_DEADLINE_MS = 2_000;
/** A second ledger is asked only if the first one failed within this time. */
const MAX_FAILOVER_DELAY_MS = 500;
const MAX_CLAIM_LEDGERS = 2;
/** Larger answers are settled by their hash only; the limit of the ledgers is lower still. */
const MAX_SETTLED_BODY_BYTES = 64 * 1024;

/**
 * Requests a claim from the ledgers in order until one replies. Asking several is safe: the key is
 * granted to one claim id only, however often it is requested.
 *
 * @param ledgers - the ledgers in order of preference
 * @param clock - measures the time within which another ledger may be asked
 * @param claimAt - requests the claim from one ledger
 * @returns the reply, `lost` or `noLedger`
 */
export async function claimWithFailover<Ledger>(
  ledgers: readonly Ledger[],
  clock: MonotonicClock,
  claimAt: (ledger: Ledger) => Promise<RouterClaimReply>,
): Promise<RouterClaimReply> {
  const startedMs = clock.nowMs();
  let mayBeRecorded = false;
  for (const ledger of ledgers.slice(0, MAX_CLAIM_LEDGERS)) {
    const reply = await claimAt(ledger);
    if (reply.kind !== 'lost' && reply.kind !== 'noLedger') {
      return mayBeRecorded ? markMayBeRecorded(reply) : reply;
    }
    mayBeRecorded = true;
    if (clock.nowMs() - startedMs > MAX_FAILOVER_DELAY_MS) {
      break;
    }
  }
  return { kind: mayBeRecorded ? 'lost' : 'noLedger' };
}

/** Calls the ledgers by gRPC, the owner of the key's journal slot first. */
export class RpcLedger implements LedgerPort {
  constructor(private readonly options: RpcLedgerOptions) {}

  claim(claim: RouterClaim): Promise<RouterClaimReply> {
    const ledgers = this.rankedLedgers(claim);
    return claimWithFailover(ledgers, this.options.clock, (ledger) => this.claimAt(ledger, claim));
  }

  async settle(claim: RouterClaim, outcome: SettleOutcome, attempt: number): Promise<boolean> {
    const ledgers = this.rankedLedgers(claim);
    const ledger = ledgers[attempt % Math.max(ledgers.length, 1)];
    if (ledger === undefined) {
      return false;
    }
    const client = this.options.clients.get('Ledger', ledger.rpcAddress);
    const { claimId, idempotencyKey, teamId } = claim;
    const result = await this.options.clients.unary<SettleRequest, SettleReply__Output>(
      client.settle.bind(client),
      {
        claimId,
        idempotencyKey,
        outcome: outcome.kind,
        teamId,
        ...(outcome.kind === 'answered' ? toSettleFields(outcome.answer) : {}),
      },
      SETTLE_DEADLINE_MS,
    );
    if (!result.ok) {
      this.options.directory.suspect(ledger.memberId);
    }
    return result.ok && result.value.recorded;
  }

  private async claimAt(ledger: Member, claim: RouterClaim): Promise<RouterClaimReply> {
    const { clients, directory, routerId } = this.options;
    const client = clients.get('Ledger', ledger.rpcAddress);
    const request = { ...claim, routerId };
    const result = await clients.unary<ClaimRequest, ClaimReply__Output>(
      client.claim.bind(client),
      request,
      CLAIM_DEADLINE_MS,
    );
    if (!result.ok) {
      directory.suspect(ledger.memberId);
      return { kind: 'lost' };
    }
    return toClaimReply(result.value);
  }

  private rankedLedgers(claim: RouterClaim): readonly Member[] {
    const slot = claimSlotOf(claim.teamId, claim.idempotencyKey, this.options.slots);
    return this.options.directory.rank('ledger', `slot/${slot}`);
  }
}

/** An earlier request with the same claim id may have been recorded after this reply was decided. */
function markMayBeRecorded(reply: ClaimReply): ClaimReply {
  return reply.kind === 'unavailable' ? { ...reply, mayBeRecorded: true } : reply;
}

function toSettleFields(answer: RecordedAnswer) {
  const body = Buffer.from(answer.body ?? '', 'base64');
  const { bodySha256 = '', contentType, status } = answer;
  return { body, bodySha256, contentType, status };
}

function toClaimReply(message: ClaimReply__Output): RouterClaimReply {
  switch (message.outcome) {
    case 'answered':
      return { answer: toRecordedAnswer(message), kind: 'answered' };
    case 'expired':
    case 'granted':
    case 'inFuture':
    case 'reused':
    case 'unknown':
      return { kind: message.outcome };
    case 'inDoubt':
    case 'unavailable':
      return {
        detail: message.detail,
        kind: 'unavailable',
        mayBeRecorded: message.outcome === 'inDoubt',
        retryAfterMs: message.retryAfterMs,
      };
    case 'running':
      return { kind: 'running', retryAfterMs: message.retryAfterMs };
    default:
      return { kind: 'lost' };
  }
}

function toRecordedAnswer(message: ClaimReply__Output): RecordedAnswer {
  const { body, bodySha256, contentType, status } = message;
  return bodySha256 === ''
    ? { body: body.toString('base64'), contentType, status }
    : { bodySha256, contentType, status };
}

/**
 * Builds the record of an answer.
 *
 * @param answer - the whole answer
 * @returns the record, without the body when that is large or has a content encoding
 */
export function recordAnswer(answer: PlainAnswer): RecordedAnswer {
  const { body, headers, status } = answer;
  const contentType = headers['content-type'] ?? '';
  const isEncoded = (headers['content-encoding'] ?? 'identity') !== 'identity';
  if (isEncoded || body.length > MAX_SETTLED_BODY_BYTES) {
    const bodySha256 = createHash('sha256').update(body).digest('hex');
    return { bodySha256, contentType, status };
  }
  return { body: body.toString('base64'), contentType, status };
}
