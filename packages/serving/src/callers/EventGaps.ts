import type { EngineTotals } from '@laburnumgap/dispatch';
import type { ServerId } from '@laburnumgap/kernel';

/** Longest time between two events of a stream that arrived one after the other. */
export interface EventGap {
  /** Time from the arrival of the request to the end of the gap. */
  readonly endedAfterMs: number;
  readonly gapMs: number;
  /** Engine that sent the event after the gap. */
  readonly serverId: ServerId;
  /** Load of that engine as known to this daemon at the end of the gap. */
  readonly totals: EngineTotals;
}

/** Options of {@link EventGaps}. */
export interface EventGapsOptions {
  /** Arrival of the request; monotonic time. */
  readonly arrivedMs: number;
  readonly totalsOf: (serverId: ServerId, nowMs: number) => EngineTotals;
}

/**
 * Finds the longest gap between two events of one stream, and the load of the engine then. Events
 * that arrive in the same bytes count as one.
 */
export class EventGaps {
  private lastEventAtMs: number | undefined;
  private longestGap: EventGap | undefined;

  constructor(private readonly options: EventGapsOptions) {}

  /**
   * Records the arrival of one or more events.
   *
   * @param serverId - the engine that sent them
   * @param nowMs - monotonic time
   * @returns the time since the events before; undefined for the first events
   */
  recordEvents(serverId: ServerId, nowMs: number): number | undefined {
    const gapMs = this.lastEventAtMs === undefined ? undefined : nowMs - this.lastEventAtMs;
    this.lastEventAtMs = nowMs;
    if (gapMs !== undefined && gapMs > (this.longestGap?.gapMs ?? -1)) {
      const { arrivedMs, totalsOf } = this.options;
      const totals = totalsOf(serverId, nowMs);
      this.longestGap = { endedAfterMs: nowMs - arrivedMs, gapMs, serverId, totals };
    }
    return gapMs;
  }

  /** The longest gap so far; undefined before the second event. */
  longest(): EventGap | undefined {
    return this.longestGap;
  }
}
