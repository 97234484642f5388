import type { GenerationHomeRecord, Refusal, RequestId, Result, TeamId } from '@laburnumgap/kernel';
import { failure, refusal, success } from '@laburnumgap/kernel';
import { NO_ENGINE_RETRY_MS } from './RouterConstants.js';
import type { RequestHomes } from './RouterPorts.js';
import type { RouterRunRegistry } from './RouterRunRegistry.js';
import type { HandedOverRun } from './RouterRunTypes.js';

/** A request that may have been begun before. */
export interface EarlierRunQuery {
  readonly bodyHash: string;
  /** Whether the caller says which token it has, so that only the same generation will do. */
  readonly continues: boolean;
  readonly homes: RequestHomes;
  readonly registry: RouterRunRegistry;
  readonly requestId: RequestId;
  readonly teamId: TeamId;
}

/**
 * Finds what an earlier connection of the same request left, here or at another router, and takes
 * it over under the next attempt number.
 *
 * @param query - the request
 * @returns what is to be gone on with, undefined when a new generation may start, or a refusal
 */
export async function findEarlierRun(
  query: EarlierRunQuery,
): Promise<Result<HandedOverRun | undefined, Refusal>> {
  const { bodyHash, continues, homes, registry, requestId, teamId } = query;
  const taken = await homes.takeOver({ bodyHash, continues, requestId, teamId });
  const local = registry.find(teamId, requestId);
  const outcome = taken.ok ? taken.value.outcome : 'unknown';
  if (outcome === 'otherBody' || (local && local.bodyHash !== bodyHash)) {
    const detail = 'the request id was used with another body';
    return failure(refusal('MALFORMED_REQUEST', detail));
  }
  if (outcome === 'otherTeam') {
    return failure(refusal('NOT_YOURS', 'the request id belongs to another team'));
  }
  const handedOver = local?.run.handOver();
  if (taken.ok && taken.value.outcome === 'found') {
    return success(mergeEarlier(taken.value.record, handedOver));
  }
  if (handedOver) {
    return success(nextAttemptOf(handedOver));
  }
  if (!continues) {
    return success(undefined);
  }
  return failure(unknownGeneration(taken.ok ? undefined : NO_ENGINE_RETRY_MS));
}

/**
 * Refuses to go on with a generation that nobody knows.
 *
 * @param retryAfterMs - when to come back, where the homes could not be asked
 * @returns the refusal
 */
export function unknownGeneration(retryAfterMs?: number): Refusal {
  return refusal('GENERATION_UNKNOWN', 'no generation of this request is known', retryAfterMs);
}

/** The homes know the attempt to go on with; a run of this router may know the texts as well. */
function mergeEarlier(
  record: GenerationHomeRecord,
  local: HandedOverRun | undefined,
): HandedOverRun {
  const isSame = local?.generationId === record.generationId;
  return {
    attempt: record.attempt,
    engine: { engineId: record.engineId, url: record.engineUrl },
    generationId: record.generationId,
    knownTexts: isSame ? local.knownTexts : [],
    reservation: isSame ? local.reservation : undefined,
    seed: record.seed,
  };
}

function nextAttemptOf(local: HandedOverRun): HandedOverRun {
  if (!local.engine) {
    return local;
  }
  return { ...local, attempt: (local.attempt + 1) as HandedOverRun['attempt'] };
}
