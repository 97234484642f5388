import type { GenerationHomeRecord, Refusal, RequestId, Result, TeamId } from '@laburnumgap/kernel';
import { failure, refusal, success } from '@laburnumgap/kernel';
import { NO_ENGINE_RETRY_MS } from './RouterConstants.js';
import type { RequestHomesPort } from './RouterPorts.js';
import type { RouterRunRegistry } from './RouterRunRegistry.js';
import type { HandedOverRun } from './RouterRunTypes.js';

/** A request that an earlier connection may have started. */
export interface EarlierRunQuery {
  readonly bodyHash: string;
  /** Whether the caller already has tokens, so that only the same generation can be continued. */
  readonly isResume: boolean;
  readonly registry: RouterRunRegistry;
  readonly requestHomes: RequestHomesPort;
  readonly requestId: RequestId;
  readonly teamId: TeamId;
}

/**
 * Finds the generation of an earlier connection of the same request, at this or another router, and
 * takes it over under the next attempt number.
 *
 * @param query - the request
 * @returns the state to continue, undefined when a new generation may start, or a refusal
 */
export async function takeOverEarlierRun(
  query: EarlierRunQuery,
): Promise<Result<HandedOverRun | undefined, Refusal>> {
  const { bodyHash, isResume, registry, requestHomes, requestId, teamId } = query;
  const takeOver = await requestHomes.takeOver({ bodyHash, isResume, requestId, teamId });
  const localRun = registry.find(teamId, requestId);
  const outcome = takeOver.ok ? takeOver.value.outcome : 'unknown';
  if (outcome === 'otherBody' || (localRun && localRun.bodyHash !== bodyHash)) {
    const detail = 'the request id was used with another body';
    return failure(refusal('MALFORMED_REQUEST', detail));
  }
  if (outcome === 'otherTeam') {
    return failure(refusal('NOT_YOURS', 'the request id belongs to another team'));
  }
  const handedOver = localRun?.run.handOver();
  if (takeOver.ok && takeOver.value.outcome === 'found') {
    return success(mergeRecord(takeOver.value.record, handedOver));
  }
  if (handedOver) {
    return success(withNextAttempt(handedOver));
  }
  if (!isResume) {
    return success(undefined);
  }
  return failure(unknownGenerationRefusal(takeOver.ok ? undefined : NO_ENGINE_RETRY_MS));
}

/**
 * Creates the refusal for a generation that no home and no run knows.
 *
 * @param retryAfterMs - when the caller may retry, if the homes were unreachable
 * @returns the refusal
 */
export function unknownGenerationRefusal(retryAfterMs?: number): Refusal {
  return refusal('GENERATION_UNKNOWN', 'no generation of this request is known', retryAfterMs);
}

/** Combines the record of the homes with the token texts of this router's run of the generation. */
function mergeRecord(
  record: GenerationHomeRecord,
  localRun: HandedOverRun | undefined,
): HandedOverRun {
  const isSameGeneration = localRun?.generationId === record.generationId;
  return {
    attempt: record.attempt,
    engine: { engineId: record.engineId, url: record.engineUrl },
    generationId: record.generationId,
    knownTexts: isSameGeneration ? localRun.knownTexts : [],
    reservation: isSameGeneration ? localRun.reservation : undefined,
    seed: record.seed,
  };
}

function withNextAttempt(localRun: HandedOverRun): HandedOverRun {
  if (!localRun.engine) {
    return localRun;
  }
  return { ...localRun, attempt: (localRun.attempt + 1) as HandedOverRun['attempt'] };
}
