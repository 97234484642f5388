import { tokenText } from './FakeEngines.js';
import type { FakeSink } from './FakeWorld.js';
import { MAX_TOKENS } from './FakeWorld.js';

/** What a caller holds after all its connections. */
export interface CallerView {
  readonly generationId: string;
  readonly seed: number;
  /** Connections in the order in which the caller used them. */
  readonly sinks: readonly FakeSink[];
}

/**
 * Checks what a caller received: each token once, in order, from one generation, and an end that
 * is true.
 *
 * @param view - what the caller holds
 * @returns the violations, empty when there are none
 */
export function violationsOf(view: CallerView): readonly string[] {
  const tokens = view.sinks.flatMap((sink) => sink.tokens);
  const violations: string[] = [];
  tokens.forEach((token, position) => {
    if (token.index !== position) {
      violations.push(`token ${token.index} came at position ${position}`);
    }
    if (token.text !== tokenText(view.generationId, view.seed, token.index)) {
      violations.push(`token ${token.index} is of another generation: ${token.text}`);
    }
  });
  const last = view.sinks.at(-1);
  if (last?.end && last.end.totalTokens !== tokens.length) {
    violations.push(`ended as whole after ${tokens.length} of ${last.end.totalTokens} tokens`);
  }
  if (last?.end && tokens.length !== MAX_TOKENS) {
    violations.push(`ended as whole after ${tokens.length} tokens`);
  }
  if (last?.refusal?.code === 'GENERATION_ENDED_EARLY') {
    const promised = `${tokens.length} tokens (0 to ${tokens.length - 1}) are valid`;
    if (!last.refusal.detail.includes(promised)) {
      violations.push(`${tokens.length} tokens came, but: ${last.refusal.detail}`);
    }
  }
  if (last && !last.end && !last.refusal) {
    violations.push('the answer has no end');
  }
  return violations;
}
