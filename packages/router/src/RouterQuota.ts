import type { Contract } from '@laburnumgap/contracts';
import type { Refusal, Result } from '@laburnumgap/kernel';
import { success } from '@laburnumgap/kernel';

/** The share of its team's limits that a running request occupies. */
export interface QuotaGrant {
  /** Charges produced tokens. */
  charge(tokens: number): void;
  /** Ends the request. Further calls have no effect. */
  release(): void;
}

/** Admits requests within this router's share of the limits of teams. */
export interface RouterQuota {
  /** Admits a request and charges its input tokens, or refuses it. */
  tryAdmit(contract: Contract, inputTokens: number): Result<QuotaGrant, Refusal>;
  stop(): void;
}

/** Admits every request. */
export const UNLIMITED_QUOTA: RouterQuota = {
  tryAdmit: () => success({ charge: () => undefined, release: () => undefined }),
  stop: () => undefined,
};
