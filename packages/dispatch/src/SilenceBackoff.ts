import type { ServerId } from '@laburnumgap/kernel';

interface Silence {
  intervalMs: number;
  nextMs: number;
}

/** Interval of the examinations of one silent server, doubled up to the maximum. */
const MIN_INTERVAL_MS = 1_000;
const MAX_INTERVAL_MS = 8_000;

/**
 * Limits how often a server is examined that sends nothing: one that computes for long is silent as
 * well as one whose path is severed.
 */
export class SilenceBackoff {
  private readonly silences = new Map<ServerId, Silence>();

  /**
   * Selects servers to examine now.
   *
   * @param silent - all servers that are silent now; the others are forgotten
   * @param nowMs - monotonic time
   * @returns ids of the servers to examine
   */
  take(silent: readonly ServerId[], nowMs: number): readonly ServerId[] {
    for (const serverId of [...this.silences.keys()]) {
      if (!silent.includes(serverId)) {
        this.silences.delete(serverId);
      }
    }
    return silent.filter((serverId) => {
      const silence = this.silences.get(serverId) ?? { intervalMs: MIN_INTERVAL_MS, nextMs: nowMs };
      this.silences.set(serverId, silence);
      if (nowMs < silence.nextMs) {
        return false;
      }
      silence.nextMs = nowMs + silence.intervalMs;
      silence.intervalMs = Math.min(MAX_INTERVAL_MS, silence.intervalMs * 2);
      return true;
    });
  }
}
