import type { PluginRegistry } from '@laburnumgap/kernel';
import { createPluginRegistry } from '@laburnumgap/kernel';

/** What is known of a generation when the engine that runs it is given up. */
export interface ContinuationFacts {
  /** Tokens that the caller may have received. */
  readonly deliveredTokens: number;
  /** Leading tokens of which the text is known here, so that they can be given as a prefix. */
  readonly knownTokens: number;
}

/** Decides whether a generation may go on at another engine. */
export interface ContinuationPolicy {
  /** Whether a move keeps known tokens that no caller has as a prefix, or runs them anew. */
  readonly keepsUndelivered: boolean;
  /** Whether another engine may continue it. The engine that ran it always may. */
  mayUseOtherEngine(facts: ContinuationFacts): boolean;
  readonly name: string;
}

/**
 * Continues on another engine: from the known tokens as a fixed prefix, or, where the texts are
 * lost, by running the same seed again and holding back what the caller has.
 */
export class PrefixContinuationPolicy implements ContinuationPolicy {
  readonly keepsUndelivered = true;
  readonly name = 'prefix';

  mayUseOtherEngine(): boolean {
    return true;
  }
}

/** Never lets a second engine add to an answer of which the caller may hold a token. */
export class StrictContinuationPolicy implements ContinuationPolicy {
  readonly keepsUndelivered = false;
  readonly name = 'strict';

  mayUseOtherEngine(facts: ContinuationFacts): boolean {
    return facts.deliveredTokens === 0;
  }
}

/**
 * Creates the registry of policies that settings can name.
 *
 * @returns a registry with `prefix` and `strict`
 */
export function createContinuationPolicies(): PluginRegistry<ContinuationPolicy> {
  const policies = createPluginRegistry<ContinuationPolicy>();
  policies.register('prefix', new PrefixContinuationPolicy());
  policies.register('strict', new StrictContinuationPolicy());
  return policies;
}
