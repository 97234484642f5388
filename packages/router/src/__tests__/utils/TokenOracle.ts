import { tokenText } from './FakeEngines.js';
import type { FakeSink } from './FakeCluster.js';
import { MAX_TOKENS } from './FakeCluster.js';

/** The tokens and the end that a caller received over all its connections. */
export interface ReceivedStream {
  readonly generationId: string;
  readonly seed: number;
  /** Connections in the order in which the caller used them. */
  readonly sinks: readonly FakeSink[];
}

/**
 * Checks that a caller received each token once, in order and from one generation, and that the end
 * of the answer matches the received tokens.
 *
 * @param received - the received tokens and end
 * @returns the violations, empty if there are none
 */
export function findViolations(received: ReceivedStream): readonly string[] {
  const tokens = received.sinks.flatMap((sink) => sink.tokens);
  const violations: string[] = [];
  tokens.forEach((token, position) => {
    if (token.index !== position) {
      violations.push(`token ${token.index} came at position ${position}`);
    }
    if (token.text !== tokenText(received.generationId, received.seed, token.index)) {
      violations.push(`token ${token.index} is of another generation: ${token.text}`);
    }
  });
  const last = received.sinks.at(-1);
  if (last?.finished && last.finished.totalTokens !== tokens.length) {
    violations.push(`ended as whole after ${tokens.length} of ${last.finished.totalTokens} tokens`);
  }
  if (last?.finished && tokens.length !== MAX_TOKENS) {
    violations.push(`ended as whole after ${tokens.length} tokens`);
  }
  if (last?.refusal?.code === 'GENERATION_ENDED_EARLY') {
    const expectedDetail = `${tokens.length} tokens (0 to ${tokens.length - 1}) are valid`;
    if (!last.refusal.detail.includes(expectedDetail)) {
      violations.push(`${tokens.length} tokens came, but: ${last.refusal.detail}`);
    }
  }
  if (last && !last.finished && !last.refusal) {
    violations.push('the answer has no end');
  }
  return violations;
}
