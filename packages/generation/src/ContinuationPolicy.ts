import type { PluginRegistry } from '@laburnumgap/kernel';
import { createPluginRegistry } from '@laburnumgap/kernel';

/** State of a generation when the engine that runs it is abandoned. */
export interface ContinuationFacts {
  /** Number of tokens that the caller may have received. */
  readonly deliveredTokens: number;
  /** Number of leading tokens whose text is known, so that they can be sent as a prefix. */
  readonly knownTokens: number;
}

/** Decides whether another engine may continue a generation. */
export interface ContinuationPolicy {
  /** Whether another engine gets undelivered known tokens as a prefix, or generates them anew. */
  readonly keepsUndelivered: boolean;
  /** Whether another engine may continue it. The engine that ran it always may. */
  mayUseOtherEngine(facts: ContinuationFacts): boolean;
  readonly name: string;
}

/**
 * Continues on another engine: from the known tokens as a fixed prefix, or, where their texts are
 * lost, by running the same seed again and withholding what the caller has received.
 */
export class PrefixContinuationPolicy implements ContinuationPolicy {
  readonly keepsUndelivered = true;
  readonly name = 'prefix';

  mayUseOtherEngine(): boolean {
    return true;
  }
}

/** Never lets a second engine continue an answer of which the caller may have received a token. */
export class StrictContinuationPolicy implements ContinuationPolicy {
  readonly keepsUndelivered = false;
  readonly name = 'strict';

  mayUseOtherEngine(facts: ContinuationFacts): boolean {
    return facts.deliveredTokens === 0;
  }
}

/**
 * Creates the registry of the policies that settings refer to by name.
 *
 * @returns a registry with `prefix` and `strict`
 */
export function createContinuationPolicies(): PluginRegistry<ContinuationPolicy> {
  const policies = createPluginRegistry<ContinuationPolicy>();
  policies.register('prefix', new PrefixContinuationPolicy());
  policies.register('strict', new StrictContinuationPolicy());
  return policies;
}
