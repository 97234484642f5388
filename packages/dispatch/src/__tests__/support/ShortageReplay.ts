import type { MemberId, RequestId, ServerId, TeamId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type {
  CapacityPriority,
  CapacityRequest,
  EngineLimits,
  EngineTotals,
  Placement,
  RankReport,
  WaitingGeneration,
} from '../../index.js';
import {
  admitGeneration,
  grantsCapacity,
  lacksCapacity,
  rankEngines,
  RecentWaits,
  remainingCapacity,
  reservedOutputTokens,
  ShortageAdmission,
  unreadPromptTokens,
} from '../../index.js';
import { ENGINE, promptOf, serverOf } from './DispatchFixtures.js';

/** A kind of stream, with what it is worth to its caller. */
export interface ReplayKind {
  readonly events: readonly [min: number, max: number];
  readonly lateValue: number;
  readonly promptTokens: number;
  readonly rank: number;
  readonly targetLatencyMs: number;
  readonly timeoutMs: number;
  readonly value: number;
}

export const LONG: ReplayKind = {
  events: [150, 224],
  lateValue: 26,
  promptTokens: 3_000,
  rank: 2,
  targetLatencyMs: 4_006,
  timeoutMs: 16_000,
  value: 110,
};
export const SHORT: ReplayKind = {
  events: [2, 3],
  lateValue: 3.5,
  promptTokens: 2_200,
  rank: 0,
  targetLatencyMs: 1_504,
  timeoutMs: 6_000,
  value: 58,
};
export const LONG_PER_S = 13.9;
export const SHORT_PER_S = 27;
export const REPLAY_ENGINE: EngineLimits = { ...ENGINE, memoryTokens: 26_989, slots: 24 };

/** Options of {@link replay}. */
export interface ReplayOptions {
  /** Daemon that dies, and when. */
  readonly deadDaemon?: { readonly atMs: number; readonly daemon: number };
  readonly daemons: number;
  /** Engines in use at a time. */
  readonly enginesAt?: (nowMs: number) => number;
  readonly isShared: boolean;
  /** Refused callers ignore the spread of Retry-After and return at the next multiple of this. */
  readonly returnsEveryMs?: number;
  readonly perSAt: (kind: ReplayKind, nowMs: number) => number;
  readonly seed: number;
  /** Interval in which nothing that other daemons report arrives. */
  readonly silence?: readonly [fromMs: number, untilMs: number];
}

/** A caller's generation and what became of it. */
export interface ReplayOutcome {
  readonly arrivedMs: number;
  firstEventMs: number | undefined;
  readonly kind: ReplayKind;
  readonly promptTokens: number;
  readonly retriesMs: number[];
  readonly team: number;
}

interface Run {
  readonly domain: number;
  left: number;
  readonly outcome: ReplayOutcome;
  produced: number;
  readonly prompt: number;
  unread: number;
}

interface Waiting {
  asking: boolean;
  readonly generation: WaitingGeneration;
  readonly outcome: ReplayOutcome;
  /** Baseline: time of the next check and consecutive declines. */
  checkMs: number;
  declines: number;
  heldEngine?: number;
}

interface Pending {
  readonly atMs: number;
  readonly domain: number;
  readonly engine: number;
  readonly share: EngineTotals;
}

interface Daemon {
  readonly admission: ShortageAdmission;
  readonly domain: number;
  readonly id: MemberId;
  isDead: boolean;
  readonly ownerTotals: Map<number, { readonly atMs: number; readonly totals: EngineTotals }>;
  pending: Pending[];
  readonly silentOwners: Map<number, number>;
  readonly waiting: Map<RequestId, Waiting>;
  readonly waits: RecentWaits;
}

const STEP_MS = 10;
const DOMAINS = 3;
const ENGINES = 34;
const TEAMS = 12;
const MESH_MAX_DAEMONS = 17;
/** Delays within a domain and between domains, the latter with the interval of the sums. */
const NEAR_MS = 30;
const FAR_MS = 350;
const HISTORY_STEPS = 500;
const NO_CAPACITY = { fits: false } as Placement;
const ZERO: EngineTotals = { plannedTokens: 0, readingTokens: 0, runs: 0, usedTokens: 0 };

/** Random numbers in [0, 1), the same for a seed. */
export function randomOf(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let value = Math.imul(state ^ (state >>> 15), state | 1);
    value ^= value + Math.imul(value ^ (value >>> 7), value | 61);
    return ((value ^ (value >>> 14)) >>> 0) / 4_294_967_296;
  };
}

function add(a: EngineTotals, b: EngineTotals): EngineTotals {
  return {
    plannedTokens: a.plannedTokens + b.plannedTokens,
    readingTokens: a.readingTokens + b.readingTokens,
    runs: a.runs + b.runs,
    usedTokens: a.usedTokens + b.usedTokens,
  };
}

/** Replays arrivals against daemons and engines; the engines prefill in order and decode in steps. */
export function replay(options: ReplayOptions, durationMs: number): readonly ReplayOutcome[] {
  const { daemons: daemonCount, isShared, perSAt, seed } = options;
  const arrivals = randomOf(seed);
  const random = randomOf(seed + 1);
  const outcomes: ReplayOutcome[] = [];
  const engines: Run[][] = Array.from({ length: ENGINES }, () => []);
  const servers = engines.map((_runs, index) => serverOf(`e${index}`));
  const history: EngineTotals[][][] = [];
  const later = new Map<number, (() => void)[]>();
  const isMesh = daemonCount < MESH_MAX_DAEMONS;
  let nowMs = 0;
  let nextId = 0;
  const daemons = Array.from({ length: daemonCount }, (_none, index): Daemon => {
    return {
      admission: new ShortageAdmission(),
      domain: index % DOMAINS,
      id: toId<MemberId>(`m${index}`),
      isDead: false,
      ownerTotals: new Map(),
      pending: [],
      silentOwners: new Map(),
      waiting: new Map(),
      waits: new RecentWaits(),
    };
  });
  const after = (delayMs: number, action: () => void): void => {
    const atMs = Math.ceil((nowMs + delayMs) / STEP_MS) * STEP_MS;
    const actions = later.get(atMs) ?? [];
    actions.push(action);
    later.set(atMs, actions);
  };
  const engineCount = (): number => options.enginesAt?.(nowMs) ?? ENGINES;
  const isSilent = (): boolean =>
    options.silence !== undefined && nowMs >= options.silence[0] && nowMs < options.silence[1];
  const seenAtMs = (viewer: number, domain: number): number => {
    const delayMs = isMesh || viewer === domain ? NEAR_MS : FAR_MS;
    const [fromMs, untilMs] = options.silence ?? [Infinity, Infinity];
    const seenMs = nowMs - delayMs;
    return seenMs >= fromMs && nowMs < untilMs + delayMs ? Math.max(fromMs - delayMs, 0) : seenMs;
  };
  const shareOf = (run: Run): EngineTotals => ({
    plannedTokens: run.prompt + reservedOutputTokens(promptOfRun(run.outcome), run.produced),
    readingTokens: run.unread > 0 ? Math.max(run.unread, run.prompt / 2) : 0,
    runs: 1,
    usedTokens: run.prompt + run.produced,
  });

  let views = new Map<number, EngineTotals[]>();
  const viewOf = (domain: number): EngineTotals[] => {
    let view = views.get(domain);
    if (!view) {
      view = engines.map((_runs, engine) => {
        let sum = ZERO;
        for (let other = 0; other < DOMAINS; other += 1) {
          const step = Math.max(0, Math.floor(seenAtMs(domain, other) / STEP_MS));
          sum = add(sum, history[step % HISTORY_STEPS]?.[engine]?.[other] ?? ZERO);
        }
        return sum;
      });
      views.set(domain, view);
    }
    return view;
  };
  const totalsOf = (daemon: Daemon, engine: number): EngineTotals => {
    let sum = viewOf(daemon.domain)[engine] ?? ZERO;
    for (const grant of daemon.pending) {
      if (grant.engine === engine && grant.atMs > seenAtMs(daemon.domain, grant.domain)) {
        const readingTokens = unreadPromptTokens(grant.share.readingTokens, nowMs - grant.atMs);
        sum = add(sum, { ...grant.share, readingTokens });
      }
    }
    const reported = daemon.ownerTotals.get(engine);
    if (!reported || nowMs - reported.atMs > 250) {
      return sum;
    }
    const { totals } = reported;
    return {
      plannedTokens: Math.max(sum.plannedTokens, totals.plannedTokens),
      readingTokens: Math.max(sum.readingTokens, totals.readingTokens),
      runs: Math.max(sum.runs, totals.runs),
      usedTokens: Math.max(sum.usedTokens, totals.usedTokens),
    };
  };
  const bestFor = (daemon: Daemon, waiting: Waiting, isHeld = false): Placement | undefined => {
    const { generation } = waiting;
    const candidates = servers.slice(0, engineCount()).map((server, engine) => ({
      cachedTokens: 0,
      failureShare: 0,
      server,
      totals: totalsOf(daemon, engine),
    }));
    const fitting = candidates.filter(
      ({ totals }) => remainingCapacity(totals, generation, REPLAY_ENGINE).fits,
    );
    if (fitting.length === 0 && !isHeld) {
      return undefined;
    }
    const held = candidates.filter((_candidate, engine) => engine === waiting.heldEngine);
    const unfitting = held.length > 0 ? held : candidates;
    return rankEngines({
      candidates: fitting.length > 0 ? fitting : unfitting,
      engine: REPLAY_ENGINE,
      failureDomain: toId('a'),
      prompt: promptOf({
        expectedOutputTokens: generation.outputTokens / 1.3,
        promptTokens: generation.promptTokens,
      }),
      randomUnit: random,
    })[0];
  };
  const ownerOf = (engine: number, asking: Daemon): Daemon => {
    const domain = engine % DOMAINS;
    const isOpen = (daemon: Daemon, index: number): boolean => {
      const { atMs = Infinity } = options.deadDaemon ?? {};
      const isKnownDead = daemon.isDead && nowMs - atMs > 1_200;
      return !isKnownDead && nowMs - (asking.silentOwners.get(index) ?? -Infinity) > 500;
    };
    const own = daemons.filter(
      (daemon, index) => daemon.domain === domain && isOpen(daemon, index),
    );
    const all = own.length > 0 ? own : daemons.filter(isOpen);
    return all[Math.floor(engine / DOMAINS) % all.length] ?? asking;
  };
  const decide = (owner: Daemon, asking: Daemon, request: CapacityRequest, engine: number) => {
    const requesterId = owner === asking ? undefined : asking.id;
    const totals = totalsOf(owner, engine);
    const reserve = isShared
      ? owner.admission.reserveFor(request, requesterId, engineCount(), nowMs)
      : undefined;
    const isGranted = grantsCapacity(request, totals, REPLAY_ENGINE, reserve);
    const isLacking = lacksCapacity(request, totals, REPLAY_ENGINE, reserve);
    owner.admission.recordDecision(request, isLacking, nowMs);
    if (isGranted) {
      const { plannedTokens, promptTokens, unreadTokens } = request;
      const share = {
        plannedTokens,
        readingTokens: unreadTokens,
        runs: 1,
        usedTokens: promptTokens,
      };
      const grant = { atMs: nowMs, domain: asking.domain, engine, share };
      owner.pending = owner.pending.filter(({ atMs }) => nowMs - atMs < 1_000);
      owner.pending.push(grant);
    }
    return { isGranted, totals };
  };
  const place = (daemon: Daemon, waiting: Waiting, engine: number): void => {
    const { generation, outcome } = waiting;
    const { plannedTokens, promptTokens, requestId } = generation;
    daemon.waiting.delete(requestId);
    daemon.waits.recordWait(nowMs - generation.arrivedMs, nowMs);
    daemon.admission.recordPlaced(generation, nowMs);
    const share = { plannedTokens, readingTokens: promptTokens, runs: 1, usedTokens: promptTokens };
    daemon.pending = daemon.pending.filter(({ atMs }) => nowMs - atMs < 1_000);
    daemon.pending.push({ atMs: nowMs, domain: daemon.domain, engine, share });
    const run = { daemon, domain: daemon.domain, outcome, prompt: promptTokens, requestId };
    const [min, max] = outcome.kind.events;
    const events = min + Math.floor((((promptTokens * 7_919) % 1_000) / 1_000) * (max - min + 1));
    engines[engine]?.push({ ...run, left: events * 4, produced: 0, unread: promptTokens });
    ends.set(outcome, { daemon, requestId });
  };
  const ends = new Map<ReplayOutcome, { readonly daemon: Daemon; readonly requestId: RequestId }>();
  const ask = (daemon: Daemon, waiting: Waiting, best: Placement, priority?: CapacityPriority) => {
    const { generation } = waiting;
    const engine = servers.indexOf(best.server);
    const request: CapacityRequest = {
      believedReadingTokens: best.totals.readingTokens,
      plannedTokens: generation.plannedTokens,
      ...(isShared ? { priority } : {}),
      promptTokens: generation.promptTokens,
      requestId: generation.requestId,
      serverId: toId<ServerId>(best.server.serverId),
      unreadTokens: best.unreadTokens,
    };
    waiting.asking = true;
    const answer = (isGranted: boolean, totals?: EngineTotals): void => {
      waiting.asking = false;
      if (totals) {
        daemon.ownerTotals.set(engine, { atMs: nowMs, totals });
      }
      if (daemon.isDead || !daemon.waiting.has(generation.requestId)) {
        return;
      }
      if (isGranted && engine < engineCount()) {
        place(daemon, waiting, engine);
      } else {
        waiting.declines += 1;
        waiting.checkMs = nowMs + (waiting.declines % 4 === 0 ? 20 * (1 + random()) : 0);
      }
    };
    const send = (attempts: number): void => {
      const owner = ownerOf(engine, daemon);
      if (owner === daemon) {
        const { isGranted, totals } = decide(owner, daemon, request, engine);
        answer(isGranted, totals);
        return;
      }
      after(STEP_MS, () => {
        if (owner.isDead) {
          after(110, () => {
            daemon.silentOwners.set(daemons.indexOf(owner), nowMs);
            if (attempts < 2) {
              send(attempts + 1);
            } else {
              answer(true);
            }
          });
          return;
        }
        const { isGranted, totals } = decide(owner, daemon, request, engine);
        after(STEP_MS, () => {
          answer(isGranted, totals);
        });
      });
    };
    send(1);
  };
  const refuse = (daemon: Daemon, waiting: Waiting, retryAfterMs: number): void => {
    const { outcome, generation } = waiting;
    daemon.waiting.delete(generation.requestId);
    const leftMs = outcome.arrivedMs + outcome.kind.timeoutMs - nowMs;
    if (outcome.retriesMs.length === 0 && retryAfterMs <= leftMs / 3) {
      const everyMs = options.returnsEveryMs;
      const dueMs = nowMs + retryAfterMs;
      const returnMs = everyMs === undefined ? dueMs : Math.ceil(dueMs / everyMs) * everyMs;
      outcome.retriesMs.push(returnMs);
      after(returnMs - nowMs, () => {
        arrive(outcome);
      });
    }
  };
  const arrive = (outcome: ReplayOutcome): void => {
    const live = daemons.filter(({ isDead }) => !isDead);
    const daemon = live[Math.floor(random() * live.length)];
    if (!daemon) {
      return;
    }
    const { kind, promptTokens } = outcome;
    const prompt = promptOfRun(outcome);
    nextId += 1;
    const generation: WaitingGeneration = {
      arrivedMs: nowMs,
      callerTimeoutMs: 4 * kind.targetLatencyMs,
      outputTokens: prompt.expectedOutputTokens * 1.3,
      plannedTokens: promptTokens + reservedOutputTokens(prompt, 0),
      promptTokens,
      rank: kind.rank,
      requestId: toId<RequestId>(`r${nextId}`),
      targetLatencyMs: kind.targetLatencyMs,
      teamId: toId<TeamId>(`t${outcome.team}`),
    };
    const waiting = { asking: false, checkMs: nowMs, declines: 0, generation, outcome };
    daemon.waiting.set(generation.requestId, waiting);
  };
  const runBaseline = (daemon: Daemon): void => {
    for (const waiting of [...daemon.waiting.values()]) {
      if (waiting.asking || waiting.checkMs > nowMs) {
        continue;
      }
      const { generation } = waiting;
      const waitedMs = nowMs - generation.arrivedMs;
      const { callerTimeoutMs, rank, targetLatencyMs } = generation;
      const best = bestFor(daemon, waiting) ?? NO_CAPACITY;
      const input = { best, callerTimeoutMs, targetLatencyMs, urgency: rank, waitedMs };
      const admission = admitGeneration(input);
      if (admission.kind === 'send') {
        ask(daemon, waiting, admission.placement);
      } else if (admission.kind === 'wait') {
        waiting.checkMs = nowMs + admission.recheckAfterMs * (1 + random());
      } else {
        daemon.waits.recordWait(waitedMs, nowMs);
        refuse(daemon, waiting, Math.max(500, Math.round(daemon.waits.meanMs(nowMs))));
      }
    }
  };
  const runShared = (daemon: Daemon): void => {
    const { admission } = daemon;
    for (const waiting of daemon.waiting.values()) {
      const { generation } = waiting;
      if (waiting.asking || admission.isWaiting(generation.requestId) || waiting.checkMs > nowMs) {
        continue;
      }
      const best = admission.isShort() ? undefined : bestFor(daemon, waiting);
      if (best?.fits) {
        ask(daemon, waiting, best, admission.priorityOf(generation, nowMs));
      } else {
        admission.add(generation);
      }
    }
    const { refusals, turns } = admission.decide(nowMs, random);
    for (const { requestId, retryAfterMs } of refusals) {
      const waiting = daemon.waiting.get(requestId);
      if (waiting) {
        refuse(daemon, waiting, retryAfterMs);
      }
    }
    let misfits = 0;
    let asking = [...daemon.waiting.values()].filter((waiting) => waiting.asking).length;
    for (const { priority, requestId } of turns) {
      const waiting = daemon.waiting.get(requestId);
      if (!waiting || waiting.asking || waiting.checkMs > nowMs) {
        continue;
      }
      if (misfits >= 8 || asking >= 4) {
        return;
      }
      const best = bestFor(daemon, waiting, priority.isHeld);
      if (best) {
        waiting.heldEngine = best.fits ? undefined : servers.indexOf(best.server);
        ask(daemon, waiting, best, priority);
        asking += 1;
      } else {
        misfits += 1;
      }
    }
  };
  const sendReports = (): void => {
    if (isSilent() || !isShared) {
      return;
    }
    daemons.forEach((daemon, index) => {
      if (daemon.isDead) {
        return;
      }
      if (nowMs % 100 === 0) {
        daemon.admission.learnUse(nowMs);
      }
      const isDue = (intervalMs: number): boolean => (nowMs + index * STEP_MS) % intervalMs === 0;
      const deliver = (
        to: readonly Daemon[],
        id: MemberId,
        rows: readonly RankReport[],
        delayMs: number,
      ): void => {
        after(delayMs, () => {
          to.forEach((peer) => {
            peer.admission.recordReport(id, rows, nowMs);
          });
        });
      };
      if (!isDue(50)) {
        return;
      }
      const peers = daemons.filter(
        (peer) => peer !== daemon && (isMesh || peer.domain === daemon.domain),
      );
      if (daemon.waiting.size + daemon.pending.length > 0 || isDue(500)) {
        const rows = daemon.admission.report(nowMs);
        deliver(peers, daemon.id, rows, NEAR_MS);
      }
      if (!isMesh && index < DOMAINS && isDue(250)) {
        const rows = daemon.admission.domainReport(new Set(peers.map(({ id }) => id)), nowMs);
        const far = daemons.filter((peer) => peer.domain !== daemon.domain);
        deliver(far, toId<MemberId>(`domain${daemon.domain}`), rows, FAR_MS - 250);
      }
    });
  };
  const stepEngines = (): void => {
    engines.forEach((runs, engine) => {
      if (engine >= engineCount()) {
        runs.splice(0).forEach((run) => {
          endRun(run);
        });
      }
      let prefillTokens = 7 * STEP_MS;
      const isPrefilling = runs.some(({ unread }) => unread > 0);
      const eventMs = (18 + 6 * runs.length) * (isPrefilling ? 1.5 : 1);
      for (const run of [...runs]) {
        const read = Math.min(prefillTokens, run.unread);
        if (run.unread > 0) {
          run.unread -= read;
          prefillTokens -= read;
          if (run.unread === 0) {
            run.outcome.firstEventMs ??= nowMs + eventMs;
          }
          continue;
        }
        run.produced += (4 * STEP_MS) / eventMs;
        if (run.produced >= run.left) {
          runs.splice(runs.indexOf(run), 1);
          endRun(run);
        }
      }
    });
    history[(nowMs / STEP_MS) % HISTORY_STEPS] = engines.map((runs) => {
      const byDomain = Array.from({ length: DOMAINS }, () => ZERO);
      runs.forEach((run) => {
        byDomain[run.domain] = add(byDomain[run.domain] ?? ZERO, shareOf(run));
      });
      return byDomain;
    });
  };
  const endRun = ({ outcome }: Run): void => {
    const end = ends.get(outcome);
    end?.daemon.admission.remove(end.requestId);
  };
  for (; nowMs < durationMs; nowMs += STEP_MS) {
    views = new Map();
    if (options.deadDaemon?.atMs === nowMs) {
      const dead = daemons[options.deadDaemon.daemon];
      if (dead) {
        dead.isDead = true;
        engines.forEach((runs) => {
          runs.splice(
            0,
            runs.length,
            ...runs.filter(({ outcome }) => ends.get(outcome)?.daemon !== dead),
          );
        });
      }
    }
    const due = later.get(nowMs) ?? [];
    later.delete(nowMs);
    due.forEach((action) => {
      action();
    });
    for (const kind of [SHORT, LONG]) {
      const isArrival = arrivals() < (perSAt(kind, nowMs) * STEP_MS) / 1_000;
      const size = arrivals();
      const team = arrivals();
      if (isArrival) {
        const outcome = {
          arrivedMs: nowMs,
          firstEventMs: undefined,
          kind,
          promptTokens: Math.round(kind.promptTokens * (0.7 + 0.6 * size)),
          retriesMs: [],
          // The first team sends a third of all.
          team: Math.max(0, Math.floor((team * 3 - 1) * (TEAMS / 2))),
        };
        outcomes.push(outcome);
        arrive(outcome);
      }
    }
    for (const daemon of daemons.filter(({ isDead }) => !isDead)) {
      for (const [requestId, { outcome }] of daemon.waiting) {
        if (nowMs - outcome.arrivedMs >= outcome.kind.timeoutMs) {
          daemon.waiting.delete(requestId);
          daemon.admission.remove(requestId);
        }
      }
      (isShared ? runShared : runBaseline)(daemon);
    }
    sendReports();
    stepEngines();
  }
  return outcomes;
}

function promptOfRun({ kind, promptTokens }: ReplayOutcome) {
  const expectedOutputTokens = (4 * (kind.events[0] + kind.events[1])) / 2 / 1.3;
  return { ...promptOf(), expectedOutputTokens, promptTokens };
}

/** Value that a caller got. */
export function valueOf({ arrivedMs, firstEventMs, kind }: ReplayOutcome): number {
  if (firstEventMs === undefined || firstEventMs - arrivedMs > kind.timeoutMs) {
    return 0;
  }
  return firstEventMs - arrivedMs <= kind.targetLatencyMs ? kind.value : kind.lateValue;
}

/** What became of some generations. */
export interface ReplaySummary {
  readonly offered: number;
  readonly served: number;
  readonly value: number;
  /** Value as a share of the value if all were on time. */
  readonly valueShare: number;
}

/** Sums up the outcomes of some generations. */
export function summarize(outcomes: readonly ReplayOutcome[]): ReplaySummary {
  const offered = outcomes.length;
  const value = outcomes.reduce((sum, outcome) => sum + valueOf(outcome), 0);
  const maxValue = outcomes.reduce((sum, { kind }) => sum + kind.value, 0);
  const served = outcomes.filter((outcome) => valueOf(outcome) > 0).length / Math.max(1, offered);
  return { offered, served, value, valueShare: value / Math.max(1, maxValue) };
}
