import type { Contract } from '@laburnumgap/contracts';
import type { Refusal, Result } from '@laburnumgap/kernel';
import { success } from '@laburnumgap/kernel';

/** What a running request holds of its team's limits. */
export interface QuotaGrant {
  /** Charges produced tokens. */
  charge(tokens: number): void;
  /** Ends the request. Calling it twice does nothing more. */
  release(): void;
}

/** The limits of teams, as far as this router may grant them. */
export interface RouterQuota {
  /** Begins a request, charging its input tokens. */
  tryAdmit(contract: Contract, inputTokens: number): Result<QuotaGrant, Refusal>;
  stop(): void;
}

/** Grants everything. */
export const UNLIMITED_QUOTA: RouterQuota = {
  tryAdmit: () => success({ charge: () => undefined, release: () => undefined }),
  stop: () => undefined,
};
