import type { FingerprintId } from '@laburnumgap/kernel';
import { RecencyMap } from './RecencyMap.js';
import type { ServerIncarnation } from './ServerRegistry.js';

interface Crash {
  readonly crashedMs: number;
  /** When the first request with the fingerprint was sent there; undefined when it is not known. */
  readonly sentMs: number | undefined;
  readonly server: string;
}

/** What a keeper knows of a crash and one fingerprint. */
export interface CrashObservation {
  readonly crashedMs: number;
  readonly fingerprint: FingerprintId;
  /** When the first request with the fingerprint was sent there; undefined when it is not known. */
  readonly sentMs?: number;
  readonly server: ServerIncarnation;
}

/** Crashes that speak against a fingerprint. */
export interface OpenCrashes {
  /** Times of all, with one for servers that can have ended together from another cause. */
  readonly crashesMs: readonly number[];
  /** Number of moments at which servers ended, however many ended at each. */
  readonly momentCount: number;
}

/** Far above what decides on a fingerprint; more say nothing new. */
const MAX_CRASHES = 16;
const MAX_FINGERPRINTS = 4_096;
/** Crashes that lie further back say little about what is sent now. */
const CRASH_RETENTION_MS = 600_000;
/**
 * A fingerprint whose answers went on does not become harmful soon after. Covers the time between two
 * answers on a prompt part that few requests share.
 */
const PROGRESS_VALIDITY_MS = 10_000;
/** Servers that end together have a cause outside of them, such as the loss of a failure domain. */
const COMMON_CAUSE_MS = 20;
/**
 * But requests that were sent together end their servers together. Covers the time in which an
 * application sends a number of requests at once.
 */
const SENT_TOGETHER_MS = 50;

/**
 * What speaks for and against a fingerprint: the servers that crashed while they began an answer to a
 * request with it, and answers that went on. Bounded in memory however many fingerprints there are.
 */
export class CrashEvidence {
  private readonly crashes = new RecencyMap<FingerprintId, readonly Crash[]>(MAX_FINGERPRINTS);
  private readonly progressedMs = new RecencyMap<FingerprintId, number>(MAX_FINGERPRINTS);

  /** Records that a server crashed while it began an answer. A crash counts once, whoever reports it. */
  recordCrash({ crashedMs, fingerprint, sentMs, server }: CrashObservation): void {
    const incarnation = `${server.serverId} ${server.startedEpochMs}`;
    const crashes = (this.crashes.get(fingerprint) ?? []).filter(
      (crash) => crashedMs - crash.crashedMs <= CRASH_RETENTION_MS,
    );
    const index = crashes.findIndex((crash) => crash.server === incarnation);
    const known = crashes[index];
    if (known) {
      crashes[index] = { ...known, sentMs: earlier(known.sentMs, sentMs) };
    } else {
      crashes.push({ crashedMs, sentMs, server: incarnation });
    }
    this.crashes.set(fingerprint, crashes.slice(-MAX_CRASHES));
  }

  /** Records that an answer went on, which a harmful request never comes to. */
  recordProgress(fingerprint: FingerprintId, nowMs: number): void {
    this.progressedMs.set(
      fingerprint,
      Math.max(nowMs, this.progressedMs.get(fingerprint) ?? -Infinity),
    );
  }

  /** When an answer went on last; undefined when none is known. */
  lastProgressMs(fingerprint: FingerprintId): number | undefined {
    return this.progressedMs.get(fingerprint);
  }

  /**
   * The crashes that no answer speaks against. Servers that ended together count as one crash, unless
   * requests with the fingerprint had been sent to them together as well.
   */
  openCrashes(fingerprint: FingerprintId): OpenCrashes {
    const excusedUntilMs = this.excusedUntilMs(fingerprint);
    const open = (this.crashes.get(fingerprint) ?? [])
      .filter(({ crashedMs }) => crashedMs > excusedUntilMs)
      .sort((a, b) => a.crashedMs - b.crashedMs);
    const moments: Crash[][] = [];
    for (const crash of open) {
      const moment = moments.at(-1);
      if (moment && crash.crashedMs - (moment[0]?.crashedMs ?? 0) <= COMMON_CAUSE_MS) {
        moment.push(crash);
      } else {
        moments.push([crash]);
      }
    }
    const counted = moments.flatMap((moment) => moment.slice(0, mostSentTogether(moment)));
    return { crashesMs: counted.map(({ crashedMs }) => crashedMs), momentCount: moments.length };
  }

  /** Selects from the times of crashes those that no answer known here speaks against. */
  withoutExcused(fingerprint: FingerprintId, crashesMs: readonly number[]): readonly number[] {
    const excusedUntilMs = this.excusedUntilMs(fingerprint);
    return crashesMs.filter((crashedMs) => crashedMs > excusedUntilMs);
  }

  private excusedUntilMs(fingerprint: FingerprintId): number {
    return (this.progressedMs.get(fingerprint) ?? -Infinity) + PROGRESS_VALIDITY_MS;
  }
}

/** Most of the crashes whose requests were sent together; one if that is not known of any. */
function mostSentTogether(crashes: readonly Crash[]): number {
  const sentMs = crashes.flatMap((crash) => crash.sentMs ?? []);
  const counts = sentMs.map(
    (firstMs) =>
      sentMs.filter((otherMs) => otherMs >= firstMs && otherMs - firstMs <= SENT_TOGETHER_MS)
        .length,
  );
  return Math.max(1, ...counts);
}

function earlier(a: number | undefined, b: number | undefined): number | undefined {
  return a === undefined || b === undefined ? (a ?? b) : Math.min(a, b);
}
