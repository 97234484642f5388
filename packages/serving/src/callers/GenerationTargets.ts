import type { BackendServer, EngineLimits, Placement, PromptShape } from '@laburnumgap/dispatch';
import { copyDurationMs, rankEngines } from '@laburnumgap/dispatch';
import type { ServerId } from '@laburnumgap/kernel';
import type { AdmittedCall } from './AdmittedCall.js';
import type { ServingContext } from '../ServingContext.js';

/** The run that engines are ranked for. */
export interface TargetQuery {
  readonly admitted: AdmittedCall;
  readonly engineLimits: EngineLimits;
  /** Engines that must not be used. */
  readonly excluded: ReadonlySet<ServerId>;
  /** For a move, the engine that the KV cache is copied from. */
  readonly moveFrom?: BackendServer;
  readonly prompt: PromptShape;
}

/**
 * Engines are assumed to hold a prompt part in their prefix cache for this long after reading it.
 */
const PREFIX_RETENTION_MS = 10_000;
/** Callers give up a stream after the longest of the following times without an event. */
const MIN_STALL_TIMEOUT_MS = 2_000;
const STALL_TIMEOUT_TARGET_LATENCIES = 4;
const STALL_TIMEOUT_EVENT_GAPS = 8;
const MAX_URGENCY = 9;
/**
 * A copy between failure domains takes twice as long and also delays the copies queued behind it.
 */
const CROSS_DOMAIN_COPY_WEIGHT = 3;

/**
 * Ranks the engines for a run by their load, health and cached prefixes as known to this daemon.
 *
 * @param context - shared state of the daemon
 * @param query - the run
 * @returns the engines, best first
 */
export function rankTargets(context: ServingContext, query: TargetQuery): readonly Placement[] {
  const { clock, failureDomain, health, load, cachedPrefixes, randomUnit, serverAccess } = context;
  const { engineLimits, moveFrom, prompt, admitted, excluded } = query;
  const nowMs = clock.nowMs();
  const candidates = serverAccess
    .openServers(admitted.service.service)
    .filter(({ serverId }) => !excluded.has(serverId) && !health.isSilent(serverId, nowMs))
    .map((server) => ({
      failureShare: health.isUnreachable(server.serverId, nowMs)
        ? 1
        : health.failureShare(server.serverId),
      cachedTokens: cachedPrefixes.cachedTokens(
        prompt.parts,
        server.serverId,
        nowMs - PREFIX_RETENTION_MS,
      ),
      isCold: serverAccess.isCold(server),
      server,
      totals: load.totals(server.serverId, nowMs),
    }));
  return rankEngines({
    candidates,
    engine: engineLimits,
    failureDomain: moveFrom?.failureDomain ?? failureDomain,
    hasKvCache: moveFrom !== undefined,
    otherDomainCostMs:
      moveFrom && CROSS_DOMAIN_COPY_WEIGHT * copyDurationMs(prompt.promptTokens, engineLimits),
    prompt,
    randomUnit,
    ...context.engineSpeeds.inputFor({
      isMove: moveFrom !== undefined,
      route: admitted.route,
      service: admitted.service.service,
      waitedMs: nowMs - admitted.arrivedMs,
    }),
  });
}

/**
 * Time after which the caller gives up a stream that delivers no event.
 *
 * @param admitted - the request
 * @returns milliseconds
 */
export function callerTimeoutMs({ request, route }: AdmittedCall): number {
  const timeoutMs = Math.max(
    MIN_STALL_TIMEOUT_MS,
    STALL_TIMEOUT_TARGET_LATENCIES * route.targetLatencyMs,
    STALL_TIMEOUT_EVENT_GAPS * route.maxEventGapMs,
  );
  return Math.min(timeoutMs, request.deadlineMs ?? Infinity, route.timeoutMs);
}

/**
 * Urgency of a request: the rank of its team if the team has one, otherwise the rank of its route.
 *
 * @param admitted - the request
 * @returns a rank from 0, the most urgent, to 9
 */
export function urgencyOf({ route, team }: AdmittedCall): number {
  return Math.min(MAX_URGENCY, Math.max(0, team?.rank ?? route.rank));
}
