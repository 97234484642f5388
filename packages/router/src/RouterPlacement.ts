import type {
  DecisionSink,
  EngineId,
  ModelId,
  MonotonicClock,
  PoolId,
  Refusal,
  Result,
  ServerDirectory,
} from '@laburnumgap/kernel';
import { failure, refusal, success, toId } from '@laburnumgap/kernel';
import type { RouteCandidate, RouteChoice, RouteChooser, RouteRequest } from '@laburnumgap/routing';
import type { AdmissionOutcome, GrantedReservation } from './RouterAdmissionWait.js';
import { waitForAdmission } from './RouterAdmissionWait.js';
import {
  MAX_ADMISSION_TRIES,
  MAX_PLACEMENT_ROUNDS,
  NO_ENGINE_RETRY_MS,
} from './RouterConstants.js';
import type { RouterEngineHealth } from './RouterEngineHealth.js';
import type { AdmissionPort, AdmissionRequest } from './RouterPorts.js';
import type { Timers } from './RouterTimers.js';

/** A pool of engines and the models that they serve. */
export interface EnginePool {
  readonly models: readonly string[];
  readonly name: string;
}

/** Options of a {@link RouterPlacement}. */
export interface RouterPlacementOptions {
  readonly admission: AdmissionPort;
  readonly chooser: RouteChooser;
  readonly clock: MonotonicClock;
  readonly decisions: DecisionSink;
  readonly health: RouterEngineHealth;
  readonly pools: readonly EnginePool[];
  readonly servers: ServerDirectory;
  readonly timers: Timers;
}

/** A generation to place. */
export interface PlacementRequest extends Omit<AdmissionRequest, 'engineId'> {
  readonly excludedEngines: readonly EngineId[];
  readonly onlyEngine?: EngineId;
  readonly signal: AbortSignal;
}

/** An engine that admitted a generation. */
export interface GrantedPlacement {
  readonly engineId: EngineId;
  readonly engineUrl: string;
  readonly reservation: GrantedReservation;
}

/** Why a generation was not placed. */
export type PlacementFailure =
  { readonly kind: 'aborted' } | { readonly kind: 'refused'; readonly refusal: Refusal };

/** Chooses engines for a generation and requests admission to each until one is granted. */
export class RouterPlacement {
  constructor(private readonly options: RouterPlacementOptions) {}

  /** Known engines that serve a model. */
  candidatesFor(model: ModelId): readonly RouteCandidate[] {
    const { health, pools, servers } = this.options;
    const servingPools = pools.filter((pool) => pool.models.includes(model));
    const poolNames = new Set(servingPools.map((pool) => toId<PoolId>(pool.name)));
    const candidates: RouteCandidate[] = [];
    for (const server of servers.servers()) {
      if (server.backend.kind !== 'model' || !poolNames.has(server.backend.pool)) {
        continue;
      }
      const engineId = toId<EngineId>(server.serverId);
      candidates.push({
        engineId,
        failureDomain: server.failureDomain,
        leaving: server.leaving,
        suspected: health.isSuspected(engineId),
        url: server.address,
      });
    }
    return candidates;
  }

  /** Marks an engine as leaving because it said so itself, before the directory shows it. */
  markLeaving(engineId: EngineId): void {
    this.options.servers.markLeaving(toId(engineId));
  }

  /**
   * Places a generation within the waiting bound of the request, which holds over all engines tried.
   */
  async place(request: PlacementRequest): Promise<Result<GrantedPlacement, PlacementFailure>> {
    const triedEngines = new Set<EngineId>();
    let bestRefusal = refusal('NO_ENGINE', `no engine serves ${request.model}`, NO_ENGINE_RETRY_MS);
    const deadlineMs = this.options.clock.nowMs() + request.waitBoundMs;
    for (let round = 0; round < MAX_PLACEMENT_ROUNDS; round += 1) {
      for (const choice of await this.chooseEngines(request, triedEngines)) {
        const { engineId } = choice.candidate;
        triedEngines.add(engineId);
        const outcome = await this.admitAt(request, choice, deadlineMs);
        if (outcome.kind === 'granted') {
          const { reservation } = outcome;
          const engineUrl = reservation.engineUrl || choice.candidate.url;
          this.options.chooser.recordPlacement(request, engineId);
          return success({ engineId, engineUrl, reservation });
        }
        if (outcome.kind === 'aborted') {
          return failure({ kind: 'aborted' });
        }
        if (outcome.kind === 'refused') {
          bestRefusal = preferredRefusal(bestRefusal, outcome.refusal);
          if (outcome.refusal.code === 'DEADLINE_BEFORE_RUN') {
            return failure(outcome);
          }
        }
      }
    }
    return failure({ kind: 'refused', refusal: bestRefusal });
  }

  private async admitAt(
    request: PlacementRequest,
    choice: RouteChoice,
    deadlineMs: number,
  ): Promise<AdmissionOutcome> {
    const { admission, clock, decisions, timers } = this.options;
    const { engineId } = choice.candidate;
    const { excludedEngines, onlyEngine, signal, ...fields } = request;
    decisions.record({
      decision: 'route',
      fields: {
        attempt: request.attempt,
        costMs: choice.costMs,
        engineId,
        excluded: excludedEngines.length,
        onlyEngine,
        reason: choice.reason,
      },
      requestId: request.requestId,
    });
    const requestAdmission = (): Promise<AdmissionOutcome> => {
      const waitBoundMs = Math.max(0, deadlineMs - clock.nowMs());
      const boundedRequest = { ...fields, engineId, waitBoundMs };
      return waitForAdmission({ admission, request: boundedRequest, signal, timers });
    };
    let outcome = await requestAdmission();
    for (let tries = 1; outcome.kind === 'lost' && tries < MAX_ADMISSION_TRIES; tries += 1) {
      outcome = await requestAdmission();
    }
    return outcome;
  }

  private async chooseEngines(
    request: PlacementRequest,
    triedEngines: ReadonlySet<EngineId>,
  ): Promise<readonly RouteChoice[]> {
    const { admission, chooser } = this.options;
    const untriedCandidates = this.candidatesFor(request.model).filter(
      (candidate) => !triedEngines.has(candidate.engineId) && isAllowed(candidate, request),
    );
    const route: RouteRequest = request;
    const shortlist = chooser.shortlist(untriedCandidates, route);
    if (shortlist.length === 0) {
      return [];
    }
    const engineIds = shortlist.map((candidate) => candidate.engineId);
    const estimates = await admission.estimate({ ...request, engineIds });
    return chooser.rankByCost(shortlist, estimates, route);
  }
}

function isAllowed(candidate: RouteCandidate, request: PlacementRequest): boolean {
  return request.onlyEngine === undefined || candidate.engineId === request.onlyEngine;
}

/**
 * A scheduler's refusal is preferred to the generic one; of two, the one with the shorter
 * `retryAfterMs`.
 */
function preferredRefusal(current: Refusal, candidate: Refusal): Refusal {
  if (current.code === 'NO_ENGINE') {
    return candidate;
  }
  return (candidate.retryAfterMs ?? Infinity) < (current.retryAfterMs ?? Infinity)
    ? candidate
    : current;
}
