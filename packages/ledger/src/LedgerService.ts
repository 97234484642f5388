import { createHash } from 'node:crypto';
import type { UntypedServiceImplementation, handleUnaryCall } from '@grpc/grpc-js';
import type { ClaimSettings, RecordedAnswer, SettleOutcome, SlotReply } from '@laburnumgap/claims';
import type { TeamId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type {
  ClaimReply as ClaimReplyMessage,
  ClaimRequest__Output as ClaimRequestMessage,
  SettleReply as SettleReplyMessage,
  SettleRequest__Output as SettleRequestMessage,
} from '@laburnumgap/rpc';
import type { LedgerSlots } from './LedgerSlots.js';

const MAX_CONTENT_TYPE_CHARACTERS = 256;

/**
 * Creates the handlers of the Ledger gRPC service.
 *
 * @param slots - the journal slots
 * @param settings - the claims settings
 * @returns the handlers
 */
export function createLedgerHandlers(
  slots: LedgerSlots,
  settings: Pick<ClaimSettings, 'recordedBodyMaxBytes'>,
): UntypedServiceImplementation {
  const claim: handleUnaryCall<ClaimRequestMessage, ClaimReplyMessage> = (call, callback) => {
    const { callDeadlineMs, callHash, claimId, idempotencyKey, teamId } = call.request;
    const team = toId<TeamId>(teamId);
    void slots
      .claim({ callDeadlineMs, callHash, claimId, idempotencyKey, teamId: team })
      .then((reply) => {
        callback(null, toClaimReplyMessage(reply));
      });
  };
  const settle: handleUnaryCall<SettleRequestMessage, SettleReplyMessage> = (call, callback) => {
    const { claimId, idempotencyKey, teamId } = call.request;
    const outcome = toSettleOutcome(call.request, settings.recordedBodyMaxBytes);
    void slots
      .settle({ claimId, idempotencyKey, outcome, teamId: toId<TeamId>(teamId) })
      .then((reply) => {
        callback(null, { recorded: reply.kind === 'settled' && reply.recorded });
      });
  };
  return { claim, settle };
}

function toSettleOutcome(request: SettleRequestMessage, maxBodyBytes: number): SettleOutcome {
  if (request.outcome === 'answered') {
    return { answer: toRecordedAnswer(request, maxBodyBytes), kind: 'answered' };
  }
  return request.outcome === 'notRun' ? { kind: 'notRun' } : { kind: 'unknown' };
}

function toRecordedAnswer(request: SettleRequestMessage, maxBodyBytes: number): RecordedAnswer {
  const { body, bodySha256, status } = request;
  const contentType = request.contentType.slice(0, MAX_CONTENT_TYPE_CHARACTERS);
  if (bodySha256 !== '') {
    return { bodySha256, contentType, status };
  }
  if (body.length > maxBodyBytes) {
    const hash = createHash('sha256').update(body).digest('hex');
    return { bodySha256: hash, contentType, status };
  }
  return { body: body.toString('base64'), contentType, status };
}

function toClaimReplyMessage(reply: SlotReply): ClaimReplyMessage {
  switch (reply.kind) {
    case 'answered':
      return {
        body: Buffer.from(reply.answer.body ?? '', 'base64'),
        bodySha256: reply.answer.bodySha256,
        contentType: reply.answer.contentType,
        outcome: 'answered',
        status: reply.answer.status,
      };
    case 'running':
      return { outcome: 'running', retryAfterMs: reply.retryAfterMs };
    case 'unavailable':
      return {
        detail: reply.detail,
        outcome: reply.mayBeRecorded ? 'inDoubt' : 'unavailable',
        retryAfterMs: reply.retryAfterMs,
      };
    default:
      return { outcome: reply.kind };
  }
}
