import type { BackendServer, EngineLimits, Placement, PromptShape } from '@laburnumgap/dispatch';
import { copyMs, rankEngines } from '@laburnumgap/dispatch';
import type { ServerId } from '@laburnumgap/kernel';
import type { AdmittedCall } from './AdmittedCall.js';
import type { ServingContext } from './ServingContext.js';

/** What engines are ranked for. */
export interface TargetQuery {
  readonly engineLimits: EngineLimits;
  /** The engine that the run's memory comes from, for a move. */
  readonly moveFrom?: BackendServer;
  readonly prompt: PromptShape;
  readonly admitted: AdmittedCall;
  /** Engines that are not to be taken. */
  readonly excluded: ReadonlySet<ServerId>;
}

/** Prompt parts count as kept for this long after they were read. */
const PREFIX_RETENTION_MS = 10_000;
/** Callers give a stream up after the longest of these without an event. */
const MIN_STALL_TIMEOUT_MS = 2_000;
const STALL_TIMEOUT_TARGET_LATENCIES = 4;
const STALL_TIMEOUT_EVENT_GAPS = 8;
const MAX_URGENCY = 9;
/** A copy between domains takes twice as long, and all copies behind it wait as well. */
const CROSS_DOMAIN_COPY_WEIGHT = 3;

/**
 * Ranks the engines for a run by what this daemon knows of them now.
 *
 * @param context - what all requests share
 * @param query - the run
 * @returns the engines, best first
 */
export function rankTargets(context: ServingContext, query: TargetQuery): readonly Placement[] {
  const { clock, failureDomain, health, load, prefixes, randomUnit, registry } = context;
  const { engineLimits, moveFrom, prompt, admitted, excluded } = query;
  const nowMs = clock.nowMs();
  const candidates = registry
    .usable(admitted.service.service)
    .filter(({ serverId }) => !excluded.has(serverId))
    .map((server) => ({
      failureShare: health.isUnreachable(server.serverId, nowMs)
        ? 1
        : health.failureShare(server.serverId),
      keptTokens: prefixes.keptTokens(prompt.parts, server.serverId, nowMs - PREFIX_RETENTION_MS),
      server,
      totals: load.totals(server.serverId, nowMs),
    }));
  return rankEngines({
    candidates,
    engine: engineLimits,
    failureDomain: moveFrom?.failureDomain ?? failureDomain,
    hasMemory: moveFrom !== undefined,
    otherDomainCostMs:
      moveFrom && CROSS_DOMAIN_COPY_WEIGHT * copyMs(prompt.promptTokens, engineLimits),
    prompt,
    randomUnit,
  });
}

/**
 * Time after which the caller gives a stream up that shows nothing.
 *
 * @param start - the request
 * @returns milliseconds
 */
export function stallTimeoutMs({ request, route }: AdmittedCall): number {
  const timeoutMs = Math.max(
    MIN_STALL_TIMEOUT_MS,
    STALL_TIMEOUT_TARGET_LATENCIES * route.targetLatencyMs,
    STALL_TIMEOUT_EVENT_GAPS * route.maxEventGapMs,
  );
  return Math.min(timeoutMs, request.deadlineMs ?? Infinity, route.timeoutMs);
}

/**
 * Urgency of a request: that of its team where it has one, else that of its route.
 *
 * @param start - the request
 * @returns a rank from 0, first, to 9
 */
export function urgencyOf({ route, team }: AdmittedCall): number {
  return Math.min(MAX_URGENCY, Math.max(0, team?.rank ?? route.rank));
}
