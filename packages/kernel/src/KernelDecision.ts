/** A routing or placement decision, logged as one line and kept for `laburnumctl explain`. */
export interface DecisionRecord {
  /** What was decided: admit, apply, claim, limit, order, place, preempt, refuse, resume, retry, route … */
  readonly decision: string;
  /** Key and value pairs that explain the decision; keys carry their unit. */
  readonly fields: Readonly<Record<string, boolean | number | string | undefined>>;
  /** The request it is about, where there is one. */
  readonly requestId?: string;
}

/** Receives every decision. */
export interface DecisionSink {
  record(decision: DecisionRecord): void;
}

/** A sink that keeps nothing. */
export const NO_DECISION_SINK: DecisionSink = {
  record: () => undefined,
};
