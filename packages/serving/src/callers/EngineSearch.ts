import type {
  BackendServer,
  CapacityPriority,
  Placement,
  PromptShape,
  ShortageRefusal,
  WaitingGeneration,
} from '@laburnumgap/dispatch';
import {
  admitGeneration,
  isLongStream,
  maxUnseenTokensAt,
  plannedOutputTokens,
  reservedOutputTokens,
} from '@laburnumgap/dispatch';
import type { Refusal, RequestId, ResultCodeName, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { AdmittedCall } from './AdmittedCall.js';
import { callerTimeoutMs, urgencyOf } from './GenerationTargets.js';
import { DEFAULT_RETRY_AFTER_MS } from '../ServingConstants.js';
import type { ServingContext } from '../ServingContext.js';
import type { ServingLogValue } from '../ServingLog.js';

/** Options of {@link EngineSearch}. */
export interface EngineSearchOptions {
  readonly admitted: AdmittedCall;
  /** Called once for each start, unless the request is refused or the search is stopped. */
  readonly onPlaced: (server: BackendServer) => void;
  /** Called instead when requests like this one have crashed engines meanwhile, or the daemon stops. */
  readonly onDenied: (refused: Refusal) => void;
  readonly onRefused: (code: ResultCodeName, detail: string, retryAfterMs?: number) => void;
  readonly prompt: PromptShape;
  /** Ranks the engines that can be used now, best first. */
  readonly rank: () => readonly Placement[];
}

/**
 * Consecutive declines after which the search waits. Each decline brings the owner's current load,
 * so that the next choice is better informed.
 */
const MAX_CONSECUTIVE_DECLINES = 3;
const DECLINED_RECHECK_MS = 20;
/** Interval at which engines are asked that take no more requests at once. */
const LIMITED_RECHECK_MS = 50;
/** Fraction of the caller's timeout that a generation waits for them. */
const MAX_LIMITED_WAIT_FRACTION = 0.6;

/**
 * Finds an engine with capacity for one generation: selects one by the load known to this daemon,
 * requests capacity from the engine's owner, and waits while no engine has any.
 */
export class EngineSearch {
  /** Engine that is held for the waiting generation. */
  private heldServerId: ServerId | undefined;
  private isStopped = false;
  private startedMs: number;
  private timer: NodeJS.Timeout | undefined;

  constructor(
    private readonly context: ServingContext,
    private readonly options: EngineSearchOptions,
  ) {
    this.startedMs = options.admitted.arrivedMs;
  }

  /** Starts the search. Called again after an engine did not accept the generation. */
  start(): void {
    this.leaveShortage();
    this.search(0);
  }

  /**
   * Starts the search for a stream that was being forwarded. Its caller waits as long for the next
   * event as for the first one, counted from now.
   */
  startAgain(): void {
    this.leaveShortage();
    this.startedMs = this.context.clock.nowMs();
    this.search(0);
  }

  /** Stops the search; no callback follows. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
    this.leaveShortage();
  }

  /** Selects an engine; `declines` counts the owners that declined since the last wait. */
  private search(declines: number): void {
    const { onDenied, onRefused, rank, admitted } = this.options;
    const refused = admitted.pass.refusal() ?? this.context.stopGate.refusal(admitted);
    if (refused) {
      onDenied(refused);
      return;
    }
    const waitedMs = this.waitedMs();
    const best = rank()[0];
    if (this.mustQueue(best)) {
      this.joinQueue();
      return;
    }
    const admission = admitGeneration({
      best,
      callerTimeoutMs: callerTimeoutMs(admitted),
      targetLatencyMs: admitted.route.targetLatencyMs,
      urgency: urgencyOf(admitted),
      waitedMs,
    });
    switch (admission.kind) {
      case 'refuse':
        if (admission.reason === 'noRoom') {
          this.refuseForNoCapacity(waitedMs);
        } else if (this.canWaitForRoom(waitedMs)) {
          this.searchAfter(LIMITED_RECHECK_MS);
        } else {
          // Without a time, callers are told when the first backoff ends.
          const { service } = admitted.service;
          onRefused(
            'NO_ENGINE',
            this.context.serverAccess.evacuationRefusal(service) ??
              'no engine of the service accepts new requests',
          );
        }
        break;
      case 'send':
        this.requestCapacity(admission.placement, declines);
        break;
      case 'wait':
        this.searchAfter(admission.recheckAfterMs);
    }
  }

  /** Where daemons share a shortage, a generation without capacity waits for its turn in the queue. */
  private mustQueue(best: Placement | undefined): boolean {
    const { admitted } = this.options;
    const { shortage } = this.context;
    return (
      shortage !== undefined &&
      best !== undefined &&
      this.waitedMs() < callerTimeoutMs(admitted) &&
      (!best.fits || shortage.isShort(admitted.service.service))
    );
  }

  private joinQueue(): void {
    const { admitted } = this.options;
    this.context.shortage?.join({
      generation: this.waitingGeneration(),
      onRefused: (refused) => {
        this.refuseInShortage(refused);
      },
      onTurn: (priority) => this.takeTurn(priority),
      service: admitted.service.service,
    });
  }

  /** Requests capacity for the waiting generation; false when no engine has any. */
  private takeTurn(priority: CapacityPriority): boolean {
    const placements = this.options.rank();
    const [best] = placements;
    const { admitted } = this.options;
    const isRefused =
      admitted.pass.refusal() !== undefined || !this.context.stopGate.mayBegin(admitted);
    const isOver = this.waitedMs() >= callerTimeoutMs(admitted);
    if (isRefused || !best || isOver) {
      this.start();
      return true;
    }
    if (best.fits) {
      this.requestCapacity(best, 0, priority);
      return true;
    }
    if (priority.isHeld !== true) {
      return false;
    }
    // Another engine with each turn would leave all of them idle.
    const held = placements.find(({ server }) => server.serverId === this.heldServerId) ?? best;
    this.heldServerId = held.server.serverId;
    this.requestCapacity(held, 0, priority);
    return true;
  }

  private leaveShortage(): void {
    const { request, service } = this.options.admitted;
    this.context.shortage?.leave(service.service, toId<RequestId>(request.requestId));
  }

  private refuseInShortage({ reason, retryAfterMs, waitedMs }: ShortageRefusal): void {
    this.context.capacityWaits.recordWait(waitedMs, this.context.clock.nowMs());
    const detail = `no engine has capacity in time (${reason}) after ${Math.round(waitedMs)} ms`;
    this.options.onRefused('QUEUE_WAIT_TOO_LONG', detail, retryAfterMs);
  }

  private waitingGeneration(): WaitingGeneration {
    const { admitted, prompt } = this.options;
    const { promptTokens } = prompt;
    return {
      arrivedMs: this.startedMs,
      callerTimeoutMs: callerTimeoutMs(admitted),
      outputTokens: plannedOutputTokens(prompt, 0),
      plannedTokens: promptTokens + reservedOutputTokens(prompt, 0),
      promptTokens,
      rank: urgencyOf(admitted),
      requestId: toId<RequestId>(admitted.request.requestId),
      targetLatencyMs: admitted.route.targetLatencyMs,
      teamId: admitted.team?.teamId,
    };
  }

  /** Brittle engines take a request as soon as another has ended, cold ones after a part of a second. */
  private canWaitForRoom(waitedMs: number): boolean {
    const { admitted } = this.options;
    return (
      waitedMs < MAX_LIMITED_WAIT_FRACTION * callerTimeoutMs(admitted) &&
      this.context.serverAccess.hasRoomSoon(admitted.service.service)
    );
  }

  private searchAfter(recheckAfterMs: number): void {
    this.timer = setTimeout(
      () => {
        this.search(0);
      },
      recheckAfterMs * (1 + this.context.randomUnit()),
    );
  }

  private requestCapacity(
    placement: Placement,
    declines: number,
    queuedPriority?: CapacityPriority,
  ): void {
    const { onPlaced, prompt, admitted } = this.options;
    const { shortage } = this.context;
    const { service } = admitted.service;
    const priority = queuedPriority ?? shortage?.priorityOf(service, this.waitingGeneration());
    const { bySpeed, plannedTokens, server, totals, unreadTokens } = placement;
    const { promptTokens } = prompt;
    const capacityRequest = {
      believedReadingTokens: totals.readingTokens,
      ...(this.isLong() && { longRuns: 1 }),
      ...(bySpeed && { maxUnseenTokens: maxUnseenTokensAt(bySpeed.speed.prefillTokensPerMs) }),
      plannedTokens,
      ...(priority ? { priority } : {}),
      promptTokens,
      requestId: toId<RequestId>(admitted.request.requestId),
      serverId: server.serverId,
      unreadTokens,
    };
    this.context.engineCapacity.requestCapacity(capacityRequest, server, (isGranted) => {
      if (this.isStopped) {
        if (shortage && isGranted) {
          // The owner counts the grant until a heartbeat shows that nothing was sent.
          this.context.publishLoad();
        }
        return;
      }
      const isWithinTimeout = this.waitedMs() < callerTimeoutMs(admitted);
      if (isGranted && isWithinTimeout) {
        this.recordPlacement(placement, declines);
        onPlaced(server);
      } else if (queuedPriority) {
        shortage?.onDeclined(service, capacityRequest.requestId);
      } else if (declines < MAX_CONSECUTIVE_DECLINES) {
        this.search(declines + 1);
      } else {
        this.searchAfter(DECLINED_RECHECK_MS);
      }
    });
  }

  /** Whether the generation counts as a long run of its engine. */
  private isLong(): boolean {
    const { admitted, prompt } = this.options;
    const { route, service } = admitted;
    const { engine } = service;
    const { maxEventGapMs } = route;
    return (
      engine !== undefined && isLongStream({ engine, maxEventGapMs, producedTokens: 0, prompt })
    );
  }

  private recordPlacement(placement: Placement, declines: number): void {
    const { bySpeed, costMs, fits, prefixSavedMs, server, totals } = placement;
    const { clock, log, capacityWaits, metrics } = this.context;
    if (bySpeed) {
      const { firstEvent, otherStreams, ownEvents } = bySpeed.loss;
      metrics.observe('engine_speed_expected_loss', firstEvent + otherStreams + ownEvents);
    }
    if (prefixSavedMs !== undefined) {
      metrics.observe('cached_prefix_saved_ms', prefixSavedMs);
    }
    const waitedMs = this.waitedMs();
    capacityWaits.recordWait(waitedMs, clock.nowMs());
    const { service } = this.options.admitted.service;
    this.context.shortage?.recordPlaced(service, this.waitingGeneration());
    log.info('generation-placed', {
      costMs: Math.round(costMs),
      declines,
      fits,
      longRuns: totals.longRuns,
      plannedTokens: Math.round(totals.plannedTokens),
      readingTokens: Math.round(totals.readingTokens),
      requestId: this.options.admitted.request.requestId,
      runs: totals.runs,
      serverId: server.serverId,
      ...describeSpeed(placement),
      waitedMs: Math.round(waitedMs),
    });
  }

  private refuseForNoCapacity(waitedMs: number): void {
    const { clock, capacityWaits } = this.context;
    const nowMs = clock.nowMs();
    capacityWaits.recordWait(waitedMs, nowMs);
    const retryAfterMs = Math.max(DEFAULT_RETRY_AFTER_MS, Math.round(capacityWaits.meanMs(nowMs)));
    const detail = `no engine had capacity within ${Math.round(waitedMs)} ms`;
    this.options.onRefused('QUEUE_WAIT_TOO_LONG', detail, retryAfterMs);
  }

  private waitedMs(): number {
    return this.context.clock.nowMs() - this.startedMs;
  }
}

/** Learned speed and expected loss behind a placement; empty where engines are ranked as equal. */
function describeSpeed({
  bySpeed,
  prefixSavedMs,
}: Placement): Readonly<Record<string, ServingLogValue>> {
  const savedField =
    prefixSavedMs === undefined ? {} : { prefixSavedMs: Math.round(prefixSavedMs) };
  if (!bySpeed) {
    return savedField;
  }
  const { loss, speed } = bySpeed;
  return {
    ...savedField,
    eventMs: roundTo(speed.eventMs, 10),
    firstEventRisk: roundTo(loss.firstEvent, 100),
    otherStreamsRisk: roundTo(loss.otherStreams, 100),
    ownEventsRisk: roundTo(loss.ownEvents, 100),
    prefillTokensPerMs: roundTo(speed.prefillTokensPerMs, 10),
    prefillingEventMs: roundTo(speed.prefillingEventMs, 10),
    speedConfidence: roundTo(speed.confidence, 100),
  };
}

function roundTo(value: number, unitsPerOne: number): number {
  return Math.round(value * unitsPerOne) / unitsPerOne;
}
