import type { FingerprintId } from '@laburnumgap/kernel';

/** A request that was sent, or was to be, to find out whether its blamed fingerprints crash servers. */
export interface Trial {
  /** When it crashed its server; undefined when that is not known to have happened. */
  readonly crashedMs?: number;
  /** Fingerprints of the request, blamed or not. One of them crashed the server, if one did. */
  readonly fingerprints: readonly FingerprintId[];
  readonly grantedMs: number;
}

/** What daemons tell each other of a trial. Ages, since their clocks differ. */
export interface TrialReport {
  readonly crashAgeMs?: number;
  readonly fingerprints: readonly FingerprintId[];
  readonly grantAgeMs: number;
}

/** Trials that are remembered, the latest ones. */
const MAX_TRIALS = 3;
/** More than most requests have; the others count as sound. */
const MAX_TRIAL_FINGERPRINTS = 8;
/** Ages become inexact by the time that a message takes. */
const SAME_TIME_MS = 250;

/**
 * Fingerprints by which a trial is remembered.
 *
 * @param blamed - those that are tried, which come first, as their number is limited
 * @param all - all of the requests that are the trial
 */
export function triedFingerprints(
  blamed: readonly FingerprintId[],
  all: readonly FingerprintId[],
): readonly FingerprintId[] {
  return [...new Set([...blamed, ...all])].slice(0, MAX_TRIAL_FINGERPRINTS);
}

/**
 * Adds a trial to a history, or what is newly known of one with the same fingerprints.
 *
 * @param trials - the history, the latest trial last
 * @param trial - the trial
 * @returns the history with the trial; the same array when nothing is new
 */
export function withTrial(trials: readonly Trial[], trial: Trial): readonly Trial[] {
  const { fingerprints } = trial;
  const known = trials.find((other) => isSameSet(other.fingerprints, fingerprints));
  if (known && isKnown(known, trial)) {
    return trials;
  }
  const crashedMs = latest(known?.crashedMs, trial.crashedMs);
  const merged: Trial = {
    ...(crashedMs === undefined ? {} : { crashedMs }),
    fingerprints,
    grantedMs: Math.max(known?.grantedMs ?? -Infinity, trial.grantedMs),
  };
  return [...trials.filter((other) => other !== known), merged]
    .sort((a, b) => a.grantedMs - b.grantedMs)
    .slice(-MAX_TRIALS);
}

/** Converts a trial for a message. */
export function toTrialReport(
  { crashedMs, fingerprints, grantedMs }: Trial,
  nowMs: number,
): TrialReport {
  return {
    ...(crashedMs === undefined ? {} : { crashAgeMs: Math.round(nowMs - crashedMs) }),
    fingerprints,
    grantAgeMs: Math.round(nowMs - grantedMs),
  };
}

/** Converts what a message says of a trial. */
export function toTrial(
  { crashAgeMs, fingerprints, grantAgeMs }: TrialReport,
  nowMs: number,
): Trial {
  return {
    ...(crashAgeMs === undefined ? {} : { crashedMs: nowMs - crashAgeMs }),
    fingerprints,
    grantedMs: nowMs - grantAgeMs,
  };
}

function isKnown(known: Trial, { crashedMs, grantedMs }: Trial): boolean {
  const hasKnownCrash =
    crashedMs === undefined ||
    (known.crashedMs !== undefined && crashedMs <= known.crashedMs + SAME_TIME_MS);
  return hasKnownCrash && grantedMs <= known.grantedMs + SAME_TIME_MS;
}

function isSameSet(a: readonly FingerprintId[], b: readonly FingerprintId[]): boolean {
  return a.length === b.length && a.every((fingerprint) => b.includes(fingerprint));
}

function latest(a: number | undefined, b: number | undefined): number | undefined {
  return a === undefined || b === undefined ? (a ?? b) : Math.max(a, b);
}
