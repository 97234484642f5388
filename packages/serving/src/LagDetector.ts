import type { StorePosition } from './StorePosition.js';
import { isLater } from './StorePosition.js';

/** Configuration version and store position that a daemon has applied. */
export interface SyncPosition extends StorePosition {
  readonly configurationVersion: number;
}

interface ObservedLag extends SyncPosition {
  readonly sinceMs: number;
}

/** Changes of the store normally reach all daemons well within this time. */
const MAX_LAG_MS = 250;

/**
 * Detects that this daemon has lagged behind others for so long that it must fetch a snapshot. The
 * time counts from the first heartbeat of any daemon that is ahead: daemons of other failure
 * domains send heartbeats rarely, and a time for each sender would delay the detection.
 */
export class LagDetector {
  private lag: ObservedLag | undefined;

  /**
   * Compares the position of another daemon with the own position.
   *
   * @param other - position of the other daemon
   * @param own - position of this daemon
   * @param isStoreDown - the store does not respond, so that waiting for its changes is pointless
   * @param nowMs - monotonic time
   * @returns whether to fetch a snapshot from the other daemon now
   */
  shouldSync(other: SyncPosition, own: SyncPosition, isStoreDown: boolean, nowMs: number): boolean {
    const isBehind = isLater(other, own) || other.configurationVersion > own.configurationVersion;
    if (!isBehind) {
      return false;
    }
    const sinceMs = this.sinceMs(own) ?? nowMs;
    const shouldSync = isStoreDown || nowMs - sinceMs >= MAX_LAG_MS;
    this.lag = { ...own, sinceMs: shouldSync ? nowMs : sinceMs };
    return shouldSync;
  }

  /** Start of the current lag; undefined when this daemon has advanced since it was last behind. */
  private sinceMs(own: SyncPosition): number | undefined {
    const { lag } = this;
    const isUnchanged =
      lag?.era === own.era &&
      lag.revision === own.revision &&
      lag.configurationVersion === own.configurationVersion;
    return isUnchanged ? lag.sinceMs : undefined;
  }
}
