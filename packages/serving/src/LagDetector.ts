import type { Revision } from '@laburnumgap/kernel';

/** How far a daemon is. */
export interface SyncPosition {
  readonly configurationVersion: number;
  readonly revision: Revision;
}

interface ObservedLag extends SyncPosition {
  readonly sinceMs: number;
}

/** The store's own changes reach all daemons well within this. */
const MAX_LAG_MS = 250;

/**
 * Tells when a daemon has known less than others for so long that it must ask one of them. Answers
 * daemons of other domains, which tell rarely: whoever tells, the time counts from the first word on.
 */
export class LagDetector {
  private lag: ObservedLag | undefined;

  /**
   * Compares what another daemon knows with what this one knows.
   *
   * @param other - position of the other daemon
   * @param own - position of this one
   * @param isStoreDown - the store does not answer this daemon, so that waiting for it is in vain
   * @param nowMs - monotonic time
   * @returns whether the other one is to be asked now
   */
  shouldSync(other: SyncPosition, own: SyncPosition, isStoreDown: boolean, nowMs: number): boolean {
    const isBehind =
      other.revision > own.revision || other.configurationVersion > own.configurationVersion;
    if (!isBehind) {
      return false;
    }
    const sinceMs = this.sinceMs(own) ?? nowMs;
    const shouldSync = isStoreDown || nowMs - sinceMs >= MAX_LAG_MS;
    this.lag = { ...own, sinceMs: shouldSync ? nowMs : sinceMs };
    return shouldSync;
  }

  /** Undefined when this daemon has moved on since it was last behind. */
  private sinceMs(own: SyncPosition): number | undefined {
    const { lag } = this;
    const isUnchanged =
      lag?.revision === own.revision && lag.configurationVersion === own.configurationVersion;
    return isUnchanged ? lag.sinceMs : undefined;
  }
}
