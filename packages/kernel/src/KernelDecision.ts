/** A routing or placement decision, logged as one line and stored for `laburnumctl explain`. */
export interface DecisionRecord {
  /** Kind of decision, for example admit, claim, place, preempt, refuse, resume, retry or route. */
  readonly decision: string;
  /** Key-value pairs that explain the decision; keys end in their unit. */
  readonly fields: Readonly<Record<string, boolean | number | string | undefined>>;
  /** Id of the request that the decision is about, if any. */
  readonly requestId?: string;
}

/** Records decisions. */
export interface DecisionSink {
  record(decision: DecisionRecord): void;
}

/** Discards every decision. */
export const NO_DECISION_SINK: DecisionSink = {
  record: () => undefined,
};
