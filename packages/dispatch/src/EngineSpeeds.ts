import type { ServerId } from '@laburnumgap/kernel';
import { PREFILL_TOKENS_PER_MS } from './EngineLoad.js';
import type { ServerIncarnation } from './ServerRegistry.js';
import type { SlowPeriodPattern } from './SlowPeriods.js';
import { SlowPeriods } from './SlowPeriods.js';
import type { SpeedEstimate, SpeedSamplesOptions } from './SpeedSamples.js';
import { SpeedSamples } from './SpeedSamples.js';

/** Events of one stream, as its daemon received them. */
export interface EventObservation {
  readonly eventCount: number;
  /** Time since the events before. */
  readonly gapMs: number;
  /** Whether the engine was known to prefill a prompt meanwhile. */
  readonly isPrefilling: boolean;
  /** Generations on the engine, as known. */
  readonly runs: number;
  readonly server: ServerIncarnation;
}

/** Time from sending a generation to its first event. */
export interface FirstEventObservation {
  /** Unread prompt tokens on the engine when the generation was sent. */
  readonly queuedTokens: number;
  readonly runs: number;
  readonly server: ServerIncarnation;
  readonly sinceSentMs: number;
  /** Prompt tokens of the generation that the engine had to prefill. */
  readonly unreadTokens: number;
}

/** Learned speed of an engine. */
export interface EngineSpeed {
  /** Age of the latest observation. */
  readonly ageMs: number;
  /** From 0 to 1, by the observed time and its age. */
  readonly confidence: number;
  /** Time of one event with no other generation on the engine; see {@link atRuns}. */
  readonly eventMs: number;
  /** The same while the engine prefills a prompt. */
  readonly prefillingEventMs: number;
  readonly prefillTokensPerMs: number;
}

/** What a daemon observed of an engine since its last report. */
export interface SpeedReport extends ServerIncarnation {
  /** Time since the latest observation. */
  readonly ageMs: number;
  readonly eventMs: number;
  /** Observed time slices behind `eventMs`; 0 for none. */
  readonly eventSlices: number;
  readonly prefillSamples: number;
  readonly prefillTokensPerMs: number;
  readonly prefillingEventMs: number;
  readonly prefillingEventSlices: number;
}

/** Receivers of reports; each observation is reported to each of them once. */
export type SpeedReportAudience = 'domain' | 'otherDomains';

type Quantity = 'decoding' | 'prefill' | 'prefilling';

/** Observations of one time slice, which is over when the next one begins. */
interface OpenSlice {
  eventCount: number;
  readonly index: number;
  sumMs: number;
}

interface UnreportedSamples {
  latestAtMs: number;
  readonly values: Record<Quantity, { value: number; weight: number }[]>;
}

interface ObservedEngine {
  cached: { readonly atMs: number; readonly speed: EngineSpeed | undefined } | undefined;
  readonly openSlices: Partial<Record<'decoding' | 'prefilling', OpenSlice>>;
  reportedMs: number;
  readonly samples: Readonly<Record<Quantity, SpeedSamples>>;
  readonly startedEpochMs: number;
  readonly unreported: Record<SpeedReportAudience, UnreportedSamples>;
}

/** Events of one slice are averaged: bytes that arrive together hide the time between events. */
const SLICE_MS = 200;
/**
 * A slow period, and a prompt whose prefill is not known yet, only lengthen an event. A quantile below
 * the median leaves both out.
 */
const DECODING: SpeedSamplesOptions = {
  maxAgeMs: 20_000,
  minWeight: 40,
  quantile: 0.4,
  windowMs: 8_000,
};
/** Known prefill may have ended already, which shortens an event; a slow period lengthens it. */
const PREFILLING: SpeedSamplesOptions = { ...DECODING, quantile: 0.6 };
/** One prompt gives one sample, so that they are counted for longer. */
const PREFILL: SpeedSamplesOptions = {
  maxAgeMs: 30_000,
  minWeight: 8,
  quantile: 0.5,
  windowMs: 15_000,
};
/** Each further generation lengthens a step by about this share of a step without any. */
const SLOWDOWN_PER_RUN = 0.017;
/** Slices for full confidence: as long as six slow periods. */
const FULL_CONFIDENCE_WEIGHT = 20;
/** Confidence falls from here on to none at `DECODING.maxAgeMs`: reports may stop for 3 s. */
const FRESH_MS = 4_000;
/** Half of the observed time for full confidence, or observations of half the longest age. */
export const MIN_SPEED_CONFIDENCE = 0.5;
/** Engines that differ by no more than this are ranked as equal. */
export const UNEVEN_FACTOR = 1.5;
/** The difference has to last for this long, so that the ranking does not change back and forth. */
const UNEVEN_DWELL_MS = 2_000;
/** The same where only one engine differs: longer than a series of slow periods stays in its samples. */
const SINGLE_UNEVEN_DWELL_MS = 10_000;
/** Shorter prompts are dominated by the time of the first event itself. */
const MIN_PREFILL_TOKENS = 500;
/** Queues that are known with delay distort a sample more than the prompt itself beyond this ratio. */
const MAX_QUEUE_RATIO = 1;
/** Used until events beside a prefill were observed at an engine. */
const PREFILLING_EVENT_FACTOR = 2;
/** Estimates are computed at most this often for each engine. */
const ESTIMATE_VALID_MS = 100;
/** Samples of an engine that wait for a report; the earliest are dropped. */
const MAX_UNREPORTED = 16;
/** Part of a new sample in the usual tokens that engines prefill in the time of one event. */
const PREFILL_SMOOTHING = 0.05;
const QUANTITIES: readonly Quantity[] = ['decoding', 'prefill', 'prefilling'];
const SLICED_QUANTITIES = ['decoding', 'prefilling'] as const;

/**
 * Learns how fast each engine of a service prefills and decodes, from the events that daemons receive.
 * Load pattern: engines of one service that differ lastingly by a factor of two, each of which also
 * slows down for about half a second now and then. Only lasting differences count; an engine that
 * restarts is learned anew.
 */
export class EngineSpeeds {
  private readonly engines = new Map<ServerId, ObservedEngine>();
  /** Tokens prefilled in the time of one event; about equal for fast and slow engines. */
  private prefillTokensInEvent: number | undefined;
  private readonly slowPeriods = new SlowPeriods();
  private unevenSinceMs: number | undefined;

  /** Records events that followed others of the same stream. */
  recordEvents(observation: EventObservation, nowMs: number): void {
    const { eventCount, gapMs, isPrefilling, runs, server } = observation;
    const engine = this.engineOf(server);
    if (!engine || eventCount === 0) {
      return;
    }
    const quantity = isPrefilling ? 'prefilling' : 'decoding';
    const index = Math.floor(nowMs / SLICE_MS);
    const open = engine.openSlices[quantity];
    const sumMs = gapMs / atRuns(1, runs);
    if (open?.index === index) {
      open.eventCount += eventCount;
      open.sumMs += sumMs;
      return;
    }
    this.closeSlices(engine, nowMs);
    engine.openSlices[quantity] = { eventCount, index, sumMs };
  }

  /** Records the first event of a generation. */
  recordFirstEvent(observation: FirstEventObservation, nowMs: number): void {
    const { queuedTokens, runs, server, sinceSentMs, unreadTokens } = observation;
    const engine = this.engineOf(server);
    if (
      !engine ||
      unreadTokens < MIN_PREFILL_TOKENS ||
      queuedTokens > MAX_QUEUE_RATIO * unreadTokens
    ) {
      return;
    }
    const eventMs = this.speedOf(server.serverId, nowMs)?.eventMs;
    const prefillMs = sinceSentMs - atRuns(eventMs ?? 0, runs);
    if (prefillMs <= 0) {
      return;
    }
    const tokensPerMs = (queuedTokens + unreadTokens) / prefillMs;
    addSample(engine, 'prefill', tokensPerMs, nowMs);
    if (eventMs !== undefined) {
      const tokens = this.prefillTokensInEvent ?? tokensPerMs * eventMs;
      this.prefillTokensInEvent = tokens + PREFILL_SMOOTHING * (tokensPerMs * eventMs - tokens);
    }
  }

  /**
   * Learned speed of an engine.
   *
   * @param serverId - the engine
   * @param nowMs - monotonic time
   * @returns the speed with its confidence; undefined when too little is known for an estimate
   */
  speedOf(serverId: ServerId, nowMs: number): EngineSpeed | undefined {
    const engine = this.engines.get(serverId);
    if (!engine) {
      return undefined;
    }
    if (!engine.cached || nowMs - engine.cached.atMs >= ESTIMATE_VALID_MS) {
      this.closeSlices(engine, nowMs);
      engine.cached = {
        atMs: nowMs,
        speed: estimateSpeed(engine, this.prefillTokensInEvent, nowMs),
      };
    }
    return engine.cached.speed;
  }

  /** Learned speed of an engine, only where its confidence suffices for placement. */
  confidentSpeedOf(serverId: ServerId, nowMs: number): EngineSpeed | undefined {
    const speed = this.speedOf(serverId, nowMs);
    return speed && speed.confidence >= MIN_SPEED_CONFIDENCE ? speed : undefined;
  }

  /**
   * Whether engines differ lastingly in speed by more than {@link UNEVEN_FACTOR}, in the
   * times of events both with and without a prefill: a single one can be distorted by prefills that are
   * known with delay. The times of first events depend on queues and are not compared.
   *
   * @param serverIds - the engines of the service
   * @param nowMs - monotonic time
   * @returns whether they differ, with confidence
   */
  areUneven(serverIds: readonly ServerId[], nowMs: number): boolean {
    const speeds = serverIds.flatMap((serverId) => this.confidentSpeedOf(serverId, nowMs) ?? []);
    const eventsMs = sorted(speeds.map(({ eventMs }) => eventMs));
    const prefillingMs = sorted(speeds.map(({ prefillingEventMs }) => prefillingEventMs));
    if (!differ(eventsMs) || !differ(prefillingMs)) {
      this.unevenSinceMs = undefined;
      return false;
    }
    this.unevenSinceMs ??= nowMs;
    const isSingle = !differ(eventsMs.slice(1, -1)) || !differ(prefillingMs.slice(1, -1));
    const dwellMs = isSingle ? SINGLE_UNEVEN_DWELL_MS : UNEVEN_DWELL_MS;
    return nowMs - this.unevenSinceMs >= dwellMs;
  }

  /** By how much and how often the engines of the service slow down for short periods. */
  slowPeriodPattern(): SlowPeriodPattern {
    return this.slowPeriods.pattern();
  }

  /**
   * Takes what was observed since the last reports to an audience; engines that were not reported for
   * longest come first. The own domain gets what this daemon observed itself, other domains also what
   * daemons of the own domain reported.
   *
   * @param audience - receivers of the reports
   * @param nowMs - monotonic time
   * @param maxCount - most engines to report
   * @returns the reports
   */
  reports(audience: SpeedReportAudience, nowMs: number, maxCount: number): readonly SpeedReport[] {
    this.engines.forEach((engine) => {
      this.closeSlices(engine, nowMs);
    });
    return [...this.engines]
      .filter(([, { unreported }]) => hasSamples(unreported[audience]))
      .sort(([, a], [, b]) => a.reportedMs - b.reportedMs)
      .slice(0, maxCount)
      .map(([serverId, engine]) => {
        const unreported = engine.unreported[audience];
        engine.reportedMs = nowMs;
        engine.unreported[audience] = noSamples();
        return toReport({ serverId, startedEpochMs: engine.startedEpochMs }, unreported, nowMs);
      });
  }

  /**
   * Records what another daemon observed.
   *
   * @param report - the report
   * @param isOwnDomain - whether the daemon is of this daemon's failure domain
   * @param nowMs - monotonic time
   */
  recordReport(report: SpeedReport, isOwnDomain: boolean, nowMs: number): void {
    const engine = this.engineOf(report);
    if (!engine) {
      return;
    }
    const atMs = nowMs - report.ageMs;
    const record = (quantity: Quantity, value: number, weight: number): void => {
      if (weight > 0 && value > 0) {
        engine.samples[quantity].record(value, weight, atMs);
        if (isOwnDomain) {
          addUnreportedTo(engine.unreported.otherDomains, quantity, value, weight, atMs);
        }
      }
    };
    record('decoding', report.eventMs, report.eventSlices);
    record('prefill', report.prefillTokensPerMs, report.prefillSamples);
    record('prefilling', report.prefillingEventMs, report.prefillingEventSlices);
  }

  /** Forgets engines that are no longer registered. */
  retain(isKnown: (serverId: ServerId) => boolean): void {
    for (const serverId of this.engines.keys()) {
      if (!isKnown(serverId)) {
        this.engines.delete(serverId);
      }
    }
  }

  /** State of an engine; undefined for observations of an earlier start of it. */
  private engineOf({ serverId, startedEpochMs }: ServerIncarnation): ObservedEngine | undefined {
    const known = this.engines.get(serverId);
    if (known && known.startedEpochMs >= startedEpochMs) {
      return known.startedEpochMs === startedEpochMs ? known : undefined;
    }
    const engine: ObservedEngine = {
      cached: undefined,
      openSlices: {},
      reportedMs: -Infinity,
      samples: {
        decoding: new SpeedSamples(DECODING),
        prefill: new SpeedSamples(PREFILL),
        prefilling: new SpeedSamples(PREFILLING),
      },
      startedEpochMs,
      unreported: { domain: noSamples(), otherDomains: noSamples() },
    };
    this.engines.set(serverId, engine);
    return engine;
  }

  /** Records the slices that are over. */
  private closeSlices(engine: ObservedEngine, nowMs: number): void {
    const currentIndex = Math.floor(nowMs / SLICE_MS);
    for (const quantity of SLICED_QUANTITIES) {
      const open = engine.openSlices[quantity];
      if (!open || open.index === currentIndex) {
        continue;
      }
      engine.openSlices[quantity] = undefined;
      const eventMs = open.sumMs / open.eventCount;
      const usual = engine.cached?.speed;
      if (quantity === 'decoding' && usual && usual.confidence >= MIN_SPEED_CONFIDENCE) {
        this.slowPeriods.record(eventMs / usual.eventMs);
      }
      addSample(engine, quantity, eventMs, (open.index + 1) * SLICE_MS);
    }
  }
}

/**
 * Time of an event with a number of generations on the engine.
 *
 * @param eventMs - time with none
 * @param runs - generations on the engine
 * @returns milliseconds
 */
export function atRuns(eventMs: number, runs: number): number {
  return eventMs * (1 + SLOWDOWN_PER_RUN * runs);
}

function sorted(timesMs: number[]): readonly number[] {
  return timesMs.sort((a, b) => a - b);
}

/** Whether the first and the last of sorted times differ by more than the factor. */
function differ(sortedMs: readonly number[]): boolean {
  return (sortedMs.at(-1) ?? 0) > UNEVEN_FACTOR * (sortedMs[0] ?? Infinity);
}

function estimateSpeed(
  { samples }: ObservedEngine,
  prefillTokensInEvent: number | undefined,
  nowMs: number,
): EngineSpeed | undefined {
  const decoding = samples.decoding.estimate(nowMs);
  const prefilling = samples.prefilling.estimate(nowMs);
  const prefill = samples.prefill.estimate(nowMs);
  const eventMs = decoding?.value ?? (prefilling && prefilling.value / PREFILLING_EVENT_FACTOR);
  if (eventMs === undefined) {
    return undefined;
  }
  const usualTokensPerMs =
    prefillTokensInEvent === undefined ? PREFILL_TOKENS_PER_MS : prefillTokensInEvent / eventMs;
  const prefillingEventMs = Math.max(
    eventMs,
    prefilling?.value ?? eventMs * PREFILLING_EVENT_FACTOR,
  );
  const ageMs = Math.min(decoding?.ageMs ?? Infinity, prefilling?.ageMs ?? Infinity);
  return {
    ageMs,
    confidence: decoding ? confidenceOf(decoding) : 0,
    eventMs,
    prefillingEventMs,
    prefillTokensPerMs: prefill?.value ?? usualTokensPerMs,
  };
}

function confidenceOf({ ageMs, weight }: SpeedEstimate): number {
  const freshness = 1 - Math.max(0, ageMs - FRESH_MS) / (DECODING.maxAgeMs - FRESH_MS);
  return Math.min(1, weight / FULL_CONFIDENCE_WEIGHT) * Math.max(0, freshness);
}

function addSample(engine: ObservedEngine, quantity: Quantity, value: number, atMs: number): void {
  engine.samples[quantity].record(value, 1, atMs);
  addUnreportedTo(engine.unreported.domain, quantity, value, 1, atMs);
  addUnreportedTo(engine.unreported.otherDomains, quantity, value, 1, atMs);
}

function noSamples(): UnreportedSamples {
  return { latestAtMs: -Infinity, values: { decoding: [], prefill: [], prefilling: [] } };
}

function hasSamples({ values }: UnreportedSamples): boolean {
  return QUANTITIES.some((quantity) => values[quantity].length > 0);
}

function addUnreportedTo(
  unreported: UnreportedSamples,
  quantity: Quantity,
  value: number,
  weight: number,
  atMs: number,
): void {
  const values = unreported.values[quantity];
  values.push({ value, weight });
  if (values.length > MAX_UNREPORTED) {
    values.shift();
  }
  unreported.latestAtMs = Math.max(unreported.latestAtMs, atMs);
}

function toReport(
  incarnation: ServerIncarnation,
  { latestAtMs, values }: UnreportedSamples,
  nowMs: number,
): SpeedReport {
  const decoding = summarize(values.decoding);
  const prefill = summarize(values.prefill);
  const prefilling = summarize(values.prefilling);
  return {
    ...incarnation,
    ageMs: Math.max(0, Math.round(nowMs - latestAtMs)),
    eventMs: decoding.value,
    eventSlices: decoding.weight,
    prefillSamples: prefill.weight,
    prefillTokensPerMs: prefill.value,
    prefillingEventMs: prefilling.value,
    prefillingEventSlices: prefilling.weight,
  };
}

/** Median of the values, and the sum of their weights. */
function summarize(values: readonly { value: number; weight: number }[]): {
  value: number;
  weight: number;
} {
  const byValue = [...values].sort((a, b) => a.value - b.value);
  return {
    value: byValue[Math.floor((byValue.length - 1) / 2)]?.value ?? 0,
    weight: values.reduce((sum, { weight }) => sum + weight, 0),
  };
}
