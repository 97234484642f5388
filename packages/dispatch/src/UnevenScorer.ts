import type { ServerId } from '@laburnumgap/kernel';
import { plannableTokens } from './EngineCapacity.js';
import type { EngineTotals } from './EngineLoad.js';
import type { EngineSpeed } from './EngineSpeeds.js';
import { atRuns } from './EngineSpeeds.js';
import { lateEventProbability, prefillRisk, streamRisk } from './LateEventRisk.js';
import { expectedRemainingEvents, isLongStream } from './LongStreams.js';
import { RESERVED_GROWTH_TOKENS } from './PlannedOutput.js';
import type { PromptShape } from './PromptShape.js';
import type { EngineLimits } from './ServingConfiguration.js';
import type { SlowPeriodPattern } from './SlowPeriods.js';

/** What placement knows where the engines of a service differ in speed. */
export interface UnevenEngines {
  /** Smallest gap between two events that a route to the service allows; 0 when none limits it. */
  readonly longStreamGapMs: number;
  /** The same of the request's own route. */
  readonly maxEventGapMs: number;
  /** Share of the time in which an engine prefilled prompts recently. */
  readonly prefillShareOf: (serverId: ServerId) => number;
  readonly slowPeriods: SlowPeriodPattern;
  /** Time left until the first event is late. */
  readonly untilTargetMs: number;
}

/** A generation and the engines that it can go to. */
export interface UnevenScorerInput {
  readonly engine: EngineLimits;
  readonly prompt: PromptShape;
  readonly serverIds: readonly ServerId[];
  readonly speedOf: (serverId: ServerId) => EngineSpeed | undefined;
  readonly uneven: UnevenEngines;
}

/** An engine with the load that is to be scored. */
export interface UnevenCandidate {
  readonly prefillMs: number;
  readonly serverId: ServerId;
  readonly totals: EngineTotals;
  readonly unreadTokens: number;
}

/** Expected number of streams that become late by a placement, by cause. */
export interface ExpectedLoss {
  /** The first event of the request. */
  readonly firstEvent: number;
  /** Later events of the request. */
  readonly ownEvents: number;
  /** Events of long streams on the engine, by the prefill of the request. */
  readonly otherStreams: number;
}

/** Cost of a placement by the learned speeds. */
export interface UnevenScore {
  readonly loss: ExpectedLoss;
  /** Cost of the loss, and of keeping long streams from an engine that suits them. */
  readonly lossMs: number;
  readonly runsMs: number;
}

/** Cost of one stream that gets a late event: twice that of a run that waits for another to end. */
const LATE_EVENT_COST_MS = 8_000;
/** The target of the first event goes first: a request is not sent to miss it to spare other streams. */
const LATE_FIRST_EVENT_COST_MS = 16_000;
/** Cost of one more run at an engine of usual speed, as for even engines. */
const COST_PER_RUN_MS = 25;
/** Up to this part of the time left, the first event is on time though the queue is known with delay. */
const SAFE_TARGET_FRACTION = 0.35;
/** From this part on it is late when the engine has a slow period. */
const LATE_TARGET_FRACTION = 0.6;
/**
 * Cost of a short output at a full engine where long streams are safe: its prefill and memory delay
 * there the end of streams, and others then have to start where they are not safe.
 */
const RESERVED_ENGINE_COST_MS = 6_000;
/**
 * Part of the prefills seen at an engine that still come once a long stream runs there, since others
 * then avoid it. Engines that prefill much keep doing so, and the others take the long streams.
 */
const STAYING_PREFILL_SHARE = 0.5;
/** Used while no engine has a speed with sufficient confidence. */
const UNKNOWN_SPEED: EngineSpeed = {
  ageMs: Infinity,
  confidence: 0,
  eventMs: 35,
  prefillTokensPerMs: 7,
  prefillingEventMs: 70,
};

/**
 * Scores the engines of a service for one generation by their learned speeds and the expected loss from
 * late events. Load pattern: long streams and long prompts with short outputs on engines of which some
 * are twice as fast. A prefill beside a stream makes its events late only on slow engines, so that the
 * cost separates long streams from prefills there, and leaves fast engines to long streams.
 */
export class UnevenScorer {
  private readonly expectedEvents: number;
  private readonly isLong: boolean;
  private readonly largestRisk: number;
  private readonly usualSpeed: EngineSpeed;

  constructor(private readonly input: UnevenScorerInput) {
    const { engine, prompt, serverIds, speedOf, uneven } = input;
    const stream = { engine, maxEventGapMs: uneven.maxEventGapMs, producedTokens: 0, prompt };
    this.expectedEvents = expectedRemainingEvents(stream);
    this.isLong = isLongStream(stream);
    const known = serverIds.flatMap((serverId) => speedOf(serverId) ?? []);
    this.usualSpeed = medianSpeed(known) ?? UNKNOWN_SPEED;
    this.largestRisk = Math.max(0, ...known.map((speed) => this.besidePrefillRisk(speed)));
  }

  /** Learned speed of an engine; that of the median engine where nothing is known of it. */
  speedOf(serverId: ServerId): EngineSpeed {
    return this.input.speedOf(serverId) ?? { ...this.usualSpeed, confidence: 0 };
  }

  /**
   * Output tokens beyond the reserved ones that the runs of a faster engine produce in the time for which
   * growth is reserved.
   *
   * @param serverId - the engine
   * @param runs - generations on the engine
   * @returns tokens; 0 for engines of usual speed and slower ones
   */
  extraGrowthTokens(serverId: ServerId, runs: number): number {
    const relativeSpeed = this.usualSpeed.eventMs / this.speedOf(serverId).eventMs;
    return Math.max(0, relativeSpeed - 1) * RESERVED_GROWTH_TOKENS * (runs + 1);
  }

  /**
   * Scores one engine.
   *
   * @param candidate - the engine and its load
   * @returns the parts of the cost that depend on its speed, apart from the prefill itself
   */
  score({ prefillMs, serverId, totals, unreadTokens }: UnevenCandidate): UnevenScore {
    const { engine, uneven } = this.input;
    const { longStreamGapMs, maxEventGapMs, slowPeriods } = uneven;
    const speed = this.speedOf(serverId);
    const runs = totals.runs + 1;
    const shared = { runs, slowPeriods, speed };
    const longRuns = totals.longRuns ?? 0;
    const loss: ExpectedLoss = {
      firstEvent: this.firstEventRisk(prefillMs + atRuns(speed.eventMs, runs)),
      otherStreams:
        longRuns * prefillRisk({ ...shared, maxEventGapMs: longStreamGapMs, unreadTokens }),
      ownEvents: streamRisk({
        ...shared,
        expectedEvents: this.expectedEvents,
        maxEventGapMs,
        prefillShare: STAYING_PREFILL_SHARE * uneven.prefillShareOf(serverId),
      }),
    };
    const occupiedShare = Math.min(1, totals.plannedTokens / plannableTokens(engine));
    const safety = Math.max(0, this.largestRisk - this.besidePrefillRisk(speed));
    const reservedMs = this.isLong ? 0 : RESERVED_ENGINE_COST_MS * occupiedShare * safety;
    return {
      loss,
      lossMs:
        LATE_FIRST_EVENT_COST_MS * loss.firstEvent +
        LATE_EVENT_COST_MS * (loss.otherStreams + loss.ownEvents) +
        reservedMs,
      runsMs: totals.runs * COST_PER_RUN_MS * (speed.eventMs / this.usualSpeed.eventMs),
    };
  }

  /** Probability that an event beside a prefill is late in a slow period of an engine. */
  private besidePrefillRisk(speed: EngineSpeed): number {
    const { longStreamGapMs, slowPeriods } = this.input.uneven;
    return lateEventProbability(speed.prefillingEventMs, longStreamGapMs, slowPeriods);
  }

  private firstEventRisk(usualMs: number): number {
    const { slowPeriods, untilTargetMs } = this.input.uneven;
    const expectedMs = usualMs * (1 + slowPeriods.share * (slowPeriods.factor - 1));
    const fraction = expectedMs / Math.max(1, untilTargetMs);
    const excess =
      (fraction - SAFE_TARGET_FRACTION) / (LATE_TARGET_FRACTION - SAFE_TARGET_FRACTION);
    // Squared, since several slow periods or unknown prompts have to come together to use up most of it.
    return Math.min(1, Math.max(0, excess)) ** 2;
  }
}

function medianSpeed(speeds: readonly EngineSpeed[]): EngineSpeed | undefined {
  const byEventMs = [...speeds].sort((a, b) => a.eventMs - b.eventMs);
  return byEventMs[Math.floor(byEventMs.length / 2)];
}
