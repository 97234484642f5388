import type { FingerprintId } from '@laburnumgap/kernel';
import { RecencyMap } from './RecencyMap.js';
import type { ServerIncarnation } from './ServerRegistry.js';

interface Crash {
  readonly crashedMs: number;
  readonly server: string;
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
 * What speaks for and against a fingerprint: the servers that crashed while they began an answer to a
 * request with it, and answers that went on. Bounded in memory however many fingerprints there are.
 */
export class CrashEvidence {
  private readonly crashes = new RecencyMap<FingerprintId, readonly Crash[]>(MAX_FINGERPRINTS);
  private readonly progressedMs = new RecencyMap<FingerprintId, number>(MAX_FINGERPRINTS);

  /**
   * Records that a server crashed while it began an answer. A crash counts once, whoever reports it.
   *
   * @param fingerprint - what the request had in common with others
   * @param server - the server
   * @param crashedMs - when it crashed, monotonic time
   */
  recordCrash(
    fingerprint: FingerprintId,
    { serverId, startedEpochMs }: ServerIncarnation,
    crashedMs: number,
  ): void {
    const server = `${serverId} ${startedEpochMs}`;
    const known = (this.crashes.get(fingerprint) ?? []).filter(
      (crash) => crashedMs - crash.crashedMs <= CRASH_RETENTION_MS,
    );
    const isKnown = known.some((crash) => crash.server === server);
    const crashes = isKnown ? known : [...known, { crashedMs, server }];
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

  /** Times of the crashes that no answer speaks against; servers that ended together count once. */
  openCrashesMs(fingerprint: FingerprintId): readonly number[] {
    const times = (this.crashes.get(fingerprint) ?? []).map(({ crashedMs }) => crashedMs);
    const separate: number[] = [];
    for (const crashedMs of times.sort((a, b) => a - b)) {
      if (crashedMs - (separate.at(-1) ?? -Infinity) > COMMON_CAUSE_MS) {
        separate.push(crashedMs);
      }
    }
    return this.withoutExcused(fingerprint, separate);
  }

  /** Selects from the times of crashes those that no answer known here speaks against. */
  withoutExcused(fingerprint: FingerprintId, crashesMs: readonly number[]): readonly number[] {
    const excusedUntilMs = (this.progressedMs.get(fingerprint) ?? -Infinity) + PROGRESS_VALIDITY_MS;
    return crashesMs.filter((crashedMs) => crashedMs > excusedUntilMs);
  }
}
