import type { GenerationHomeRecord } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import type { GenerationRecord__Output } from './generated/laburnum/v1/GenerationRecord.js';

/**
 * Converts a `GenerationRecord` message to the type that request homes store.
 *
 * @param record - the decoded protobuf message
 * @returns the record, without the id of the router that sent it
 */
export function toGenerationHomeRecord(record: GenerationRecord__Output): GenerationHomeRecord {
  const { bodyHash, deliveredIndex, engineUrl, maxTokens, prompt, seed, streamed } = record;
  return {
    attempt: toNumberId(record.attempt),
    bodyHash,
    deliveredIndex,
    engineId: toId(record.engineId),
    engineUrl,
    generationId: toId(record.generationId),
    maxTokens,
    model: toId(record.modelId),
    prompt,
    requestId: toId(record.requestId),
    seed,
    streamed,
    teamId: toId(record.teamId),
  };
}
