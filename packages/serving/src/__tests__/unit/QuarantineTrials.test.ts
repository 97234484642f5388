import { Quarantine } from '@laburnumgap/dispatch';
import type { FingerprintId, MemberId, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { QuarantineMessage, QuarantineVerdict } from '../../index.js';
import { QuarantineCoordinator, QuarantinePass } from '../../index.js';

const SELF = toId<MemberId>('m1');
const OTHER = toId<MemberId>('m2');
const PART = toId<FingerprintId>('part a');
const NARROW_PART = toId<FingerprintId>('part b');
const CRASHES = 5;
/** Time from the confirmation of a part to its first trial. */
const FIRST_TRIAL_MS = 2_000;
/** Time after which a request that was admitted as a trial and not sent waits in vain. */
const LEASE_MS = 3_000;
const KEEPER_TIMEOUT_MS = 120;
/** Time that a request with two blamed parts waits longer for a trial than one with one of them. */
const SHARED_DELAY_MS = 1_000;

class Daemon {
  nowMs = 0;
  readonly coordinator: QuarantineCoordinator;
  readonly quarantine = new Quarantine();
  readonly sent: QuarantineMessage[] = [];
  private timers: { readonly dueMs: number; readonly run: () => void }[] = [];

  /** Both parts are confirmed. */
  constructor(keepersOf: (fingerprint: FingerprintId) => readonly MemberId[]) {
    this.coordinator = new QuarantineCoordinator({
      after: (delayMs, run) => {
        const timer = { dueMs: this.nowMs + delayMs, run };
        this.timers.push(timer);
        return () => {
          this.timers = this.timers.filter((other) => other !== timer);
        };
      },
      broadcast: () => undefined,
      clock: { nowMs: () => this.nowMs },
      keepersOf,
      log: { info: () => undefined, warn: () => undefined },
      memberId: SELF,
      quarantine: this.quarantine,
      send: (message) => {
        this.sent.push(message);
      },
    });
    for (let number = 1; number <= CRASHES; number += 1) {
      this.nowMs += 100;
      this.quarantine.recordCrash(
        {
          crashedMs: this.nowMs,
          fingerprints: [PART, NARROW_PART],
          isTrial: false,
          server: { serverId: toId<ServerId>(`s${number}`), startedEpochMs: 1 },
        },
        this.nowMs,
      );
    }
  }

  admit(fingerprints: readonly FingerprintId[] = [PART]): QuarantineVerdict | undefined {
    let verdict: QuarantineVerdict | undefined;
    this.coordinator.admit(fingerprints, (decided) => {
      verdict = decided;
    });
    return verdict;
  }

  /** A server that ran a trial ends. */
  crash(trialOf: readonly FingerprintId[]): void {
    const server = { serverId: toId<ServerId>('tried'), startedEpochMs: this.nowMs };
    const request = { fingerprints: trialOf, requestId: 'r', sentMs: this.nowMs, trialOf };
    this.coordinator.onCrash({ crashedMs: this.nowMs, requests: [request], server });
  }

  pass(verdict: QuarantineVerdict | undefined): QuarantinePass {
    const trialOf = verdict?.kind === 'admitted' ? verdict.trialOf : [];
    return new QuarantinePass(this.coordinator, [PART], trialOf);
  }

  wait(durationMs: number): void {
    this.nowMs += durationMs;
    const due = this.timers.filter(({ dueMs }) => dueMs <= this.nowMs);
    this.timers = this.timers.filter(({ dueMs }) => dueMs > this.nowMs);
    due.forEach(({ run }) => {
      run();
    });
  }
}

// Sound requests were refused for 20 s when the request that was to clear them found no engine.
test('another request is the trial when the one that was admitted as it is not sent', (t) => {
  const daemon = new Daemon(() => [SELF]);
  daemon.wait(FIRST_TRIAL_MS);
  t.is(daemon.admit()?.kind, 'admitted');
  t.is(daemon.admit()?.kind, 'refused');
  daemon.wait(LEASE_MS);
  const second = daemon.admit();
  t.deepEqual(second, { kind: 'admitted', trialOf: [PART] });
  t.is(daemon.pass(second).refusal(), undefined);
  t.is(daemon.admit()?.kind, 'refused');
});

test('a trial is sent once, whichever of the requests that were admitted as it is first', (t) => {
  const daemon = new Daemon(() => [SELF]);
  daemon.wait(FIRST_TRIAL_MS);
  const first = daemon.pass(daemon.admit());
  daemon.wait(LEASE_MS);
  const second = daemon.pass(daemon.admit());
  t.deepEqual(second.trialFingerprints(), [PART]);
  second.recordSend();
  t.deepEqual(first.trialFingerprints(), []);
  t.is(first.refusal()?.code, 'REQUEST_HELD');
  daemon.wait(LEASE_MS);
  t.is(daemon.admit()?.kind, 'refused');
});

// A sound part was refused for good by crashes that it shared with another one.
test('a request is refused for good once a trial of nothing but its parts has crashed a server', (t) => {
  const daemon = new Daemon(() => [SELF]);
  const refusalOf = (fingerprints: readonly FingerprintId[]): string | undefined =>
    new QuarantinePass(daemon.coordinator, fingerprints, []).refusal()?.code;
  t.is(refusalOf([PART]), 'REQUEST_HELD');
  daemon.wait(FIRST_TRIAL_MS + SHARED_DELAY_MS);
  const both = [PART, NARROW_PART];
  t.deepEqual(daemon.admit(both), { kind: 'admitted', trialOf: both });
  daemon.crash(both);
  t.is(refusalOf(both), 'REQUEST_QUARANTINED');
  t.is(refusalOf([PART]), 'REQUEST_HELD');
  t.is(refusalOf([NARROW_PART]), 'REQUEST_HELD');
  t.deepEqual(daemon.admit([NARROW_PART]), { kind: 'admitted', trialOf: [NARROW_PART] });
  daemon.coordinator.onProgress([NARROW_PART]);
  t.is(refusalOf([NARROW_PART]), undefined);
  t.is(refusalOf([PART]), 'REQUEST_QUARANTINED');
  t.is(daemon.admit([PART])?.kind, 'refused');
});

test('what tries parts is named first among the many parts of its request', (t) => {
  const daemon = new Daemon(() => [OTHER]);
  daemon.wait(FIRST_TRIAL_MS);
  const many = Array.from({ length: 500 }, (_, index) => toId<FingerprintId>(`part ${index}`));
  daemon.admit([...many, PART]);
  const [request] = daemon.sent.filter(({ kind }) => kind === 'trialRequest');
  t.like(request, { tried: [PART, ...many.slice(0, 7)] });
});

test('what tries parts is told to the daemon that permits it', (t) => {
  const daemon = new Daemon(() => [OTHER]);
  daemon.wait(FIRST_TRIAL_MS + SHARED_DELAY_MS);
  const both = [PART, NARROW_PART];
  daemon.admit(both);
  const requests = daemon.sent.flatMap((message) =>
    message.kind === 'trialRequest' ? [message.tried] : [],
  );
  t.deepEqual(requests, [both]);
});

test('a trial that was not sent is not one of the next stage', (t) => {
  const daemon = new Daemon(() => [SELF]);
  daemon.wait(FIRST_TRIAL_MS);
  const first = daemon.pass(daemon.admit());
  daemon.quarantine.recordProgress([PART], daemon.nowMs);
  t.deepEqual(first.trialFingerprints(), []);
  t.is(first.refusal(), undefined);
});

test('at most three requests wait as one trial, and three trials are sent', (t) => {
  const daemon = new Daemon(() => [SELF]);
  daemon.wait(FIRST_TRIAL_MS);
  const kinds = Array.from({ length: 4 }, () => {
    const kind = daemon.admit()?.kind;
    daemon.wait(LEASE_MS);
    return kind;
  });
  t.deepEqual(kinds, ['admitted', 'admitted', 'admitted', 'refused']);
  let sent = 0;
  for (let count = 0; count < 10_000; count += 1) {
    daemon.wait(100);
    const pass = daemon.pass(daemon.admit());
    if (pass.trialFingerprints().length > 0) {
      pass.recordSend();
      sent += 1;
    }
  }
  t.true(sent > 0);
  t.true(sent <= 3);
});

// A keeper counted a trial that the daemon took for declined, as its answer came after the time limit.
test('a trial that was granted too late is one of the next request', (t) => {
  const daemon = new Daemon(() => [OTHER]);
  daemon.wait(FIRST_TRIAL_MS);
  t.is(daemon.admit(), undefined);
  daemon.wait(KEEPER_TIMEOUT_MS);
  const request = daemon.sent.find(({ kind }) => kind === 'trialRequest');
  const report = daemon.quarantine.reportOf(PART, daemon.nowMs);
  t.is(request?.kind, 'trialRequest');
  if (request?.kind !== 'trialRequest' || !report) {
    return;
  }
  const { requestNumber } = request;
  const reports = [{ ...report, lastTrialAgeMs: 10, trials: 1 }];
  daemon.coordinator.onMessage({ isGranted: true, kind: 'trialResponse', reports, requestNumber });
  const verdict = daemon.admit();
  t.deepEqual(verdict, { kind: 'admitted', trialOf: [PART] });
  daemon.pass(verdict).recordSend();
  daemon.coordinator.onMessage({ isGranted: true, kind: 'trialResponse', reports, requestNumber });
  daemon.wait(LEASE_MS);
  t.is(daemon.admit()?.kind, 'refused');
});

test('a keeper answers the same request for a trial in the same way, as its answer can be lost', (t) => {
  const daemon = new Daemon(() => [SELF]);
  daemon.wait(FIRST_TRIAL_MS);
  for (const requestNumber of [1, 1, 2]) {
    const kind = 'trialRequest';
    daemon.coordinator.onMessage({ fingerprint: PART, kind, memberId: OTHER, requestNumber });
    daemon.wait(40);
  }
  const answers = daemon.sent.map(
    (message) => message.kind === 'trialResponse' && message.isGranted,
  );
  t.deepEqual(answers, [true, true, false]);
  t.is(daemon.quarantine.reportOf(PART, daemon.nowMs)?.trials, 1);
});

test('a trial of two parts that one keeper declines leaves the other part its trial', (t) => {
  for (const [declined, other, spent] of [
    [PART, NARROW_PART, 0],
    [NARROW_PART, PART, 1],
  ] as const) {
    const daemon = new Daemon((fingerprint) => [fingerprint === declined ? OTHER : SELF]);
    daemon.wait(FIRST_TRIAL_MS + SHARED_DELAY_MS);
    daemon.admit([PART, NARROW_PART]);
    daemon.wait(KEEPER_TIMEOUT_MS);
    t.is(daemon.quarantine.reportOf(other, daemon.nowMs)?.trials, spent);
    t.deepEqual(daemon.admit([other]), { kind: 'admitted', trialOf: [other] });
    t.is(daemon.quarantine.reportOf(other, daemon.nowMs)?.trials, 1);
  }
});

// Requests with some parts in common once took each other's trials, and none of them was sent.
test('trials of several parts are asked for in the same order everywhere', (t) => {
  for (const parts of [
    [PART, NARROW_PART],
    [NARROW_PART, PART],
  ]) {
    const daemon = new Daemon(() => [OTHER]);
    daemon.wait(FIRST_TRIAL_MS + SHARED_DELAY_MS);
    daemon.admit(parts);
    const asked = daemon.sent.flatMap((message) =>
      message.kind === 'trialRequest' ? [message.fingerprint] : [],
    );
    t.deepEqual(asked, [PART]);
  }
});
