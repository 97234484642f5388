import { createHash } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import type { Contract } from '@laburnumgap/contracts';
import type { ModelId, Refusal, Result } from '@laburnumgap/kernel';
import { failure, refusal, success, toId } from '@laburnumgap/kernel';
import { z } from 'zod';

/** A validated completion request. */
export interface CompletionRequest {
  /** SHA-256 of the body as it was sent. */
  readonly bodyHash: string;
  readonly maxTokens: number;
  readonly model: ModelId;
  readonly prompt: string;
  readonly seed?: number;
  readonly stream: boolean;
}

const completionSchema = z.strictObject({
  max_tokens: z.number().int().positive().optional(),
  model: z.string().min(1).max(128),
  prompt: z.string().min(1),
  seed: z.number().int().nonnegative().max(Number.MAX_SAFE_INTEGER).optional(),
  stream: z.boolean().default(false),
});

/**
 * Parses the body of a completion request and validates it against the contract.
 *
 * @param body - the body as it was sent
 * @param contract - the caller's contract
 * @returns the request, or a refusal that names the first invalid field
 */
export function readCompletionRequest(
  body: Buffer,
  contract: Contract,
): Result<CompletionRequest, Refusal> {
  const json = parseJson(body);
  if (!json.ok) {
    return json;
  }
  const parsed = completionSchema.safeParse(json.value);
  if (!parsed.success) {
    return failure(refusal('MALFORMED_REQUEST', describeIssues(parsed.error)));
  }
  const { max_tokens: maxTokens, model, prompt, seed, stream } = parsed.data;
  const contractModel = contract.models.find((candidate) => candidate.name === model);
  if (!contractModel) {
    return failure(refusal('UNKNOWN_MODEL', 'the contract names no such model'));
  }
  if (maxTokens !== undefined && maxTokens > contractModel.maxTokens) {
    const detail = `max_tokens: the contract allows at most ${contractModel.maxTokens}`;
    return failure(refusal('MALFORMED_REQUEST', detail));
  }
  return success({
    bodyHash: createHash('sha256').update(body).digest('hex'),
    maxTokens: maxTokens ?? contractModel.maxTokens,
    model: toId(model),
    prompt,
    seed,
    stream,
  });
}

const LAST_EVENT_ID = /^(0|[1-9]\d{0,8})$/;

/**
 * Reads from Last-Event-ID the index of the first token that the caller does not have.
 *
 * @param headers - the request's headers
 * @returns the index, undefined without the header, or a refusal
 */
export function readResumeIndex(headers: IncomingHttpHeaders): Result<number | undefined, Refusal> {
  const lastEventId = headers['last-event-id'];
  if (lastEventId === undefined) {
    return success(undefined);
  }
  if (typeof lastEventId !== 'string' || !LAST_EVENT_ID.test(lastEventId)) {
    return failure(refusal('MALFORMED_REQUEST', 'Last-Event-ID must be the index of a token'));
  }
  return success(Number(lastEventId) + 1);
}

function describeIssues(error: z.ZodError): string {
  const [issue] = error.issues;
  const path = issue?.path.join('.') ?? '';
  const message = issue?.message ?? 'malformed';
  return path === '' ? message : `${path}: ${message}`;
}

function parseJson(body: Buffer): Result<unknown, Refusal> {
  try {
    const text = new TextDecoder('utf-8', { fatal: true }).decode(body);
    return success(JSON.parse(text) as unknown);
  } catch {
    return failure(refusal('MALFORMED_REQUEST', 'the body is not valid JSON in UTF-8'));
  }
}
