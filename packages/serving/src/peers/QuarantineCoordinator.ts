import type { Quarantine, QuarantineReport, QuarantineStage } from '@laburnumgap/dispatch';
import {
  RecencyMap,
  SHARED_TRIAL_DELAY_MS,
  TRIAL_LEASE_MS,
  triedFingerprints,
} from '@laburnumgap/dispatch';
import type { FingerprintId, MemberId, MonotonicClock, Teardown } from '@laburnumgap/kernel';
import type { ServerCrash } from '../servers/CrashDetector.js';
import type { QuarantineMessage } from './PeerMessages.js';
import type { QuarantineArchive } from './QuarantineArchive.js';
import { startResponseTimeout } from '../ResponseTimeout.js';
import type { ServingLog } from '../ServingLog.js';

/** Options of {@link QuarantineCoordinator}. */
export interface QuarantineCoordinatorOptions {
  /** Keeps quarantines through a restart of all daemons; not kept without it. */
  readonly archive?: Pick<QuarantineArchive, 'onStoreRestored' | 'update'>;
  /** Runs a function once after a delay; the returned function cancels it. */
  readonly after?: (delayMs: number, run: () => void) => Teardown;
  /** Sends a message to all other daemons. */
  readonly broadcast: (message: QuarantineMessage) => void;
  readonly clock: MonotonicClock;
  /** Daemons that keep the evidence about a fingerprint, as this daemon sees it, the first in charge. */
  readonly keepersOf: (fingerprint: FingerprintId) => readonly MemberId[];
  readonly log: ServingLog;
  readonly memberId: MemberId;
  readonly quarantine: Quarantine;
  readonly send: (message: QuarantineMessage, recipientId: MemberId) => void;
}

/** What a request may do: run, run as a trial of its fingerprints, or be refused. */
export type QuarantineVerdict =
  | { readonly kind: 'admitted'; readonly trialOf: readonly FingerprintId[] }
  | {
      readonly fingerprint: FingerprintId;
      readonly kind: 'refused';
      /** Absent when requests with the fingerprint are not to be sent again. */
      readonly retryAfterMs?: number;
    };

interface PendingTrial {
  readonly cancelTimer: Teardown;
  readonly onDecision: (isGranted: boolean) => void;
}

/** A trial that was granted to this daemon, and of which no request has been sent yet. */
interface HeldTrial {
  readonly episode: number | undefined;
  readonly stage: QuarantineStage | undefined;
  /** Requests that were admitted to be it. */
  takenCount: number;
  /** When the last of them was admitted, monotonic time; -Infinity without one. */
  takenMs: number;
}

/** Request for a trial that this daemon has granted. */
interface GrantedRequest {
  readonly grantedMs: number;
  readonly memberId: MemberId;
  readonly requestNumber: number;
}

/** Time after which a message about a crash or a stage is repeated, as datagrams can be lost. */
const REPEAT_AFTER_MS = 150;
/** A keeper that has not answered a request for a trial by then does not permit it. */
const KEEPER_TIMEOUT_MS = 120;
const REPEAT_TRIAL_REQUEST_AFTER_MS = 40;
const DECLINED_RETRY_AFTER_MS = 500;
/** Requests that may wait as one trial, one after the other. */
const MAX_TAKEN_COUNT = 3;
const MAX_HELD_TRIALS = 256;
/** Requests for trials that were given up, and whose answers can still come. */
const MAX_OVERDUE_REQUESTS = 64;
/** Far beyond the time between a request for a trial and its repetition. */
const REPEATED_REQUEST_WINDOW_MS = 1_000;
/** Reports in one heartbeat, which has to fit into few IP fragments. */
const MAX_HEARTBEAT_REPORTS = 4;
/** Fingerprints in one message about a crash: more than the requests that an engine runs have. */
const MAX_CRASH_FINGERPRINTS = 128;

/**
 * Keeps the quarantines of all daemons in step. Whoever sees a server crash tells the keepers of the
 * fingerprints that were in progress there. Each keeper counts on its own and tells all daemons when a
 * stage changes; heartbeats carry the stages to daemons that missed it. The first keeper permits
 * trials.
 */
export class QuarantineCoordinator {
  /** Last request for a trial that this daemon granted, by fingerprint. */
  private readonly granted = new RecencyMap<FingerprintId, GrantedRequest>(MAX_HELD_TRIALS);
  private readonly heldTrials = new RecencyMap<FingerprintId, HeldTrial>(MAX_HELD_TRIALS);
  private lastRequestNumber = 0;
  /** By request number. */
  private readonly overdueTrials = new RecencyMap<number, FingerprintId>(MAX_OVERDUE_REQUESTS);
  private readonly pendingTrials = new Map<number, PendingTrial>();

  constructor(private readonly options: QuarantineCoordinatorOptions) {}

  /**
   * Decides on a request that has come.
   *
   * @param fingerprints - what it has in common with others
   * @param onVerdict - called once, synchronously unless a keeper has to be asked for a trial
   */
  admit(
    fingerprints: readonly FingerprintId[],
    onVerdict: (verdict: QuarantineVerdict) => void,
  ): void {
    const { clock, quarantine } = this.options;
    const decision = quarantine.decide(fingerprints, clock.nowMs());
    switch (decision.kind) {
      case 'admitted':
        onVerdict({ kind: 'admitted', trialOf: [] });
        break;
      case 'refused': {
        const trialOf = this.takeHeldTrials(fingerprints);
        onVerdict(trialOf.length > 0 ? { kind: 'admitted', trialOf } : decision);
        break;
      }
      case 'trial':
        this.requestTrials(decision.fingerprints, fingerprints, onVerdict);
    }
  }

  /**
   * Decides on a request that was admitted and is about to be sent, or waits for that.
   *
   * @param fingerprints - what it has in common with others
   * @param trialOf - the fingerprints of which it is a trial
   * @returns the refusal; undefined when it may be sent
   */
  refusalOf(
    fingerprints: readonly FingerprintId[],
    trialOf: readonly FingerprintId[],
  ): Extract<QuarantineVerdict, { kind: 'refused' }> | undefined {
    const { quarantine } = this.options;
    const fingerprint = fingerprints.find(
      (candidate) => quarantine.isBlamed(candidate) && !trialOf.includes(candidate),
    );
    return fingerprint === undefined ? undefined : this.refuse(fingerprint, fingerprints);
  }

  /** Whether a trial was granted to this daemon and no request has been sent as it. */
  holdsTrial(fingerprint: FingerprintId): boolean {
    return this.heldTrial(fingerprint) !== undefined;
  }

  /** Records that a request was sent as a trial of fingerprints. */
  onTrialSent(fingerprints: readonly FingerprintId[]): void {
    fingerprints.forEach((fingerprint) => {
      this.heldTrials.delete(fingerprint);
    });
  }

  /** Records that the answer to a request went on. */
  onProgress(fingerprints: readonly FingerprintId[]): void {
    const { clock, quarantine } = this.options;
    for (const fingerprint of quarantine.recordProgress(fingerprints, clock.nowMs())) {
      this.logStage(fingerprint, 'progress');
      this.tellKeepers(fingerprint);
      this.archive(fingerprint);
    }
  }

  /** Tells the keepers of a crash that this daemon saw. */
  onCrash({ crashedMs, requests, server }: ServerCrash): void {
    const { fingerprints, isTrial, tried } = blameOf(requests);
    const sinceSentMs = (fingerprint: FingerprintId): number => {
      const sharing = requests.filter((request) => request.fingerprints.includes(fingerprint));
      return Math.round(crashedMs - Math.min(crashedMs, ...sharing.map(({ sentMs }) => sentMs)));
    };
    const byKeeper = new Map<MemberId, FingerprintId[]>();
    for (const fingerprint of fingerprints) {
      for (const keeper of this.options.keepersOf(fingerprint)) {
        const group = byKeeper.get(keeper) ?? [];
        group.push(fingerprint);
        byKeeper.set(keeper, group);
      }
    }
    for (const [keeper, group] of byKeeper) {
      const send = (): void => {
        const ageMs = Math.round(this.options.clock.nowMs() - crashedMs);
        const message: QuarantineMessage = {
          ageMs,
          fingerprints: group,
          isTrial,
          kind: 'serverCrash',
          server,
          sinceSentMs: group.map(sinceSentMs),
          ...(tried.length > 0 && { tried }),
        };
        this.send(message, keeper);
      };
      send();
      if (keeper !== this.options.memberId) {
        this.after(REPEAT_AFTER_MS, send);
      }
    }
  }

  /** Handles a message of another daemon. */
  onMessage(message: QuarantineMessage): void {
    const { clock, quarantine } = this.options;
    const nowMs = clock.nowMs();
    switch (message.kind) {
      case 'quarantine':
        this.merge(message.reports, 'message');
        break;
      case 'serverCrash': {
        const report = { ...message, crashedMs: nowMs - message.ageMs };
        for (const fingerprint of quarantine.recordCrash(report, nowMs)) {
          this.logStage(fingerprint, 'crash');
          this.announce(fingerprint);
        }
        message.fingerprints.forEach((fingerprint) => {
          this.archive(fingerprint);
        });
        break;
      }
      case 'trialRequest': {
        const { fingerprint, memberId, requestNumber } = message;
        const isGranted = this.decideRequest(message);
        const reports = this.reportsOf(fingerprint);
        this.send({ isGranted, kind: 'trialResponse', reports, requestNumber }, memberId);
        break;
      }
      case 'trialResponse':
        this.merge(message.reports, 'message');
        this.endTrialRequest(message.requestNumber, message.isGranted, message.reports);
    }
  }

  /** Merges the reports in the heartbeat of another daemon. */
  onHeartbeatReports(reports: readonly QuarantineReport[]): void {
    this.merge(reports, 'heartbeat');
  }

  /** Adopts what daemons wrote to the platform's store before this one started. */
  onStoredReports(reports: readonly QuarantineReport[]): void {
    this.merge(reports, 'store');
  }

  /** Reports for a heartbeat; none without a quarantine. */
  heartbeatReports(): readonly QuarantineReport[] {
    const { clock, quarantine } = this.options;
    return quarantine.nextReports(clock.nowMs(), MAX_HEARTBEAT_REPORTS);
  }

  private merge(reports: readonly QuarantineReport[], source: string): void {
    const { clock, quarantine } = this.options;
    for (const report of reports) {
      const { fingerprint } = report;
      const stageBefore = quarantine.stageOf(fingerprint);
      const outcome = quarantine.merge(report, clock.nowMs());
      const stage = quarantine.stageOf(fingerprint);
      if (outcome === 'objected') {
        this.logStage(fingerprint, 'objection');
        this.tellKeepers(fingerprint);
        this.archive(fingerprint);
      } else if (outcome === 'learned' && stage !== stageBefore) {
        this.logStage(fingerprint, source);
        this.archive(fingerprint);
        if (stage === 'cleared' && source === 'message' && this.isKeeper(fingerprint)) {
          this.announce(fingerprint);
        }
      }
    }
  }

  /** Tells all daemons the stage of a fingerprint, as one of its keepers. */
  private announce(fingerprint: FingerprintId): void {
    const broadcast = (): void => {
      this.options.broadcast({ kind: 'quarantine', reports: this.reportsOf(fingerprint) });
    };
    broadcast();
    this.after(REPEAT_AFTER_MS, broadcast);
  }

  /** Tells the keepers of a fingerprint that it is cleared; they tell the others. */
  private tellKeepers(fingerprint: FingerprintId): void {
    const { keepersOf, memberId } = this.options;
    const send = (): void => {
      const reports = this.reportsOf(fingerprint);
      for (const keeper of keepersOf(fingerprint)) {
        if (keeper !== memberId) {
          this.options.send({ kind: 'quarantine', reports }, keeper);
        }
      }
    };
    if (this.isKeeper(fingerprint)) {
      this.announce(fingerprint);
      return;
    }
    send();
    this.after(REPEAT_AFTER_MS, send);
  }

  /**
   * Refuses a request for good only if a trial of nothing but its fingerprints has crashed a server: one
   * that has some of them may be sound.
   */
  private refuse(
    fingerprint: FingerprintId,
    fingerprints: readonly FingerprintId[],
  ): Extract<QuarantineVerdict, { kind: 'refused' }> {
    const convicted = this.options.quarantine.findConvicted(fingerprints);
    return convicted === undefined
      ? { fingerprint, kind: 'refused', retryAfterMs: DECLINED_RETRY_AFTER_MS }
      : { fingerprint: convicted, kind: 'refused' };
  }

  /**
   * Asks for trials of all blamed fingerprints of a request, one after the other in an order that all daemons
   * share: two requests that ask at the same time cannot take some of each other's.
   */
  private requestTrials(
    fingerprints: readonly FingerprintId[],
    all: readonly FingerprintId[],
    onVerdict: (verdict: QuarantineVerdict) => void,
  ): void {
    const { clock, quarantine } = this.options;
    const nowMs = clock.nowMs();
    const tried = triedFingerprints(fingerprints, all);
    const admit = (): void => {
      this.take(fingerprints, nowMs);
      onVerdict({ kind: 'admitted', trialOf: fingerprints });
    };
    const askFrom = (missing: readonly FingerprintId[]): void => {
      const [fingerprint, ...others] = missing;
      if (fingerprint === undefined) {
        admit();
        return;
      }
      if (this.holdsTrial(fingerprint)) {
        askFrom(others);
        return;
      }
      this.requestTrial(fingerprint, tried, (isGranted) => {
        if (isGranted) {
          if (!this.holdsTrial(fingerprint)) {
            this.holdTrial(fingerprint, this.reportsOf(fingerprint)[0]);
          }
          askFrom(others);
        } else if (quarantine.isBlamed(fingerprint)) {
          onVerdict(this.refuse(fingerprint, fingerprints));
        } else {
          askFrom(others);
        }
      });
    };
    askFrom([...fingerprints].sort());
  }

  private requestTrial(
    fingerprint: FingerprintId,
    tried: readonly FingerprintId[],
    onDecision: (isGranted: boolean) => void,
  ): void {
    const { keepersOf, log, memberId } = this.options;
    const [keeper = memberId] = keepersOf(fingerprint);
    const decide = (isGranted: boolean): void => {
      log.info('quarantine-trial', { fingerprint, isGranted, keeper, tried: tried.join(',') });
      onDecision(isGranted);
    };
    if (keeper === memberId) {
      decide(this.decideTrial(fingerprint, tried));
      return;
    }
    this.lastRequestNumber += 1;
    const requestNumber = this.lastRequestNumber;
    const send = (): void => {
      this.options.send(
        { fingerprint, kind: 'trialRequest', memberId, requestNumber, tried },
        keeper,
      );
    };
    const cancelRepeat = this.after(REPEAT_TRIAL_REQUEST_AFTER_MS, send);
    const cancelTimeout = this.after(KEEPER_TIMEOUT_MS, () => {
      this.overdueTrials.set(requestNumber, fingerprint);
      this.endTrialRequest(requestNumber, false);
    });
    const cancelTimer = (): void => {
      cancelRepeat();
      cancelTimeout();
    };
    this.pendingTrials.set(requestNumber, { cancelTimer, onDecision: decide });
    send();
  }

  private endTrialRequest(
    requestNumber: number,
    isGranted: boolean,
    reports: readonly QuarantineReport[] = [],
  ): void {
    const pending = this.pendingTrials.get(requestNumber);
    if (pending) {
      this.pendingTrials.delete(requestNumber);
      pending.cancelTimer();
      pending.onDecision(isGranted);
      return;
    }
    const overdue = this.overdueTrials.get(requestNumber);
    const report = reports.find(({ fingerprint }) => fingerprint === overdue);
    if (report && isGranted) {
      this.overdueTrials.delete(requestNumber);
      this.holdTrial(report.fingerprint, report);
    }
  }

  private holdTrial(
    fingerprint: FingerprintId,
    granted: Pick<HeldTrial, 'episode' | 'stage'> | undefined,
  ): void {
    const { episode, stage } = granted ?? {};
    this.heldTrials.set(fingerprint, { episode, stage, takenCount: 0, takenMs: -Infinity });
  }

  /** Notes that a request was admitted as trials that are held. */
  private take(fingerprints: readonly FingerprintId[], nowMs: number): void {
    for (const fingerprint of fingerprints) {
      const held = this.heldTrial(fingerprint);
      if (held) {
        held.takenCount += 1;
        held.takenMs = nowMs;
      }
    }
  }

  /** A trial of another stage does not count in this one. */
  private heldTrial(fingerprint: FingerprintId): HeldTrial | undefined {
    const held = this.heldTrials.get(fingerprint);
    const { episode, stage } = this.reportsOf(fingerprint)[0] ?? {};
    return held?.episode === episode && held?.stage === stage ? held : undefined;
  }

  /**
   * Takes the trials of all fingerprints that are held back, when the requests that were admitted as them
   * have not been sent.
   *
   * @returns the fingerprints; none when a trial is missing or another request still has it
   */
  private takeHeldTrials(fingerprints: readonly FingerprintId[]): readonly FingerprintId[] {
    const { clock, log, quarantine } = this.options;
    const nowMs = clock.nowMs();
    const blamed = fingerprints.filter((fingerprint) => quarantine.isBlamed(fingerprint));
    const leaseMs = TRIAL_LEASE_MS + SHARED_TRIAL_DELAY_MS * (blamed.length - 1);
    const free = blamed.filter((fingerprint) => {
      const held = this.heldTrial(fingerprint);
      return held && held.takenCount < MAX_TAKEN_COUNT && nowMs >= held.takenMs + leaseMs;
    });
    if (free.length < blamed.length) {
      return [];
    }
    this.take(blamed, nowMs);
    log.info('quarantine-trial', { fingerprints: blamed.join(','), isGranted: true, isHeld: true });
    return blamed;
  }

  /** Answers a request for a trial, and the same one again in the same way. */
  private decideRequest({
    fingerprint,
    memberId,
    requestNumber,
    tried,
  }: Extract<QuarantineMessage, { kind: 'trialRequest' }>): boolean {
    const nowMs = this.options.clock.nowMs();
    const last = this.granted.get(fingerprint);
    const isRepeated = last?.memberId === memberId && last.requestNumber === requestNumber;
    if (isRepeated && nowMs - last.grantedMs < REPEATED_REQUEST_WINDOW_MS) {
      return true;
    }
    const isGranted = this.decideTrial(fingerprint, tried);
    if (isGranted) {
      this.granted.set(fingerprint, { grantedMs: nowMs, memberId, requestNumber });
    }
    return isGranted;
  }

  /** Permits a trial as the first keeper. While daemons are cut off, each side has its own. */
  private decideTrial(fingerprint: FingerprintId, tried?: readonly FingerprintId[]): boolean {
    const { clock, keepersOf, memberId, quarantine } = this.options;
    const isInCharge = keepersOf(fingerprint)[0] === memberId;
    if (!isInCharge || !quarantine.grantTrial(fingerprint, clock.nowMs(), tried)) {
      return false;
    }
    this.options.broadcast({ kind: 'quarantine', reports: this.reportsOf(fingerprint) });
    this.archive(fingerprint);
    return true;
  }

  /** Writes and removes again what a store that came back from a copy can lack or hold. */
  onStoreRestored(): void {
    const { archive, quarantine } = this.options;
    archive?.onStoreRestored();
    quarantine.fingerprints().forEach((fingerprint) => {
      this.archive(fingerprint);
    });
  }

  /** Lets the keeper in charge write a fingerprint that was ever suspected to the store. */
  private archive(fingerprint: FingerprintId): void {
    const { archive, keepersOf, memberId, quarantine } = this.options;
    const wasSuspected = quarantine.stageOf(fingerprint) !== undefined;
    if (archive && wasSuspected && keepersOf(fingerprint)[0] === memberId) {
      archive.update(fingerprint);
    }
  }

  private reportsOf(fingerprint: FingerprintId): readonly QuarantineReport[] {
    const { clock, quarantine } = this.options;
    const report = quarantine.reportOf(fingerprint, clock.nowMs());
    return report ? [report] : [];
  }

  private isKeeper(fingerprint: FingerprintId): boolean {
    return this.options.keepersOf(fingerprint).includes(this.options.memberId);
  }

  private logStage(fingerprint: FingerprintId, source: string): void {
    const { clock, log, quarantine } = this.options;
    const report = quarantine.reportOf(fingerprint, clock.nowMs());
    log.warn('quarantine-stage', {
      crashes: report?.crashAgesMs.length,
      episode: report?.episode,
      fingerprint,
      source,
      stage: report?.stage,
      trials: report?.trials,
    });
  }

  /** Sends a message; one to this daemon itself is handled at once. */
  private send(message: QuarantineMessage, recipientId: MemberId): void {
    if (recipientId === this.options.memberId) {
      this.onMessage(message);
    } else {
      this.options.send(message, recipientId);
    }
  }

  private after(delayMs: number, run: () => void): Teardown {
    const { after, clock } = this.options;
    return after ? after(delayMs, run) : startResponseTimeout(clock, delayMs, run);
  }
}

/**
 * What a crash says. Where it ended a trial, the other requests at the server suffered from that; all
 * fingerprints of the trial are suspects, also those that nothing was known of.
 */
function blameOf(requests: ServerCrash['requests']): {
  readonly fingerprints: readonly FingerprintId[];
  readonly isTrial: boolean;
  readonly tried: readonly FingerprintId[];
} {
  const trials = requests.filter(({ trialOf }) => trialOf.length > 0);
  const blamed = [...new Set(trials.flatMap(({ trialOf }) => trialOf))];
  const all = fingerprintsOf(trials.length > 0 ? trials : requests);
  const tried = triedFingerprints(blamed, trials.length > 0 ? all : []);
  return { fingerprints: all, isTrial: blamed.length === 1, tried };
}

function fingerprintsOf(requests: ServerCrash['requests']): readonly FingerprintId[] {
  const all = requests.flatMap(({ fingerprints, trialOf }) => [...trialOf, ...fingerprints]);
  return [...new Set(all)].slice(0, MAX_CRASH_FINGERPRINTS);
}
