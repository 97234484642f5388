import type { DecisionRecord, DecisionSink } from '@laburnumgap/kernel';
import type { Log } from './TelemetryLog.js';

/** A decision with the wall-clock time at which it was recorded. */
export interface KeptDecision extends DecisionRecord {
  readonly atEpochMs: number;
}

/** A decision sink that also keeps the latest decisions of each request for operators. */
export interface DecisionLog extends DecisionSink {
  /** Decisions about a request, oldest first. */
  explain(requestId: string): readonly KeptDecision[];
}

/** Options of a decision log. */
export interface DecisionLogOptions {
  /** Requests of which decisions are kept; the oldest request is dropped first. */
  readonly keptRequests?: number;
  readonly log: Log;
  readonly nowEpochMs?: () => number;
}

const DEFAULT_KEPT_REQUESTS = 5000;
const MAX_DECISIONS_PER_REQUEST = 64;

/**
 * Creates a decision log: one log line for each decision, and a bounded memory of them by request.
 *
 * @param options - the log and the bound
 * @returns the decision log
 */
export function createDecisionLog(options: DecisionLogOptions): DecisionLog {
  const keptRequests = options.keptRequests ?? DEFAULT_KEPT_REQUESTS;
  const nowEpochMs = options.nowEpochMs ?? Date.now;
  const byRequest = new Map<string, KeptDecision[]>();

  const keep = (requestId: string, decision: KeptDecision): void => {
    const decisions = byRequest.get(requestId) ?? [];
    byRequest.delete(requestId);
    byRequest.set(requestId, decisions);
    if (decisions.length < MAX_DECISIONS_PER_REQUEST) {
      decisions.push(decision);
    }
    if (byRequest.size > keptRequests) {
      const oldest = byRequest.keys().next();
      byRequest.delete(oldest.value ?? '');
    }
  };

  return {
    explain: (requestId) => byRequest.get(requestId) ?? [],
    record: (decision) => {
      const { decision: name, fields, requestId } = decision;
      options.log.info('decision', { decision: name, requestId, ...fields });
      if (requestId !== undefined) {
        keep(requestId, { ...decision, atEpochMs: nowEpochMs() });
      }
    },
  };
}
