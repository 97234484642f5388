import type { MoveResult } from '../ServingPorts.js';

/** Outcome of a request to copy a run; `notSent`: the engine does not know of it. */
export type MoveOutcome = MoveResult | { readonly kind: 'notSent'; readonly reason: string };

/**
 * What is known of a run after an order to stop it. Only `ended` and `runsOn` let the end of a connection
 * count as the end of the stream.
 */
export type RunAfterStop = 'ended' | 'runsOn' | 'stopped' | 'unknown';

/**
 * What the outcome of an order to stop a run says about the run. The end of its connection can arrive
 * before or long after the outcome, and says nothing by itself.
 *
 * @param outcome - outcome of the order
 * @param mayBeStopped - an earlier order may have stopped the run
 * @returns what is known of the run
 */
export function runAfterStop(outcome: MoveOutcome, mayBeStopped: boolean): RunAfterStop {
  switch (outcome.kind) {
    case 'copied':
      return 'stopped';
    case 'noRoom':
      // An engine names the memory that it keeps of a stopped run; other refusals name none.
      return outcome.handle === undefined ? 'unknown' : 'stopped';
    case 'noSuchRun':
      return mayBeStopped ? 'unknown' : 'ended';
    case 'inProgress':
    case 'notSent':
      return mayBeStopped ? 'unknown' : 'runsOn';
    case 'unreadable':
      return 'unknown';
  }
}
