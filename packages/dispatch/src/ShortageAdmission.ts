import type { MemberId, RequestId, TeamId } from '@laburnumgap/kernel';
import type { CapacityPriority, CapacityReserve, CapacityRequest } from './EngineCapacity.js';
import { CapacityReservations } from './CapacityReservations.js';
import type { GenerationSize } from './GenerationValue.js';
import { lateValueShare, onTimeSlackMs, valueForCapacity } from './GenerationValue.js';
import { PlacementRates } from './PlacementRates.js';
import { servedShare, ServedShares } from './ServedShares.js';
import type { RankReport } from './ShortageReports.js';
import { mergeRanks, ShortageReports } from './ShortageReports.js';
import { UsualUse } from './UsualUse.js';

/** A generation of this daemon that waits for capacity. */
export interface WaitingGeneration extends GenerationSize {
  /** Time from which its caller waits, monotonic. */
  readonly arrivedMs: number;
  /** KV cache that it needs. */
  readonly plannedTokens: number;
  /** Rank of the team, else of the route; 0 is the most urgent. */
  readonly rank: number;
  readonly requestId: RequestId;
  readonly teamId?: TeamId;
}

/** Why a generation is refused. */
export type ShortageRefusalReason = 'late' | 'noPlaceInTime' | 'timeout';

/** A generation that is refused as not run. */
export interface ShortageRefusal {
  /** Time after which capacity was estimated to be free for it; undefined without an estimate. */
  readonly expectedWaitMs: number | undefined;
  readonly reason: ShortageRefusalReason;
  readonly requestId: RequestId;
  readonly retryAfterMs: number;
  readonly slackMs: number;
  readonly waitedMs: number;
}

/** A generation that may be sent when capacity is free. */
export interface ShortageTurn {
  readonly priority: CapacityPriority;
  readonly requestId: RequestId;
}

/** Result of {@link ShortageAdmission.decide}. */
export interface ShortageDecision {
  readonly refusals: readonly ShortageRefusal[];
  /** The others in the order in which capacity is requested for them. */
  readonly turns: readonly ShortageTurn[];
}

interface Waiter {
  readonly generation: WaitingGeneration;
  isDeferred: boolean;
  passedOver: number;
  readonly valueLevel: number;
}

/** A waiter with what its place in the order depends on. */
interface Ranked extends Waiter {
  readonly isGuaranteed: boolean;
  readonly order: number;
  readonly slackMs: number;
}

/** Waiting generations that can be on time, and the recent rate of placements, by rank. */
interface Backlog {
  readonly otherTokens: Map<number, number>;
  readonly ownTokens: Map<number, number>;
  readonly placedTokensPerS: Map<number, number>;
}

/** Fraction of the caller's timeout that may pass before sending, as without a shortage. */
const MAX_WAIT_FRACTION = 0.6;
/**
 * A generation whose estimated wait takes more of its slack counts as late, since estimates vary. Where it
 * would lose most of its value it is refused, otherwise only above the whole slack.
 */
const MAX_SLACK_FRACTION = 0.7;
/** Generations that keep less of their value when late are refused rather than kept. */
const MIN_LATE_VALUE_SHARE = 0.1;
/** Generations that keep more of their value when late wait although they will be late. */
const MOST_VALUE_SHARE = 0.5;
/** A caller honours Retry-After up to this fraction of the time that it has left. */
const MAX_RETRY_FRACTION = 1 / 3;
/** Shortest Retry-After: a round trip, in which other daemons hear of the shortage. */
const MIN_RETRY_MS = 50;
/** Retry-After without an estimate: about the time that an engine runs one output. */
const DEFAULT_DRAIN_MS = 8_000;
/** Refused generations that return add to the load for this long. */
const REFUSED_WINDOW_MS = 3_000;
/** The bound is a quarter of the mean; the margin is for the few generations that one daemon sees. */
const STARVED_TEAM_FRACTION = 0.4;
/** The bound is a half of the mean. */
const STARVED_LARGE_FRACTION = 0.75;
/** The less urgent may be served more often by 5 in 100; the margin is for estimates. */
const MAX_SERVED_LEAD = 0.02;
/** A generation for which this many others went ahead holds what frees next. */
const MAX_PASSED_OVER = 4;
/** So does one that is larger than the mean of its rank by this factor: smaller ones fit in earlier. */
const LARGE_FACTOR = 1.15;
/** Generations of a daemon that hold an engine at once, which leaves capacity idle meanwhile. */
const MAX_HOLDS = 2;
const LARGE_QUANTILE = 0.9;
const MS_PER_S = 1_000;
/** Sizes of which the quantile is taken. */
const SIZE_SAMPLES = 50;
/** Weight of the newest generation in the mean size of its rank. */
const SIZE_WEIGHT = 0.05;
const MAX_TEAMS = 256;
const MAX_RANKS = 16;

/**
 * Decides who gets too little capacity. Handles bursts of one kind of generation and the loss of
 * engines, in which generations that recheck by themselves get capacity by chance: the waiting
 * generations of this daemon are ordered by whether they can be on time, urgency, value for the capacity
 * and arrival; those that will get no place in time are refused at once. The other daemons' waiting
 * generations count by rank. Each rank keeps what it usually uses, and teams and large generations that
 * are served far less than others go first.
 */
export class ShortageAdmission {
  /** Mean planned tokens of the recent generations, by rank. */
  private readonly meanTokens = new Map<number, number>();
  private readonly ownUsual = new UsualUse();
  private readonly rates = new PlacementRates();
  /** Size from which a generation belongs to the largest tenth. */
  private largeTokens = Infinity;
  private readonly recentSizes: number[] = [];
  private refused: { readonly atMs: number; readonly tokens: number }[] = [];
  private readonly reports = new ShortageReports();
  private readonly reservations = new CapacityReservations();
  private readonly running = new Map<RequestId, WaitingGeneration>();
  private readonly servedRanks = new ServedShares<number>(MAX_RANKS);
  private readonly servedSizes = new ServedShares<boolean>(2);
  private readonly servedTeams = new ServedShares<TeamId>(MAX_TEAMS);
  private readonly usedTokens = new Map<number, number>();
  private readonly usual = new UsualUse();
  private readonly waiters = new Map<RequestId, Waiter>();

  /** Adds a generation for which no engine has capacity. */
  add(generation: WaitingGeneration): void {
    this.waiters.set(generation.requestId, {
      generation,
      isDeferred: false,
      passedOver: 0,
      valueLevel: Math.floor(Math.log2(valueForCapacity(generation))),
    });
  }

  /** Removes a generation whose caller has left, or that has ended. */
  remove(requestId: RequestId): void {
    this.setRunning(requestId, undefined);
    this.waiters.delete(requestId);
  }

  /** Whether generations of this daemon wait. */
  isShort(): boolean {
    return this.waiters.size > 0;
  }

  waitingCount(): number {
    return this.waiters.size;
  }

  isWaiting(requestId: RequestId): boolean {
    return this.waiters.has(requestId);
  }

  /** Records that a generation got capacity, whether or not it waited. */
  recordPlaced(generation: WaitingGeneration, nowMs: number): void {
    const wasWaiting = this.waiters.delete(generation.requestId);
    const { plannedTokens, rank, requestId } = generation;
    this.setRunning(requestId, generation);
    this.rates.record(rank, plannedTokens, nowMs);
    this.recordOutcome(generation, true, nowMs);
    if (wasWaiting) {
      this.recordPassedOver(generation);
    }
  }

  /** Replaces the report of another daemon, or of another failure domain. */
  recordReport(sourceId: MemberId, ranks: readonly RankReport[], nowMs: number): void {
    this.reports.record(sourceId, ranks, nowMs);
  }

  /** Report of this daemon, at most one row for each of a few ranks. */
  report(nowMs: number): readonly RankReport[] {
    return mergeRanks(this.ownRows(nowMs));
  }

  /** Summed report of this daemon and some others. */
  domainReport(memberIds: ReadonlySet<MemberId>, nowMs: number): readonly RankReport[] {
    return mergeRanks([...this.ownRows(nowMs), ...this.reports.rowsOf(memberIds, nowMs)]);
  }

  /** Learns the usual use of each rank. Called a few times a second. */
  learnUse(nowMs: number): void {
    const ownRows = this.ownRows(nowMs);
    const isShort = this.isShort();
    this.ownUsual.record(usedTokensOf(ownRows), isShort, nowMs);
    if (!this.reports.isIncomplete(nowMs)) {
      const rows = [...ownRows, ...this.reports.rows(nowMs)];
      const isFleetShort = isShort || rows.some((row) => row.onTimeCount > 0);
      this.usual.record(usedTokensOf(rows), isFleetShort, nowMs);
    }
  }

  /** Priority of a generation that has not waited, for the owner of the engine. */
  priorityOf(generation: WaitingGeneration, nowMs: number): CapacityPriority {
    const slackMs = onTimeSlackMs(generation, nowMs - generation.arrivedMs);
    return { rank: generation.rank, slackMs };
  }

  /**
   * Decides on the waiting generations. Refused ones are removed.
   *
   * @param nowMs - monotonic time
   * @param randomUnit - random number in [0, 1) for each refusal
   * @returns the order of the generations, and the refused ones
   */
  decide(nowMs: number, randomUnit: () => number): ShortageDecision {
    if (this.waiters.size === 0) {
      return { refusals: [], turns: [] };
    }
    const others = this.reports.rows(nowMs);
    const ordered = this.orderedWaiters(nowMs, others);
    const backlog = this.backlog(ordered, others, nowMs);
    const refusals: ShortageRefusal[] = [];
    const kept: Ranked[] = [];
    const aheadTokens = new Map<number, number>();
    for (const ranked of ordered) {
      const { generation, slackMs } = ranked;
      const { plannedTokens, rank } = generation;
      const sameAhead = (aheadTokens.get(rank) ?? 0) + plannedTokens;
      const expectedWaitMs = expectedWaitOf(rank, sameAhead, backlog);
      // A large one gets an engine that it holds, to which the rate of the others does not apply.
      const waitMs = this.isLarge(generation) ? 0 : (expectedWaitMs ?? 0);
      const reason = refusalReason(ranked, waitMs, nowMs);
      if (reason) {
        refusals.push(this.refuse(ranked, reason, expectedWaitMs, nowMs, randomUnit));
        continue;
      }
      const mayBeLate = waitMs > MAX_SLACK_FRACTION * slackMs;
      const isDeferred = ranked.isDeferred || slackMs <= 0 || mayBeLate;
      kept.push({ ...ranked, isDeferred });
      const waiter = this.waiters.get(generation.requestId);
      if (waiter && isDeferred) {
        waiter.isDeferred = true;
      } else {
        aheadTokens.set(rank, sameAhead);
      }
    }
    const held = this.holds(kept);
    return { refusals, turns: sortByDeferral(kept).map((ranked) => toTurn(ranked, held)) };
  }

  /** Generations that hold what frees next at an engine. */
  private holds(kept: readonly Ranked[]): ReadonlySet<WaitingGeneration> {
    const held = kept.filter(
      ({ generation, isDeferred, passedOver }) =>
        !isDeferred && (passedOver >= MAX_PASSED_OVER || this.isLarge(generation)),
    );
    return new Set(held.slice(0, MAX_HOLDS).map(({ generation }) => generation));
  }

  private isLarge({ plannedTokens, rank }: WaitingGeneration): boolean {
    return plannedTokens > LARGE_FACTOR * (this.meanTokens.get(rank) ?? Infinity);
  }

  /** Records whether an engine that this daemon owns lacked capacity for a request. */
  recordDecision(request: CapacityRequest, isLacking: boolean, nowMs: number): void {
    this.reservations.recordDecision(request, isLacking, nowMs);
  }

  /**
   * Capacity that the owner of an engine keeps from a request; none while no generation is known to
   * wait.
   *
   * @param request - the request
   * @param requesterId - its daemon; undefined for this one
   * @param engineCount - engines of the service
   * @param nowMs - monotonic time
   * @returns the capacity
   */
  reserveFor(
    request: CapacityRequest,
    requesterId: MemberId | undefined,
    engineCount: number,
    nowMs: number,
  ): CapacityReserve {
    const own = this.ownRows(nowMs);
    const isWaitedFor = (row: RankReport): boolean => row.onTimeCount > 0 || row.lateTokens > 0;
    if (![...own, ...this.reports.rows(nowMs)].some(isWaitedFor)) {
      return { runs: 0, tokens: 0 };
    }
    const others = this.reports.rows(nowMs, requesterId);
    const waiting = requesterId === undefined ? others : [...own, ...others];
    return this.reservations.reserveFor(request, waiting, engineCount, nowMs);
  }

  /** The waiting generations in the order of their urgency. */
  private orderedWaiters(nowMs: number, others: readonly RankReport[]): readonly Ranked[] {
    const rows = [...this.ownRows(nowMs), ...others];
    const isStarvedTeam = this.servedTeams.belowMean(STARVED_TEAM_FRACTION, nowMs);
    const areLargeStarved = this.servedSizes.belowMean(STARVED_LARGE_FRACTION, nowMs)(true);
    const guaranteed = new Map<number, boolean>();
    return [...this.waiters.values()]
      .map((waiter): Ranked => {
        const { generation } = waiter;
        const { arrivedMs, rank } = generation;
        const slackMs = onTimeSlackMs(generation, nowMs - arrivedMs);
        const isGuaranteed = guaranteed.get(rank) ?? this.isGuaranteed(rank, rows, nowMs);
        guaranteed.set(rank, isGuaranteed);
        const isStarved =
          (generation.teamId !== undefined && isStarvedTeam(generation.teamId)) ||
          (areLargeStarved && generation.plannedTokens >= this.largeTokens);
        const isFirst = isGuaranteed || isStarved;
        return { ...waiter, isGuaranteed: isFirst, order: orderOf(slackMs, isFirst), slackMs };
      })
      .sort(compareRanked);
  }

  /**
   * Whether a rank holds less than it usually does while another one holds more. A rank that is served
   * more often than a more urgent one has no guarantee.
   */
  private isGuaranteed(rank: number, rows: readonly RankReport[], nowMs: number): boolean {
    const isPartial = this.reports.isIncomplete(nowMs);
    const usual = isPartial ? this.ownUsual : this.usual;
    const used = usedTokensOf(isPartial ? this.ownRows(nowMs) : rows);
    const isBelow = (used.get(rank) ?? 0) < usual.tokensOf(rank);
    const isOtherAbove = [...used].some(
      ([other, tokens]) => other !== rank && tokens > usual.tokensOf(other),
    );
    if (!isBelow || !isOtherAbove) {
      return false;
    }
    const counts = mergeRanks(rows);
    const ownShare = servedShare(counts.find((row) => row.rank === rank) ?? NO_GENERATIONS) ?? 0;
    return counts.every(
      (row) => row.rank >= rank || ownShare <= (servedShare(row) ?? 1) + MAX_SERVED_LEAD,
    );
  }

  /** What waits ahead by rank, and the rates at which it drains. */
  private backlog(
    ordered: readonly Ranked[],
    others: readonly RankReport[],
    nowMs: number,
  ): Backlog {
    const backlog: Backlog = {
      otherTokens: new Map(),
      ownTokens: new Map(),
      placedTokensPerS: new Map(this.rates.all(nowMs)),
    };
    for (const { generation, isDeferred, slackMs } of ordered) {
      if (!isDeferred && slackMs > 0) {
        addTo(backlog.ownTokens, generation.rank, generation.plannedTokens);
      }
    }
    for (const { onTimeTokens, placedTokensPerS, rank } of others) {
      addTo(backlog.otherTokens, rank, onTimeTokens);
      addTo(backlog.placedTokensPerS, rank, placedTokensPerS);
    }
    return backlog;
  }

  /** Time in which this daemon's share of the capacity frees some tokens. */
  private ownDrainMs(tokens: number, nowMs: number): number {
    const tokensPerS = [...this.rates.all(nowMs).values()].reduce((sum, rate) => sum + rate, 0);
    return tokensPerS > 0 ? (tokens * MS_PER_S) / tokensPerS : DEFAULT_DRAIN_MS;
  }

  /**
   * Refuses a generation. Retry-After is spread over the time in which the capacity frees that the
   * waiting and the recently refused generations need, so that callers don't return together.
   */
  private refuse(
    { generation, slackMs }: Ranked,
    reason: ShortageRefusalReason,
    expectedWaitMs: number | undefined,
    nowMs: number,
    randomUnit: () => number,
  ): ShortageRefusal {
    const { arrivedMs, callerTimeoutMs, plannedTokens, requestId } = generation;
    this.waiters.delete(requestId);
    this.recordOutcome(generation, false, nowMs);
    this.refused = this.refused.filter(({ atMs }) => nowMs - atMs < REFUSED_WINDOW_MS);
    this.refused.push({ atMs: nowMs, tokens: plannedTokens });
    const waitedMs = nowMs - arrivedMs;
    const maxMs = MAX_RETRY_FRACTION * Math.max(0, callerTimeoutMs - waitedMs);
    const refusedTokens = this.refused.reduce((sum, { tokens }) => sum + tokens, 0);
    const drainMs = this.ownDrainMs(refusedTokens, nowMs) + (expectedWaitMs ?? 0);
    const latestMs = Math.min(maxMs, Math.max(2 * MIN_RETRY_MS, drainMs));
    const earliestMs = Math.min(MIN_RETRY_MS, latestMs);
    const retryAfterMs = Math.floor(earliestMs + randomUnit() * (latestMs - earliestMs));
    return { expectedWaitMs, reason, requestId, retryAfterMs, slackMs, waitedMs };
  }

  private recordOutcome(generation: WaitingGeneration, isServed: boolean, nowMs: number): void {
    const { plannedTokens, rank, teamId } = generation;
    this.servedRanks.record(rank, isServed, nowMs);
    if (teamId !== undefined) {
      this.servedTeams.record(teamId, isServed, nowMs);
    }
    this.servedSizes.record(plannedTokens >= this.largeTokens, isServed, nowMs);
    this.recordSize(rank, plannedTokens);
  }

  private recordSize(rank: number, plannedTokens: number): void {
    const meanTokens = this.meanTokens.get(rank) ?? plannedTokens;
    this.meanTokens.set(rank, meanTokens + (plannedTokens - meanTokens) * SIZE_WEIGHT);
    this.recentSizes.push(plannedTokens);
    if (this.recentSizes.length >= SIZE_SAMPLES) {
      const sorted = this.recentSizes.sort((a, b) => a - b);
      this.largeTokens = sorted[Math.floor(LARGE_QUANTILE * sorted.length)] ?? Infinity;
      this.recentSizes.length = 0;
    }
  }

  /** Counts the waiting generations of a rank that are larger than one that was placed before them. */
  private recordPassedOver({ plannedTokens, rank }: WaitingGeneration): void {
    for (const waiter of this.waiters.values()) {
      const { generation } = waiter;
      if (generation.rank === rank && generation.plannedTokens > plannedTokens) {
        waiter.passedOver += 1;
      }
    }
  }

  private ownRows(nowMs: number): readonly RankReport[] {
    const rates = this.rates.all(nowMs);
    const rows = new Map<number, Writable<RankReport>>();
    const rowOf = (rank: number): Writable<RankReport> => {
      const known = rows.get(rank);
      if (known) {
        return known;
      }
      const { offered, served } = this.servedRanks.countsOf(rank, nowMs);
      const row = {
        lateTokens: 0,
        offered,
        onTimeCount: 0,
        onTimeTokens: 0,
        placedTokensPerS: rates.get(rank) ?? 0,
        rank,
        served,
        slackMs: 0,
        usedTokens: this.usedTokens.get(rank) ?? 0,
      };
      rows.set(rank, row);
      return row;
    };
    [...rates.keys(), ...this.usedTokens.keys()].forEach(rowOf);
    for (const { generation, isDeferred } of this.waiters.values()) {
      const row = rowOf(generation.rank);
      const slackMs = onTimeSlackMs(generation, nowMs - generation.arrivedMs);
      if (isDeferred || slackMs <= 0) {
        row.lateTokens += generation.plannedTokens;
        continue;
      }
      row.slackMs = row.onTimeCount === 0 ? slackMs : Math.min(row.slackMs, slackMs);
      row.onTimeCount += 1;
      row.onTimeTokens += generation.plannedTokens;
    }
    return [...rows.values()];
  }

  private setRunning(requestId: RequestId, generation: WaitingGeneration | undefined): void {
    const previous = this.running.get(requestId);
    if (previous) {
      addTo(this.usedTokens, previous.rank, -previous.plannedTokens);
    }
    if (generation) {
      addTo(this.usedTokens, generation.rank, generation.plannedTokens);
      this.running.set(requestId, generation);
    } else {
      this.running.delete(requestId);
    }
  }
}

type Writable<T> = { -readonly [K in keyof T]: T[K] };

const NO_GENERATIONS = { offered: 0, served: 0 };
const ON_TIME_FIRST = 0;
const ON_TIME = 1;
const LATE = 2;

function orderOf(slackMs: number, isFirst: boolean): number {
  if (slackMs <= 0) {
    return LATE;
  }
  return isFirst ? ON_TIME_FIRST : ON_TIME;
}

function compareRanked(a: Ranked, b: Ranked): number {
  return (
    a.order - b.order ||
    a.generation.rank - b.generation.rank ||
    b.valueLevel - a.valueLevel ||
    a.generation.arrivedMs - b.generation.arrivedMs
  );
}

/** Those that are expected to be late go after those that can be on time, and before the late ones. */
function sortByDeferral(kept: readonly Ranked[]): readonly Ranked[] {
  const levelOf = ({ isDeferred, order }: Ranked): number =>
    isDeferred && order !== LATE ? LATE - 0.5 : order;
  return [...kept].sort((a, b) => levelOf(a) - levelOf(b) || compareRanked(a, b));
}

function toTurn(
  { generation, isDeferred, isGuaranteed, slackMs }: Ranked,
  held: ReadonlySet<WaitingGeneration>,
): ShortageTurn {
  const { rank, requestId } = generation;
  return {
    priority: {
      ...(isGuaranteed ? { isGuaranteed } : {}),
      ...(held.has(generation) ? { isHeld: true } : {}),
      rank,
      slackMs: isDeferred ? Math.min(0, slackMs) : Math.round(slackMs),
    },
    requestId,
  };
}

function usedTokensOf(rows: readonly RankReport[]): Map<number, number> {
  const used = new Map<number, number>();
  for (const { rank, usedTokens } of rows) {
    addTo(used, rank, usedTokens);
  }
  return used;
}

/**
 * Time until capacity is expected for a generation, from the rate at which the fleet placed others and
 * from what the more urgent ones take. Without reports of other daemons this daemon's own queue and its
 * own share of the rate remain.
 */
function expectedWaitOf(
  rank: number,
  sameAheadTokens: number,
  { otherTokens, ownTokens, placedTokensPerS }: Backlog,
): number | undefined {
  const tokensPerS = sumWhere(placedTokensPerS, (placedRank) => placedRank >= rank);
  if (tokensPerS === 0) {
    return undefined;
  }
  const isMoreUrgent = (other: number): boolean => other < rank;
  const urgentTokens = sumWhere(ownTokens, isMoreUrgent) + sumWhere(otherTokens, isMoreUrgent);
  // The daemons' queues of one rank drain beside each other.
  const ownQueueTokens = Math.max(sameAheadTokens, ownTokens.get(rank) ?? 0);
  const sameTokens = sameAheadTokens * (1 + (otherTokens.get(rank) ?? 0) / ownQueueTokens);
  return ((urgentTokens + sameTokens) * MS_PER_S) / tokensPerS;
}

/**
 * Why a generation is not kept. One that would only become late by waiting is refused while its caller
 * can still return in time. One that is late already is kept where it has some value: it gets what the
 * others leave, whereas its caller would return as a new one that competes with them.
 */
function refusalReason(
  { generation, isDeferred, slackMs }: Ranked,
  expectedWaitMs: number,
  nowMs: number,
): ShortageRefusalReason | undefined {
  const waitedMs = nowMs - generation.arrivedMs;
  if (waitedMs >= MAX_WAIT_FRACTION * generation.callerTimeoutMs) {
    return 'timeout';
  }
  const valueShare = lateValueShare(generation);
  const losesMost = valueShare < MIN_LATE_VALUE_SHARE;
  if (slackMs <= 0) {
    return losesMost ? 'late' : undefined;
  }
  const willBeLate = expectedWaitMs > (losesMost ? MAX_SLACK_FRACTION : 1) * slackMs;
  return willBeLate && !isDeferred && valueShare < MOST_VALUE_SHARE ? 'noPlaceInTime' : undefined;
}

function sumWhere(
  tokens: ReadonlyMap<number, number>,
  isCounted: (rank: number) => boolean,
): number {
  return [...tokens].reduce((sum, [rank, value]) => sum + (isCounted(rank) ? value : 0), 0);
}

function addTo(sums: Map<number, number>, rank: number, tokens: number): void {
  sums.set(rank, (sums.get(rank) ?? 0) + tokens);
}
