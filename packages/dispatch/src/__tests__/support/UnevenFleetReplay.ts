import type { FailureDomainId, MemberId, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type {
  BackendServer,
  EngineLimits,
  EngineShare,
  Placement,
  PromptShape,
} from '../../index.js';
import {
  addShares,
  admitGeneration,
  EngineLoad,
  EngineSpeeds,
  grantsCapacity,
  isLongStream,
  maxUnseenTokensAt,
  PrefillShares,
  rankEngines,
  reservedOutputTokens,
  unreadPromptTokens,
} from '../../index.js';
import { ENGINE, promptOf, serverOf } from './DispatchFixtures.js';
import { UnevenEngineModel } from './UnevenEngineModel.js';

/** A fault of the replay, at a time. */
export interface ReplayFault {
  readonly atMs: number;
  readonly apply: (replay: UnevenFleetReplay) => void;
}

/** Options of a replay. */
export interface ReplayOptions {
  /** Time from which an engine is registered; 0 by default. */
  readonly absentUntilMs?: (index: number) => number;
  readonly daemons: number;
  readonly durationMs?: number;
  readonly engines?: number;
  readonly faults?: readonly ReplayFault[];
  readonly learnsSpeeds: boolean;
  readonly longPerS?: number;
  /** Relative time of a step of an engine. */
  readonly relativeTimeOf?: (index: number) => number;
  readonly seed: number;
  readonly shortPerS?: number;
}

/** Results over the streams that arrived after the warm-up. */
export interface ReplayResult {
  firstEventsLate: number;
  firstEventsOnTime: number;
  longStreams: number;
  /** Long streams with a gap above the limit of their route. */
  longWithLateEvent: number;
  /** Generations whose engines were ranked by learned speeds. */
  placedBySpeed: number;
  refused: number;
  shortWithLateEvent: number;
}

interface Daemon {
  readonly domain: number;
  readonly load: EngineLoad;
  readonly memberId: MemberId;
  readonly prefillShares: PrefillShares;
  readonly runs: Set<ReplayRun>;
  readonly speeds: EngineSpeeds;
  heartbeatScheduled: boolean;
}

interface ReplayRun {
  readonly arrivedMs: number;
  readonly daemon: Daemon;
  engine: ReplayEngine | undefined;
  events: number;
  readonly isLong: boolean;
  lastEventMs: number;
  longestGapMs: number;
  readonly outputTokens: number;
  readonly prompt: PromptShape;
  queuedTokens: number;
  runsAtStart: number;
  sentMs: number;
}

interface ReplayEngine {
  isStepping: boolean;
  readonly model: UnevenEngineModel;
  server: BackendServer;
}

export const REPLAY_LIMITS: EngineLimits = { ...ENGINE, memoryTokens: 26_896, slots: 24 };
export const MAX_GAP_MS = 180;
export const TARGET_MS = 1_806;
const CALLER_TIMEOUT_MS = 4 * TARGET_MS;
const WARM_UP_MS = 12_000;
const COOL_DOWN_MS = 15_000;
const DOMAINS = 3;
const SLOW_RELATIVE_TIME = 1.2;
const FAST_RELATIVE_TIME = 0.55;
const SPEEDS_PER_HEARTBEAT = 16;

/**
 * Replays a fleet of daemons that place streams on engines of two speeds, with reports as late as in
 * operation: 10 to 50 ms within a failure domain, up to 500 ms between domains.
 */
export class UnevenFleetReplay {
  private readonly daemons: Daemon[];
  private readonly events: {
    readonly action: () => void;
    readonly atMs: number;
    readonly order: number;
  }[] = [];
  private nowMs = 0;
  private order = 0;
  private readonly random: () => number;
  private readonly randomDemand: () => number;
  private readonly result: ReplayResult = {
    firstEventsLate: 0,
    firstEventsOnTime: 0,
    longStreams: 0,
    longWithLateEvent: 0,
    placedBySpeed: 0,
    refused: 0,
    shortWithLateEvent: 0,
  };

  readonly engines: ReplayEngine[];
  /** Reports between daemons are lost while this is set. */
  losesReports = false;

  constructor(private readonly options: ReplayOptions) {
    this.random = randomFrom(options.seed);
    this.randomDemand = randomFrom(options.seed + 1_000_003);
    this.daemons = Array.from({ length: options.daemons }, (_, index) => ({
      domain: index % DOMAINS,
      heartbeatScheduled: false,
      load: new EngineLoad(),
      memberId: toId<MemberId>(`m-${index}`),
      prefillShares: new PrefillShares(),
      runs: new Set<ReplayRun>(),
      speeds: new EngineSpeeds(),
    }));
    this.engines = Array.from({ length: options.engines ?? 32 }, (_, index) =>
      this.engineOf(index),
    );
  }

  run(): ReplayResult {
    const { durationMs = 60_000, faults = [], longPerS = 15, shortPerS = 17 } = this.options;
    this.scheduleArrivals(true, longPerS);
    this.scheduleArrivals(false, shortPerS);
    this.daemons.forEach((daemon) => {
      this.every(500, this.random() * 500, () => {
        this.heartbeat(daemon, true);
      });
    });
    for (let domain = 0; domain < DOMAINS; domain += 1) {
      this.every(250, this.random() * 250, () => {
        this.sendDomainLoad(domain);
      });
    }
    faults.forEach(({ apply, atMs }) => {
      this.at(atMs, () => {
        apply(this);
      });
    });
    for (let next = this.pop(); next && next.atMs <= durationMs; next = this.pop()) {
      this.nowMs = next.atMs;
      next.action();
    }
    return this.result;
  }

  /** Learned speeds of one daemon. */
  speedsOfDaemon(index: number): EngineSpeeds {
    return this.daemons[index]?.speeds ?? new EngineSpeeds();
  }

  /** The engine loses its runs and starts anew under its id. */
  restart(index: number, relativeTime: number): void {
    const engine = this.engines[index];
    if (engine) {
      engine.model.clear();
      engine.model.options.relativeTime = relativeTime;
      engine.server = { ...engine.server, startedEpochMs: engine.server.startedEpochMs + 60_000 };
      this.daemons.forEach(({ runs }) => {
        runs.forEach((run) => run.engine === engine && runs.delete(run));
      });
    }
  }

  /** Engine that holds the most long streams. */
  engineWithMostStreams(): ReplayEngine | undefined {
    const counts = new Map<ReplayEngine, number>();
    this.daemons.forEach(({ runs }) => {
      runs.forEach(({ engine, isLong }) => {
        if (engine && isLong) {
          counts.set(engine, (counts.get(engine) ?? 0) + 1);
        }
      });
    });
    return [...counts].sort(([, a], [, b]) => b - a)[0]?.[0];
  }

  private engineOf(index: number): ReplayEngine {
    const { relativeTimeOf = usualRelativeTime, seed } = this.options;
    const model = new UnevenEngineModel({
      memoryTokens: REPLAY_LIMITS.memoryTokens,
      randomOfSpan: (span) => randomFrom(seed * 7_919 + index * 104_729 + span * 15_485_863)(),
      relativeTime: relativeTimeOf(index),
      slots: REPLAY_LIMITS.slots,
      tokensPerEvent: REPLAY_LIMITS.tokensPerEvent,
    });
    const failureDomain = toId<FailureDomainId>(`d-${index % DOMAINS}`);
    const server = serverOf(`e-${String(index).padStart(2, '0')}`, { failureDomain });
    return { isStepping: false, model, server };
  }

  private scheduleArrivals(isLong: boolean, perS: number): void {
    const waitMs = (-Math.log(1 - this.randomDemand()) * 1_000) / perS;
    this.at(this.nowMs + waitMs, () => {
      this.scheduleArrivals(isLong, perS);
      this.arrive(isLong);
    });
  }

  private arrive(isLong: boolean): void {
    const daemon = this.daemons[Math.floor(this.randomDemand() * this.daemons.length)];
    if (!daemon) {
      return;
    }
    const prompt = isLong
      ? promptOf({ expectedOutputTokens: 585, promptTokens: 3_000 })
      : promptOf({ expectedOutputTokens: 8, maxOutputTokens: 12, promptTokens: 2_200 });
    const run: ReplayRun = {
      arrivedMs: this.nowMs,
      daemon,
      engine: undefined,
      events: 0,
      isLong,
      lastEventMs: 0,
      longestGapMs: 0,
      outputTokens: isLong ? this.longOutputTokens() : 8 + 4 * Number(this.randomDemand() < 0.5),
      prompt,
      queuedTokens: 0,
      runsAtStart: 0,
      sentMs: 0,
    };
    this.result.longStreams += this.counts(run) && isLong ? 1 : 0;
    this.place(run, 0);
  }

  private place(run: ReplayRun, declines: number): void {
    const waitedMs = this.nowMs - run.arrivedMs;
    const admission = admitGeneration({
      best: this.rank(run)[0],
      callerTimeoutMs: CALLER_TIMEOUT_MS,
      targetLatencyMs: TARGET_MS,
      urgency: 0,
      waitedMs,
    });
    if (admission.kind === 'refuse') {
      this.result.refused += this.counts(run) ? 1 : 0;
    } else if (admission.kind === 'wait') {
      this.at(this.nowMs + admission.recheckAfterMs * (1 + this.random()), () => {
        this.place(run, 0);
      });
    } else {
      this.askOwner(run, admission.placement, declines);
    }
  }

  private rank({ arrivedMs, daemon, isLong, prompt }: ReplayRun): readonly Placement[] {
    const { nowMs } = this;
    const { load, prefillShares, speeds } = daemon;
    const { absentUntilMs = () => 0 } = this.options;
    const engines = this.engines.filter((_, index) => absentUntilMs(index) <= nowMs);
    const serverIds = engines.map(({ server }) => server.serverId);
    const uneven = this.options.learnsSpeeds && speeds.areUneven(serverIds, nowMs);
    return rankEngines({
      candidates: engines.map(({ server }) => ({
        cachedTokens: 0,
        failureShare: 0,
        server,
        totals: load.totals(server.serverId, nowMs),
      })),
      engine: REPLAY_LIMITS,
      failureDomain: toId<FailureDomainId>(`d-${daemon.domain}`),
      prompt,
      randomUnit: this.random,
      speedOf: (serverId) => speeds.confidentSpeedOf(serverId, nowMs),
      ...(uneven && {
        uneven: {
          longStreamGapMs: MAX_GAP_MS,
          maxEventGapMs: isLong ? MAX_GAP_MS : 0,
          prefillShareOf: (serverId: ServerId) => prefillShares.shareOf(serverId),
          slowPeriods: speeds.slowPeriodPattern(),
          untilTargetMs: TARGET_MS - (nowMs - arrivedMs),
        },
      }),
    });
  }

  /** The owner of an engine is a daemon of its domain; a message takes 5 to 25 ms. */
  private askOwner(run: ReplayRun, placement: Placement, declines: number): void {
    const { bySpeed, plannedTokens, server, totals, unreadTokens } = placement;
    const { serverId } = server;
    const engine = this.engines.find((candidate) => candidate.server.serverId === serverId);
    const owner = this.ownerOf(server);
    const { promptTokens } = run.prompt;
    const request = { believedReadingTokens: totals.readingTokens, plannedTokens, promptTokens };
    const maxUnseenTokens = bySpeed && maxUnseenTokensAt(bySpeed.speed.prefillTokensPerMs);
    const wish = {
      ...request,
      ...(bySpeed && { maxUnseenTokens }),
      requestId: toId<never>('r'),
      serverId,
      unreadTokens,
    };
    this.after(owner === run.daemon ? 0 : 5 + this.random() * 20, () => {
      const known = owner.load.totals(serverId, this.nowMs);
      const isGranted = grantsCapacity(wish, known, REPLAY_LIMITS);
      if (isGranted && owner !== run.daemon) {
        const isAggregated = run.daemon.domain !== owner.domain;
        const reporterId = isAggregated ? domainIdOf(run.daemon.domain) : run.daemon.memberId;
        const longRuns = run.isLong ? { longRuns: 1 } : {};
        const share = {
          ...longRuns,
          plannedTokens,
          readingTokens: unreadTokens,
          runs: 1,
          serverId,
        };
        owner.load.recordGrant(
          { isAggregated, reporterId, share: { ...share, usedTokens: promptTokens } },
          this.nowMs,
        );
      }
      this.after(owner === run.daemon ? 0 : 5 + this.random() * 20, () => {
        run.daemon.load.recordOwnerReport(serverId, known, this.nowMs);
        if (isGranted && engine) {
          this.result.placedBySpeed += bySpeed && this.counts(run) ? 1 : 0;
          this.send(run, engine);
        } else if (declines < 3) {
          this.place(run, declines + 1);
        } else {
          this.after(20 * (1 + this.random()), () => {
            this.place(run, 0);
          });
        }
      });
    });
  }

  private send(run: ReplayRun, engine: ReplayEngine): void {
    const { daemon, prompt } = run;
    const totals = daemon.load.totals(engine.server.serverId, this.nowMs);
    run.engine = engine;
    run.sentMs = this.nowMs;
    run.queuedTokens = totals.readingTokens;
    run.runsAtStart = totals.runs;
    daemon.runs.add(run);
    this.loadChanged(daemon);
    engine.model.add({
      onEvent: () => {
        this.onEvent(run);
      },
      outputTokens: run.outputTokens,
      producedTokens: 0,
      promptTokens: prompt.promptTokens,
      unreadTokens: prompt.promptTokens,
    });
    this.step(engine);
  }

  private step(engine: ReplayEngine): void {
    if (engine.isStepping || engine.model.isIdle()) {
      return;
    }
    engine.isStepping = true;
    this.after(engine.model.stepMs(this.nowMs), () => {
      engine.isStepping = false;
      engine.model.finishStep(this.nowMs);
      this.step(engine);
    });
  }

  private onEvent(run: ReplayRun): void {
    const { daemon, engine } = run;
    if (!engine || !daemon.runs.has(run)) {
      return;
    }
    run.events += 1;
    const { nowMs } = this;
    const { server } = engine;
    if (run.events === 1) {
      this.onFirstEvent(run, server);
    } else {
      const gapMs = nowMs - run.lastEventMs;
      run.longestGapMs = Math.max(run.longestGapMs, gapMs);
      this.learn(daemon, server, gapMs);
    }
    run.lastEventMs = nowMs;
    if (run.events * REPLAY_LIMITS.tokensPerEvent >= run.outputTokens) {
      daemon.runs.delete(run);
      this.loadChanged(daemon);
      const isLate = this.counts(run) && run.longestGapMs > MAX_GAP_MS;
      this.result.longWithLateEvent += isLate && run.isLong ? 1 : 0;
      this.result.shortWithLateEvent += isLate && !run.isLong ? 1 : 0;
    }
  }

  private learn(daemon: Daemon, server: BackendServer, gapMs: number): void {
    if (this.options.learnsSpeeds) {
      const { readingTokens, runs } = daemon.load.totals(server.serverId, this.nowMs);
      const isPrefilling = readingTokens > 0;
      daemon.speeds.recordEvents({ eventCount: 1, gapMs, isPrefilling, runs, server }, this.nowMs);
    }
  }

  private onFirstEvent(run: ReplayRun, server: BackendServer): void {
    const { daemon, prompt, queuedTokens, runsAtStart, sentMs } = run;
    if (this.counts(run)) {
      const isOnTime = this.nowMs - run.arrivedMs <= TARGET_MS;
      this.result.firstEventsOnTime += Number(isOnTime);
      this.result.firstEventsLate += Number(!isOnTime);
    }
    daemon.speeds.recordFirstEvent(
      {
        queuedTokens,
        runs: runsAtStart,
        server,
        sinceSentMs: this.nowMs - sentMs,
        unreadTokens: prompt.promptTokens,
      },
      this.nowMs,
    );
    this.loadChanged(daemon);
  }

  /** Generations of the warm-up, and those that cannot end in the replay, do not count. */
  private counts({ arrivedMs }: ReplayRun): boolean {
    const { durationMs = 60_000 } = this.options;
    return arrivedMs >= WARM_UP_MS && arrivedMs <= durationMs - COOL_DOWN_MS;
  }

  private sharesOf(daemon: Daemon): readonly EngineShare[] {
    const sums = new Map<ServerId, EngineShare>();
    for (const { engine, events, prompt, sentMs } of daemon.runs) {
      const producedTokens = events * REPLAY_LIMITS.tokensPerEvent;
      const serverId = engine?.server.serverId;
      const maxEventGapMs = MAX_GAP_MS;
      const stream = { engine: REPLAY_LIMITS, maxEventGapMs, producedTokens, prompt };
      if (serverId) {
        const share: EngineShare = {
          ...(isLongStream(stream) && { longRuns: 1 }),
          plannedTokens: prompt.promptTokens + reservedOutputTokens(prompt, producedTokens),
          readingTokens:
            events > 0 ? 0 : unreadPromptTokens(prompt.promptTokens, this.nowMs - sentMs),
          runs: 1,
          serverId,
          usedTokens: prompt.promptTokens + producedTokens,
        };
        sums.set(serverId, addShares(sums.get(serverId), share));
      }
    }
    return [...sums.values()];
  }

  private loadChanged(daemon: Daemon): void {
    daemon.load.setOwnShares(this.sharesOf(daemon));
    if (!daemon.heartbeatScheduled) {
      daemon.heartbeatScheduled = true;
      this.after(10, () => {
        daemon.heartbeatScheduled = false;
        this.heartbeat(daemon, false);
      });
    }
  }

  private heartbeat(daemon: Daemon, isRegular: boolean): void {
    const { nowMs } = this;
    const shares = this.sharesOf(daemon);
    daemon.load.setOwnShares(shares);
    const reports = isRegular ? daemon.speeds.reports('domain', nowMs, SPEEDS_PER_HEARTBEAT) : [];
    if (isRegular && this.options.learnsSpeeds) {
      this.engines.forEach(({ server: { serverId } }) => {
        const { readingTokens } = daemon.load.totals(serverId, nowMs);
        daemon.prefillShares.record(serverId, readingTokens > 0, nowMs);
      });
    }
    for (const peer of this.daemons) {
      if (peer !== daemon && peer.domain === daemon.domain && !this.losesReports) {
        this.after(10 + this.random() * 40, () => {
          peer.load.recordMemberReport(daemon.memberId, shares, this.nowMs);
          reports.forEach((report) => {
            peer.speeds.recordReport(report, true, this.nowMs);
          });
        });
      }
    }
  }

  private sendDomainLoad(domain: number): void {
    const members = this.daemons.filter((daemon) => daemon.domain === domain);
    const aggregator = members[0];
    if (!aggregator || this.losesReports) {
      return;
    }
    const memberIds = new Set(members.map(({ memberId }) => memberId));
    const shares = aggregator.load.sumShares(memberIds, this.nowMs);
    const reports = aggregator.speeds.reports('otherDomains', this.nowMs, SPEEDS_PER_HEARTBEAT);
    for (const peer of this.daemons) {
      if (peer.domain !== domain) {
        this.after(50 + this.random() * 200, () => {
          peer.load.recordMemberReport(domainIdOf(domain), shares, this.nowMs);
          reports.forEach((report) => {
            peer.speeds.recordReport(report, false, this.nowMs);
          });
        });
      }
    }
  }

  private ownerOf({ failureDomain, serverId }: BackendServer): Daemon {
    const members = this.daemons.filter(({ domain }) => `d-${domain}` === failureDomain);
    const owner = members[Number(serverId.slice(2)) % members.length];
    if (!owner) {
      throw new Error(`no daemon in ${failureDomain}`);
    }
    return owner;
  }

  /** About 190 events in the mean, with a long tail. */
  private longOutputTokens(): number {
    const [radius, angle] = [this.randomDemand(), this.randomDemand()];
    const gauss = Math.sqrt(-2 * Math.log(1 - radius)) * Math.cos(2 * Math.PI * angle);
    const events = Math.round(180 * Math.exp(0.3 * gauss));
    return Math.min(2_000, events * REPLAY_LIMITS.tokensPerEvent);
  }

  private every(intervalMs: number, firstMs: number, action: () => void): void {
    this.at(firstMs, () => {
      action();
      this.every(intervalMs, this.nowMs + intervalMs, action);
    });
  }

  private after(delayMs: number, action: () => void): void {
    this.at(this.nowMs + delayMs, action);
  }

  /** Adds an event to the binary heap. */
  private at(atMs: number, action: () => void): void {
    const { events } = this;
    this.order += 1;
    events.push({ action, atMs, order: this.order });
    for (let index = events.length - 1; index > 0;) {
      const parent = (index - 1) >> 1;
      if (!this.isBefore(index, parent)) {
        return;
      }
      this.swap(index, parent);
      index = parent;
    }
  }

  private pop(): { readonly action: () => void; readonly atMs: number } | undefined {
    const { events } = this;
    this.swap(0, events.length - 1);
    const first = events.pop();
    for (let index = 0; ;) {
      const left = 2 * index + 1;
      const right = left + 1;
      const child = right < events.length && this.isBefore(right, left) ? right : left;
      if (child >= events.length || !this.isBefore(child, index)) {
        return first;
      }
      this.swap(child, index);
      index = child;
    }
  }

  private isBefore(a: number, b: number): boolean {
    const left = this.events[a];
    const right = this.events[b];
    if (!left || !right) {
      return false;
    }
    return left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);
  }

  private swap(a: number, b: number): void {
    const left = this.events[a];
    const right = this.events[b];
    if (left && right) {
      this.events[a] = right;
      this.events[b] = left;
    }
  }
}

/** One engine in four is fast. */
export function usualRelativeTime(index: number): number {
  return index % 4 === 0 ? FAST_RELATIVE_TIME : SLOW_RELATIVE_TIME;
}

function domainIdOf(domain: number): MemberId {
  return toId<MemberId>(`domain-${domain}`);
}

/** Random numbers of a seed (mulberry32). */
export function randomFrom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}
