import type { CompleteEvents, SplitEvent } from './EventSplitter.js';
import { isHeaderValue } from '../HeaderLists.js';

/** Events of which each may be passed on, and why the stream cannot go on after them. */
export interface ContinuousEvents {
  /** Undefined when none may be passed on. */
  readonly accepted: CompleteEvents | undefined;
  /** Number of events that the caller already has. */
  readonly droppedCount: number;
  readonly fault: string | undefined;
}

type Fault = 'back' | 'gap' | 'invalid';
type Verdict = Fault | 'known' | 'next';

const FAULT_REASONS: Readonly<Record<Fault, string>> = {
  back: 'the ids of the events do not rise',
  gap: 'events are missing',
  // The stream could not go on after this event elsewhere.
  invalid: 'the id of an event is invalid',
};
const NUMBER_PATTERN = /^\d{1,15}$/;
/** Events after which ids are taken to rise by one. */
const MIN_COUNTED_EVENTS = 2;

/**
 * Checks that the ids of a stream's events rise over all responses that make it up. An engine that goes on
 * with a stream can begin too early: the caller already has those events. It can also begin too late, which
 * shows only where the ids have risen by one so far. Events without a number as their id are not checked.
 */
export class EventContinuity {
  private countedEvents = 0;
  private firstNumber: number | undefined;
  /** Events of the current response were dropped, and none was accepted. */
  private hasDropped = false;
  /** No event of the current response was accepted. */
  private isJoining = false;
  private lastNumber: number | undefined;

  /**
   * Marks that the events of another response follow.
   *
   * @param afterEventId - id of the last event that the caller has; undefined when it has none
   */
  join(afterEventId: string | undefined): void {
    this.lastNumber ??= toNumber(afterEventId);
    this.isJoining = true;
    this.hasDropped = false;
  }

  /**
   * Whether events are missing of which it is known how many were made.
   *
   * @param eventsMade - number of events since the first one
   */
  isShortOf(eventsMade: number): boolean {
    return this.isCounted() && this.firstNumber === 1 && (this.lastNumber ?? 0) < eventsMade;
  }

  /** Checks the next events. */
  check({ bytes, events }: CompleteEvents): ContinuousEvents {
    const accepted: SplitEvent[] = [];
    let droppedCount = 0;
    let fault: string | undefined;
    for (const event of events) {
      const verdict = this.judge(event.eventId);
      if (verdict === 'known') {
        droppedCount += 1;
      } else if (verdict === 'next') {
        accepted.push(event);
      } else {
        fault = FAULT_REASONS[verdict];
        break;
      }
    }
    if (accepted.length === events.length) {
      return { accepted: { bytes, events }, droppedCount, fault };
    }
    const joined = { bytes: Buffer.concat(accepted.map((event) => event.bytes)), events: accepted };
    return { accepted: accepted.length > 0 ? joined : undefined, droppedCount, fault };
  }

  private judge(eventId: string | undefined): Verdict {
    if (eventId !== undefined && !isHeaderValue(eventId)) {
      return 'invalid';
    }
    const number = toNumber(eventId);
    const { lastNumber } = this;
    if (number === undefined) {
      // Without an id, it belongs to the event before it.
      return this.hasDropped && eventId === undefined ? 'known' : this.accept(undefined);
    }
    if (lastNumber === undefined || number > lastNumber) {
      const isGap = this.isJoining && this.isCounted() && number !== (lastNumber ?? 0) + 1;
      return isGap ? 'gap' : this.accept(number);
    }
    if (!this.isJoining) {
      return 'back';
    }
    this.hasDropped = true;
    return 'known';
  }

  private accept(number: number | undefined): Verdict {
    if (number !== undefined) {
      const rises = this.firstNumber === undefined || number === (this.lastNumber ?? 0) + 1;
      this.countedEvents = rises ? this.countedEvents + 1 : -Infinity;
      this.firstNumber ??= number;
      this.lastNumber = number;
    }
    this.isJoining = false;
    this.hasDropped = false;
    return 'next';
  }

  private isCounted(): boolean {
    return this.countedEvents >= MIN_COUNTED_EVENTS;
  }
}

function toNumber(eventId: string | undefined): number | undefined {
  return eventId !== undefined && NUMBER_PATTERN.test(eventId) ? Number(eventId) : undefined;
}
