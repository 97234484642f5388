import type { DecisionRecord, DecisionSink } from '@laburnumgap/kernel';
import type { Log } from './TelemetryLog.js';

/** A decision with the wall-clock time of its recording. */
export interface RecordedDecision extends DecisionRecord {
  readonly atEpochMs: number;
}

/** A decision sink that also stores the decisions of recent requests for `laburnumctl explain`. */
export interface DecisionLog extends DecisionSink {
  /** Returns the stored decisions about a request, oldest first. */
  explain(requestId: string): readonly RecordedDecision[];
}

/** Options of {@link createDecisionLog}. */
export interface DecisionLogOptions {
  readonly log: Log;
  /**
   * Largest number of requests whose decisions are stored. The request whose last decision is oldest
   * is evicted first.
   */
  readonly maxRequests?: number;
  readonly nowEpochMs?: () => number;
}

const DEFAULT_MAX_REQUESTS = 5000;
/** The oldest decisions beyond this are no longer stored; the latest say how the request ended. */
const MAX_DECISIONS_PER_REQUEST = 64;

/**
 * Creates a decision log. It writes one log line per decision and stores a bounded number of
 * decisions by request, of each request the latest.
 *
 * @param options - the log and the number of requests to store
 * @returns the decision log
 */
export function createDecisionLog(options: DecisionLogOptions): DecisionLog {
  const maxRequests = options.maxRequests ?? DEFAULT_MAX_REQUESTS;
  const nowEpochMs = options.nowEpochMs ?? Date.now;
  const decisionsByRequest = new Map<string, RecordedDecision[]>();

  const store = (requestId: string, decision: RecordedDecision): void => {
    const decisions = decisionsByRequest.get(requestId) ?? [];
    decisionsByRequest.delete(requestId);
    decisionsByRequest.set(requestId, decisions);
    decisions.push(decision);
    if (decisions.length > MAX_DECISIONS_PER_REQUEST) {
      decisions.shift();
    }
    if (decisionsByRequest.size > maxRequests) {
      const oldest = decisionsByRequest.keys().next();
      decisionsByRequest.delete(oldest.value ?? '');
    }
  };

  return {
    explain: (requestId) => decisionsByRequest.get(requestId) ?? [],
    record: (decision) => {
      const { decision: name, fields, requestId } = decision;
      options.log.info('decision', { decision: name, requestId, ...fields });
      if (requestId !== undefined) {
        store(requestId, { ...decision, atEpochMs: nowEpochMs() });
      }
    },
  };
}
