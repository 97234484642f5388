/** Event after which a stream goes on when it is sent to an engine again. */
export class ResumePosition {
  private readonly callerEventId: string | undefined;
  private forwardedEventId: string | undefined;

  /**
   * @param mayRestart - the route allows a stream to go on after an event in another run; without it
   *   a caller that names an event gets the stream from its first event, with its ids
   * @param callerEventId - last event that the caller has from an earlier attempt
   */
  constructor(mayRestart: boolean, callerEventId: string | undefined) {
    this.callerEventId = mayRestart ? callerEventId : undefined;
  }

  /** Records the id of the last event that was forwarded; undefined when the events have none. */
  advance(eventId: string | undefined): void {
    this.forwardedEventId = eventId ?? this.forwardedEventId;
  }

  /** Id that a new run starts after; undefined when it starts at the first event. */
  restartAfter(): string | undefined {
    return this.forwardedEventId ?? this.callerEventId;
  }

  /** Id that the same run continues after from a copy of its KV cache. */
  continueAfter(): string {
    return this.restartAfter() ?? NO_EVENT_ID;
  }
}

/** Precedes the id of the first event. */
const NO_EVENT_ID = '0';
