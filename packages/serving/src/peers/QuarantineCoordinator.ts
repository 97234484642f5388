import type { Quarantine, QuarantineReport } from '@laburnumgap/dispatch';
import type { FingerprintId, MemberId, MonotonicClock, Teardown } from '@laburnumgap/kernel';
import type { ServerCrash } from '../servers/CrashDetector.js';
import type { QuarantineMessage } from './PeerMessages.js';
import type { QuarantineArchive } from './QuarantineArchive.js';
import { startResponseTimeout } from '../ResponseTimeout.js';
import type { ServingLog } from '../ServingLog.js';

/** Options of {@link QuarantineCoordinator}. */
export interface QuarantineCoordinatorOptions {
  /** Keeps quarantines through a restart of all daemons; not kept without it. */
  readonly archive?: Pick<QuarantineArchive, 'update'>;
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

/** Time after which a message about a crash or a stage is repeated, as datagrams can be lost. */
const REPEAT_AFTER_MS = 150;
/** A keeper that has not answered a request for a trial by then does not permit it. */
const KEEPER_TIMEOUT_MS = 120;
const REPEAT_TRIAL_REQUEST_AFTER_MS = 40;
const DECLINED_RETRY_AFTER_MS = 500;
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
  private lastRequestNumber = 0;
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
      case 'refused':
        onVerdict(decision);
        break;
      case 'trial':
        this.requestTrials(decision.fingerprints, onVerdict);
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
    if (fingerprint === undefined) {
      return undefined;
    }
    return quarantine.stageOf(fingerprint) === 'confirmed'
      ? { fingerprint, kind: 'refused' }
      : { fingerprint, kind: 'refused', retryAfterMs: DECLINED_RETRY_AFTER_MS };
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
    const { isTrial, fingerprints } = blameOf(requests);
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
        const { ageMs, fingerprints, isTrial, server, sinceSentMs } = message;
        const report = { crashedMs: nowMs - ageMs, fingerprints, isTrial, server, sinceSentMs };
        for (const fingerprint of quarantine.recordCrash(report, nowMs)) {
          this.logStage(fingerprint, 'crash');
          this.announce(fingerprint);
        }
        fingerprints.forEach((fingerprint) => {
          this.archive(fingerprint);
        });
        break;
      }
      case 'trialRequest': {
        const { fingerprint, memberId, requestNumber } = message;
        const isGranted = this.decideTrial(fingerprint);
        const reports = this.reportsOf(fingerprint);
        this.send({ isGranted, kind: 'trialResponse', reports, requestNumber }, memberId);
        break;
      }
      case 'trialResponse':
        this.merge(message.reports, 'message');
        this.endTrialRequest(message.requestNumber, message.isGranted);
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

  private requestTrials(
    fingerprints: readonly FingerprintId[],
    onVerdict: (verdict: QuarantineVerdict) => void,
  ): void {
    let waiting = fingerprints.length;
    let declined: FingerprintId | undefined;
    for (const fingerprint of fingerprints) {
      this.requestTrial(fingerprint, (isGranted) => {
        waiting -= 1;
        declined ??= isGranted ? undefined : fingerprint;
        if (waiting > 0) {
          return;
        }
        const refusal = declined === undefined ? undefined : this.refusalOf([declined], []);
        onVerdict(refusal ?? { kind: 'admitted', trialOf: fingerprints });
      });
    }
  }

  private requestTrial(fingerprint: FingerprintId, onDecision: (isGranted: boolean) => void): void {
    const { keepersOf, log, memberId } = this.options;
    const [keeper = memberId] = keepersOf(fingerprint);
    const decide = (isGranted: boolean): void => {
      log.info('quarantine-trial', { fingerprint, isGranted, keeper });
      onDecision(isGranted);
    };
    if (keeper === memberId) {
      decide(this.decideTrial(fingerprint));
      return;
    }
    this.lastRequestNumber += 1;
    const requestNumber = this.lastRequestNumber;
    const send = (): void => {
      this.options.send({ fingerprint, kind: 'trialRequest', memberId, requestNumber }, keeper);
    };
    const cancelRepeat = this.after(REPEAT_TRIAL_REQUEST_AFTER_MS, send);
    const cancelTimeout = this.after(KEEPER_TIMEOUT_MS, () => {
      this.endTrialRequest(requestNumber, false);
    });
    const cancelTimer = (): void => {
      cancelRepeat();
      cancelTimeout();
    };
    this.pendingTrials.set(requestNumber, { cancelTimer, onDecision: decide });
    send();
  }

  private endTrialRequest(requestNumber: number, isGranted: boolean): void {
    const pending = this.pendingTrials.get(requestNumber);
    if (pending) {
      this.pendingTrials.delete(requestNumber);
      pending.cancelTimer();
      pending.onDecision(isGranted);
    }
  }

  /** Permits a trial as the first keeper. While daemons are cut off, each side has its own. */
  private decideTrial(fingerprint: FingerprintId): boolean {
    const { clock, keepersOf, memberId, quarantine } = this.options;
    const isInCharge = keepersOf(fingerprint)[0] === memberId;
    if (!isInCharge || !quarantine.grantTrial(fingerprint, clock.nowMs())) {
      return false;
    }
    this.options.broadcast({ kind: 'quarantine', reports: this.reportsOf(fingerprint) });
    this.archive(fingerprint);
    return true;
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

/** What a crash says. Where it ended a trial, the other requests at the server suffered from that. */
function blameOf(requests: ServerCrash['requests']): {
  readonly fingerprints: readonly FingerprintId[];
  readonly isTrial: boolean;
} {
  const trialOf = [...new Set(requests.flatMap((request) => request.trialOf))];
  const all = [...new Set(requests.flatMap(({ fingerprints }) => fingerprints))];
  const fingerprints = trialOf.length > 0 ? trialOf : all.slice(0, MAX_CRASH_FINGERPRINTS);
  return { fingerprints, isTrial: trialOf.length === 1 };
}
