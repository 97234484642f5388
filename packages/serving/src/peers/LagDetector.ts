import type { StorePosition } from '../store/StorePosition.js';
import { isLater } from '../store/StorePosition.js';

/** Configuration version and store position that a daemon has applied. */
export interface SyncPosition extends StorePosition {
  readonly configurationVersion: number;
}

/** Changes of the store normally reach all daemons well within this time. */
const MAX_LAG_MS = 250;

/** Time for which a daemon has been behind without advancing. */
class Lag {
  private own: string | undefined;
  private sinceMs = 0;

  /**
   * Records whether the daemon is behind.
   *
   * @param isBehind - another daemon is ahead now
   * @param own - what this daemon has applied; a change ends the lag so far
   * @param nowMs - monotonic time
   * @returns whether the daemon has lagged too long
   */
  observe(isBehind: boolean, own: string, nowMs: number): boolean {
    if (!isBehind) {
      return false;
    }
    if (this.own !== own) {
      this.own = own;
      this.sinceMs = nowMs;
    }
    return nowMs - this.sinceMs >= MAX_LAG_MS;
  }

  /** Starts the time anew after a sync. */
  restart(nowMs: number): void {
    this.sinceMs = nowMs;
  }
}

/**
 * Detects that this daemon has lagged behind others for so long that it must fetch a snapshot. The
 * time counts from the first heartbeat of any daemon that is ahead: daemons of other failure
 * domains send heartbeats rarely, and a time for each sender would delay the detection. It counts
 * for store position and configuration apart, because versions in quick succession reach a daemon
 * that missed a change of the servers.
 */
export class LagDetector {
  private readonly configurationLag = new Lag();
  private readonly positionLag = new Lag();

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
    const { configurationVersion, era, revision } = own;
    const isBehind = isLater(other, own);
    const hasOlderConfiguration = other.configurationVersion > configurationVersion;
    const lagsInPosition = this.positionLag.observe(isBehind, `${era}/${revision}`, nowMs);
    const lagsInConfiguration = this.configurationLag.observe(
      hasOlderConfiguration,
      String(configurationVersion),
      nowMs,
    );
    const shouldSync =
      lagsInPosition || lagsInConfiguration || (isStoreDown && (isBehind || hasOlderConfiguration));
    if (shouldSync) {
      this.positionLag.restart(nowMs);
      this.configurationLag.restart(nowMs);
    }
    return shouldSync;
  }
}
