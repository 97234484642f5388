import type { FingerprintId } from '@laburnumgap/kernel';
import { CrashEvidence } from './CrashEvidence.js';
import { RecencyMap } from './RecencyMap.js';
import type { FingerprintKind } from './RequestFingerprints.js';
import { kindOf, thresholdsOf } from './RequestFingerprints.js';
import type { ServerIncarnation } from './ServerRegistry.js';
import type { Trial, TrialReport } from './TrialHistory.js';
import { toTrial, toTrialReport, withTrial } from './TrialHistory.js';

/**
 * Stages of a quarantine. Requests with a suspected fingerprint are sent one at a time, those with a
 * confirmed one only as rare trials, and those with a cleared one freely.
 */
export type QuarantineStage = 'cleared' | 'confirmed' | 'suspected';

/** What daemons tell each other of a quarantine. Ages, since their clocks differ. */
export interface QuarantineReport {
  /** Time since the stage began. */
  readonly ageMs: number;
  readonly crashAgesMs: readonly number[];
  /** Counts the suspicions of a fingerprint; a later one replaces what was known of it. */
  readonly episode: number;
  readonly fingerprint: FingerprintId;
  /** Time since a request with the fingerprint came to any daemon. */
  readonly idleMs: number;
  readonly lastTrialAgeMs?: number;
  readonly stage: QuarantineStage;
  /** Which fingerprints were sent together as trials in this episode; absent from daemons of earlier builds. */
  readonly trialHistory?: readonly TrialReport[];
  /** Requests sent in this stage to find out whether they still crash servers. */
  readonly trials: number;
}

/** A server that crashed, and what the requests that it ran had in common with others. */
export interface CrashReport {
  readonly crashedMs: number;
  readonly fingerprints: readonly FingerprintId[];
  /** The server ran a trial of one blamed fingerprint. */
  readonly isTrial: boolean;
  /**
   * Times from sending the first request with each fingerprint to the crash, in the order of the
   * fingerprints; absent when they are not known.
   */
  readonly sinceSentMs?: readonly number[];
  readonly server: ServerIncarnation;
  /**
   * Fingerprints of the requests that the server ran as trials, blamed or not; absent without a trial, and
   * from daemons of earlier builds.
   */
  readonly tried?: readonly FingerprintId[];
}

/** What happens to a request. */
export type QuarantineDecision =
  | { readonly kind: 'admitted' }
  | {
      readonly fingerprint: FingerprintId;
      readonly kind: 'refused';
      /** Absent when a trial has shown that requests like this one crash servers. */
      readonly retryAfterMs?: number;
    }
  | { readonly fingerprints: readonly FingerprintId[]; readonly kind: 'trial' };

/** What a report of another daemon changed. */
export type MergeOutcome = 'learned' | 'objected' | 'unchanged';

interface Entry {
  crashesMs: readonly number[];
  readonly episode: number;
  lastRequestMs: number;
  lastTrialMs: number | undefined;
  readonly sinceMs: number;
  readonly stage: QuarantineStage;
  /** Undefined when daemons of earlier builds know it only. */
  trialHistory: readonly Trial[] | undefined;
  trials: number;
}

const ADMITTED: QuarantineDecision = { kind: 'admitted' };
const STAGE_RANK: Readonly<Record<QuarantineStage, number>> = {
  cleared: 2,
  confirmed: 1,
  suspected: 0,
};
const MAX_ENTRIES = 256;
/** A trial that has neither crashed its server nor gone on by then is followed by another. */
export const TRIAL_LEASE_MS = 3_000;
/** Trials of a confirmed fingerprint, each so long after the one before; then there are no more. */
const RELEASE_TRIAL_DELAYS_MS: readonly number[] = [2_000, 20_000, 120_000];
/**
 * A request with several such fingerprints waits so much longer for each further one, so that requests
 * which have one alone clear it first.
 */
export const SHARED_TRIAL_DELAY_MS = 1_000;
const MIN_RETRY_AFTER_MS = 250;
const MAX_RETRY_AFTER_MS = 1_000;
/** A quarantine ends when no request has come for so long. */
const MAX_IDLE_MS = 600_000;
/** Time until no daemon reports the stages before any more. */
const CLEARED_RETENTION_MS = 60_000;

/**
 * Decides which requests are not sent to servers because requests like them crash servers. Each daemon
 * has its own; they agree by exchanging reports. A report is merged in any order and any number of
 * times: the later episode counts, then the later stage.
 */
export class Quarantine {
  private readonly entries = new RecencyMap<FingerprintId, Entry>(MAX_ENTRIES);
  /** Apart, so that the many different calls do not displace the prompt parts. */
  private readonly evidence: Readonly<Record<FingerprintKind, CrashEvidence>> = {
    call: new CrashEvidence(),
    part: new CrashEvidence(),
  };
  private reportedCount = 0;

  /**
   * Decides on a request that has come or waits.
   *
   * @param fingerprints - what it has in common with other requests
   * @param nowMs - monotonic time
   * @returns the decision; a trial also needs the permission of the fingerprints' keepers
   */
  decide(fingerprints: readonly FingerprintId[], nowMs: number): QuarantineDecision {
    if (this.entries.size() === 0) {
      return ADMITTED;
    }
    const blamed = this.blamedOf(fingerprints);
    const [first] = blamed;
    if (first === undefined) {
      return ADMITTED;
    }
    let dueMs = -Infinity;
    for (const fingerprint of blamed) {
      const entry = this.entries.get(fingerprint);
      if (entry) {
        entry.lastRequestMs = nowMs;
        this.entries.set(fingerprint, entry);
        dueMs = Math.max(dueMs, this.trialDueMs(fingerprint, entry, blamed));
      }
    }
    dueMs += SHARED_TRIAL_DELAY_MS * (blamed.length - 1);
    if (nowMs >= dueMs) {
      return { fingerprints: blamed, kind: 'trial' };
    }
    const convicted = this.findConvicted(blamed);
    if (convicted !== undefined) {
      return { fingerprint: convicted, kind: 'refused' };
    }
    return {
      fingerprint: first,
      kind: 'refused',
      retryAfterMs: Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, dueMs - nowMs)),
    };
  }

  /** Whether requests with a fingerprint are not sent freely. */
  isBlamed(fingerprint: FingerprintId): boolean {
    const stage = this.entries.get(fingerprint)?.stage;
    return stage !== undefined && stage !== 'cleared';
  }

  /**
   * Finds out whether requests with some fingerprints are known to crash servers: one of them is confirmed,
   * and a trial of nothing but these has crashed its server.
   *
   * @param fingerprints - what a request has in common with others
   * @returns the confirmed fingerprint; undefined when a trial of these can still go well
   */
  findConvicted(fingerprints: readonly FingerprintId[]): FingerprintId | undefined {
    const blamed = this.blamedOf(fingerprints);
    return blamed.find((fingerprint) => {
      const entry = this.entries.get(fingerprint);
      return entry?.stage === 'confirmed' && this.hasCrashedAlone(entry, blamed);
    });
  }

  /** The current stage; undefined when a fingerprint was never suspected, or not for long. */
  stageOf(fingerprint: FingerprintId): QuarantineStage | undefined {
    return this.entries.get(fingerprint)?.stage;
  }

  /**
   * Records that an answer went on.
   *
   * @param fingerprints - fingerprints of its request
   * @param nowMs - monotonic time
   * @returns the fingerprints that this clears
   */
  recordProgress(fingerprints: readonly FingerprintId[], nowMs: number): readonly FingerprintId[] {
    return fingerprints.filter((fingerprint) => {
      this.evidenceOf(fingerprint).recordProgress(fingerprint, nowMs);
      const entry = this.entries.get(fingerprint);
      if (!entry || entry.stage === 'cleared') {
        return false;
      }
      this.setStage(fingerprint, entry, 'cleared', nowMs);
      return true;
    });
  }

  /**
   * Records a crash, as a keeper of the fingerprints.
   *
   * @param report - the crash
   * @param nowMs - monotonic time
   * @returns the fingerprints of which other daemons must hear: their stages change, or their trials
   */
  recordCrash(report: CrashReport, nowMs: number): readonly FingerprintId[] {
    const { crashedMs, fingerprints, isTrial, server, sinceSentMs } = report;
    const tried = report.tried ?? (isTrial ? fingerprints : []);
    return fingerprints.filter((fingerprint, index) => {
      const elapsedMs = sinceSentMs?.[index];
      const sentMs = elapsedMs === undefined ? undefined : crashedMs - elapsedMs;
      this.evidenceOf(fingerprint).recordCrash({ crashedMs, fingerprint, sentMs, server });
      const isTried = tried.length > 0;
      const hasNewStage = this.evaluate(fingerprint, { isTrial, isTried, nowMs });
      const trial = { crashedMs, fingerprints: tried, grantedMs: crashedMs };
      const hasNewTrial = isTried && this.recordTrial(fingerprint, trial);
      return hasNewStage || hasNewTrial;
    });
  }

  /**
   * Counts a trial, as the keeper that permits it.
   *
   * @param fingerprint - fingerprint of the request
   * @param nowMs - monotonic time
   * @param tried - all fingerprints of the request; empty when a daemon of an earlier build asks
   * @returns whether the request may be sent
   */
  grantTrial(
    fingerprint: FingerprintId,
    nowMs: number,
    tried: readonly FingerprintId[] = [],
  ): boolean {
    const entry = this.entries.get(fingerprint);
    if (!entry || entry.stage === 'cleared') {
      return true;
    }
    if (nowMs < this.trialDueMs(fingerprint, entry, this.blamedOf(tried))) {
      return false;
    }
    entry.lastTrialMs = nowMs;
    entry.trials += 1;
    if (tried.length > 0) {
      this.recordTrial(fingerprint, { fingerprints: tried, grantedMs: nowMs });
    }
    return true;
  }

  /**
   * Merges what another daemon reports. Objects when answers that this daemon forwarded speak against
   * the crashes; the fingerprint is cleared then.
   *
   * @param report - report on one fingerprint
   * @param nowMs - monotonic time
   * @returns what it changed
   */
  merge(report: QuarantineReport, nowMs: number): MergeOutcome {
    const { fingerprint } = report;
    const known = this.entries.get(fingerprint);
    const reported = toEntry(report, nowMs);
    const isLater =
      !known ||
      reported.episode > known.episode ||
      (reported.episode === known.episode && STAGE_RANK[reported.stage] > STAGE_RANK[known.stage]);
    if (!isLater) {
      return isSameStage(known, reported) && mergeTrials(known, reported) ? 'learned' : 'unchanged';
    }
    if (known?.episode === reported.episode) {
      mergeHistory(reported, known);
    }
    this.entries.set(fingerprint, reported);
    if (reported.stage === 'cleared') {
      this.evidenceOf(fingerprint).recordProgress(fingerprint, reported.sinceMs);
      return 'learned';
    }
    const open = this.evidenceOf(fingerprint).withoutExcused(fingerprint, reported.crashesMs);
    if (open.length >= thresholdsOf(fingerprint).suspectCrashes) {
      return 'learned';
    }
    const progressedMs = this.evidenceOf(fingerprint).lastProgressMs(fingerprint) ?? nowMs;
    this.setStage(fingerprint, reported, 'cleared', Math.min(nowMs, progressedMs));
    return 'objected';
  }

  /** Everything that was ever suspected, also what was cleared a short while ago. */
  fingerprints(): readonly FingerprintId[] {
    return this.entries.all().map(([fingerprint]) => fingerprint);
  }

  /** Report on one fingerprint; undefined when it was never suspected. */
  reportOf(fingerprint: FingerprintId, nowMs: number): QuarantineReport | undefined {
    const entry = this.entries.get(fingerprint);
    return entry && toReport(fingerprint, entry, nowMs);
  }

  /**
   * Reports for a message of limited size, in turn: successive calls cover all.
   *
   * @param nowMs - monotonic time
   * @param maxCount - number of reports
   * @returns the reports
   */
  nextReports(nowMs: number, maxCount: number): readonly QuarantineReport[] {
    const all = this.entries.all();
    const count = Math.min(maxCount, all.length);
    const start = this.reportedCount;
    this.reportedCount = all.length > 0 ? (start + count) % all.length : 0;
    return Array.from({ length: count }, (_, index) => all[(start + index) % all.length]).flatMap(
      (entry) => (entry ? [toReport(entry[0], entry[1], nowMs)] : []),
    );
  }

  /** Forgets quarantines that are over. */
  expire(nowMs: number): void {
    for (const [fingerprint, { lastRequestMs, sinceMs, stage }] of this.entries.all()) {
      const isOver =
        stage === 'cleared'
          ? nowMs - sinceMs > CLEARED_RETENTION_MS
          : nowMs - lastRequestMs > MAX_IDLE_MS;
      if (isOver) {
        this.entries.delete(fingerprint);
      }
    }
  }

  private evaluate(
    fingerprint: FingerprintId,
    { isTrial, isTried, nowMs }: { isTrial: boolean; isTried: boolean; nowMs: number },
  ): boolean {
    const { confirmCrashes, suspectCrashes } = thresholdsOf(fingerprint);
    const { crashesMs: openMs, momentCount } =
      this.evidenceOf(fingerprint).openCrashes(fingerprint);
    const entry = this.entries.get(fingerprint);
    const isSuspected = entry?.stage === 'suspected';
    // One of few fingerprints ended a trial, so that it counts twice against a part that was not blamed.
    const countsTwice = isTried && !isSuspected && kindOf(fingerprint) === 'part';
    const crashesMs = countsTwice ? [...openMs, ...openMs.slice(-1)] : openMs;
    // Moments count rather than servers, since those that ended together can have another cause. A trial
    // decides alone: a new keeper knows the suspicion from reports, but not the crashes before it.
    const isConfirmed = momentCount >= confirmCrashes || (isSuspected && isTrial);
    const isNewSuspicion = !isSuspected && crashesMs.length >= suspectCrashes;
    // A keeper that has started since knows the crashes before from reports only.
    const hadEnough =
      isSuspected &&
      (crashesMs.length > confirmCrashes || entry.crashesMs.length >= confirmCrashes);
    if (isSuspected && crashesMs.length > entry.crashesMs.length) {
      entry.crashesMs = crashesMs;
    }
    if (entry?.stage === 'confirmed' || !(isConfirmed || isNewSuspicion)) {
      return false;
    }
    this.entries.set(fingerprint, {
      crashesMs: isSuspected ? entry.crashesMs : crashesMs,
      episode: isSuspected ? entry.episode : (entry?.episode ?? 0) + 1,
      lastRequestMs: nowMs,
      lastTrialMs: undefined,
      sinceMs: nowMs,
      stage: isConfirmed ? 'confirmed' : 'suspected',
      trialHistory: isSuspected ? entry.trialHistory : [],
      // The trials after enough crashes to confirm are limited in all, whatever the stage.
      trials: hadEnough ? entry.trials : 0,
    });
    return true;
  }

  /** Adds to the trials of a blamed fingerprint; returns whether that is new. */
  private recordTrial(fingerprint: FingerprintId, trial: Trial): boolean {
    const entry = this.entries.get(fingerprint);
    if (!entry || entry.stage === 'cleared') {
      return false;
    }
    const known = entry.trialHistory ?? [];
    entry.trialHistory = withTrial(known, trial);
    return entry.trialHistory !== known;
  }

  /**
   * Time from which a request may be sent as a trial of a fingerprint. A trial that crashed its server says
   * of each fingerprint only that it or another one did that. So a request with fewer of them, or with
   * others, is tried without regard to that trial.
   */
  private trialDueMs(
    fingerprint: FingerprintId,
    entry: Entry,
    blamed: readonly FingerprintId[],
  ): number {
    const { lastTrialMs = -Infinity, trialHistory: history = [], trials } = entry;
    const regularMs = regularTrialDueMs(fingerprint, entry);
    const tried = history.map((trial) => this.blamedOf(trial.fingerprints));
    const isTried =
      tried.length === 0 || blamed.length === 0 || tried.some((set) => isSubset(set, blamed));
    const isNarrower = tried.some((set) => blamed.length < set.length && isSubset(blamed, set));
    if (isTried || (trials >= RELEASE_TRIAL_DELAYS_MS.length && !isNarrower)) {
      return regularMs;
    }
    const hasOutcome = history.some(({ crashedMs = -Infinity }) => crashedMs >= lastTrialMs);
    return Math.min(regularMs, hasOutcome ? lastTrialMs : lastTrialMs + TRIAL_LEASE_MS);
  }

  /** Whether a trial crashed its server that held none but these blamed fingerprints. */
  private hasCrashedAlone({ trialHistory }: Entry, blamed: readonly FingerprintId[]): boolean {
    // Daemons of earlier builds do not say what a trial held.
    return (
      !trialHistory ||
      trialHistory.some(
        ({ crashedMs, fingerprints }) =>
          crashedMs !== undefined && isSubset(this.blamedOf(fingerprints), blamed),
      )
    );
  }

  /** Those that are not sent freely; what was cleared since a trial has not crashed its server. */
  private blamedOf(fingerprints: readonly FingerprintId[]): readonly FingerprintId[] {
    return fingerprints.filter((fingerprint) => this.isBlamed(fingerprint));
  }

  private evidenceOf(fingerprint: FingerprintId): CrashEvidence {
    return this.evidence[kindOf(fingerprint)];
  }

  private setStage(
    fingerprint: FingerprintId,
    entry: Entry,
    stage: QuarantineStage,
    sinceMs: number,
  ): void {
    this.entries.set(fingerprint, { ...entry, sinceMs, stage });
  }
}

/** Time from which a trial may be sent, whatever else its request holds; never after the last one. */
function regularTrialDueMs(
  fingerprint: FingerprintId,
  { crashesMs, lastTrialMs, sinceMs, stage, trials }: Entry,
): number {
  if (stage === 'confirmed') {
    return (lastTrialMs ?? sinceMs) + (RELEASE_TRIAL_DELAYS_MS[trials] ?? Infinity);
  }
  const { confirmCrashes } = thresholdsOf(fingerprint);
  if (trials >= RELEASE_TRIAL_DELAYS_MS.length && crashesMs.length >= confirmCrashes) {
    return Infinity;
  }
  return lastTrialMs === undefined ? sinceMs : lastTrialMs + TRIAL_LEASE_MS;
}

function isSubset(set: readonly FingerprintId[], of: readonly FingerprintId[]): boolean {
  return set.every((fingerprint) => of.includes(fingerprint));
}

function isSameStage(known: Entry, reported: Entry): boolean {
  return known.episode === reported.episode && known.stage === reported.stage;
}

/** Adopts what another daemon knows of the trials; returns whether it knows of more. */
function mergeTrials(known: Entry, reported: Entry): boolean {
  known.lastRequestMs = Math.max(known.lastRequestMs, reported.lastRequestMs);
  const hasNewHistory = mergeHistory(known, reported);
  if (reported.trials <= known.trials) {
    return hasNewHistory;
  }
  known.lastTrialMs = reported.lastTrialMs;
  known.trials = reported.trials;
  return true;
}

/** Adds the trials that one entry of an episode has to those of the other; returns whether any is new. */
function mergeHistory(entry: Entry, { trialHistory }: Entry): boolean {
  const before = entry.trialHistory;
  if (trialHistory) {
    entry.trialHistory = trialHistory.reduce(withTrial, before ?? []);
  }
  return entry.trialHistory !== before;
}

function toEntry(report: QuarantineReport, nowMs: number): Entry {
  const { ageMs, crashAgesMs, episode, idleMs, lastTrialAgeMs, stage, trialHistory, trials } =
    report;
  return {
    crashesMs: crashAgesMs.map((crashAgeMs) => nowMs - crashAgeMs),
    episode,
    lastRequestMs: nowMs - idleMs,
    lastTrialMs: lastTrialAgeMs === undefined ? undefined : nowMs - lastTrialAgeMs,
    sinceMs: nowMs - ageMs,
    stage,
    trialHistory: trialHistory?.map((trial) => toTrial(trial, nowMs)),
    trials,
  };
}

function toReport(fingerprint: FingerprintId, entry: Entry, nowMs: number): QuarantineReport {
  const { crashesMs, episode, lastRequestMs, lastTrialMs, sinceMs, stage, trials } = entry;
  const trialHistory = entry.trialHistory?.map((trial) => toTrialReport(trial, nowMs));
  return {
    ageMs: Math.round(nowMs - sinceMs),
    crashAgesMs: crashesMs.map((crashedMs) => Math.round(nowMs - crashedMs)),
    episode,
    fingerprint,
    idleMs: Math.round(nowMs - lastRequestMs),
    ...(lastTrialMs === undefined ? {} : { lastTrialAgeMs: Math.round(nowMs - lastTrialMs) }),
    stage,
    ...(trialHistory && { trialHistory }),
    trials,
  };
}
