import type { MemberId, ServerId } from '@laburnumgap/kernel';

/** What some daemons have at one engine. */
export interface EngineTotals {
  /** Prompt and output tokens in memory, with the growth that is planned for. */
  readonly plannedTokens: number;
  /** Prompt tokens that are not read yet. */
  readonly readingTokens: number;
  readonly runs: number;
  /** Prompt and output tokens in memory now. */
  readonly usedTokens: number;
}

/** What one daemon, or one domain, has at one engine. */
export interface EngineShare extends EngineTotals {
  readonly serverId: ServerId;
}

/** Room that was granted to a generation. */
export interface CapacityGrant {
  /** The word of its daemon comes as part of a domain's sum. */
  readonly isAggregated: boolean;
  /** Whose word will name the generation: its daemon, or the domain that speaks for it. */
  readonly reporterId: MemberId;
  readonly share: EngineShare;
}

interface Grant extends CapacityGrant {
  readonly atMs: number;
}

interface ToldTotals {
  readonly atMs: number;
  readonly totals: EngineTotals;
}

interface MemberShares {
  readonly atMs: number;
  readonly shares: ReadonlyMap<ServerId, EngineShare>;
}

/** Prompt tokens that an engine reads in a millisecond while other requests decode. */
export const PREFILL_TOKENS_PER_MS = 7;
/** Part of an overdue prompt that counts as unread. */
const OVERDUE_SHARE = 0.5;
/** A daemon that was silent this long is dead, and its connections with it. */
const MEMBER_SILENT_MS = 3_000;
/** A word that comes this long after a grant names the generation: more than a round trip. */
const GRANT_TOLD_AFTER_MS = 10;
/** The same for a domain's sum, which is made when the domain's first daemon was told. */
const GRANT_SUMMED_AFTER_MS = 40;
/** Without such a word the generation was not sent, or its daemon is dead. */
const GRANT_MS = 1_000;
/** What the owner of an engine said is as good as the words of the others after this time. */
const OWNER_WORD_MS = 250;

const NO_TOTALS: EngineTotals = { plannedTokens: 0, readingTokens: 0, runs: 0, usedTokens: 0 };

/**
 * Load of all engines: what this daemon has there, plus the last word of each other daemon, aged by
 * the prompt tokens that were read since. Answers many daemons placing on one stale report.
 */
export class EngineLoad {
  private grants: Grant[] = [];
  private readonly members = new Map<MemberId, MemberShares>();
  private readonly ownerWords = new Map<ServerId, ToldTotals>();
  private own: ReadonlyMap<ServerId, EngineShare> = new Map();

  /** Takes the last word of another daemon. */
  recordMemberReport(memberId: MemberId, shares: readonly EngineShare[], nowMs: number): void {
    const byServer = new Map(shares.map((share) => [share.serverId, share]));
    this.members.set(memberId, { atMs: nowMs, shares: byServer });
  }

  /** Counts a generation that was granted room until the word of its daemon names it. */
  recordGrant(grant: CapacityGrant, nowMs: number): void {
    this.grants = this.grants.filter((known) => this.isPending(known, nowMs));
    this.grants.push({ ...grant, atMs: nowMs });
  }

  /** Takes what the owner of an engine said of it. */
  recordOwnerReport(serverId: ServerId, totals: EngineTotals, nowMs: number): void {
    for (const [otherId, { atMs }] of this.ownerWords) {
      if (nowMs - atMs > OWNER_WORD_MS) {
        this.ownerWords.delete(otherId);
      }
    }
    this.ownerWords.set(serverId, { atMs: nowMs, totals });
  }

  /** Forgets a daemon that ended. */
  removeMember(memberId: MemberId): void {
    this.members.delete(memberId);
  }

  /** Replaces what this daemon has. */
  setOwnShares(shares: readonly EngineShare[]): void {
    this.own = new Map(shares.map((share) => [share.serverId, share]));
  }

  /**
   * Sum of what this daemon and some others have, one share for each engine.
   *
   * @param memberIds - the others
   * @param nowMs - monotonic time
   * @returns the shares, sorted by engine
   */
  sumShares(memberIds: ReadonlySet<MemberId>, nowMs: number): readonly EngineShare[] {
    const sums = new Map(this.own);
    for (const [memberId, { atMs, shares }] of this.members) {
      if (memberIds.has(memberId) && nowMs - atMs <= MEMBER_SILENT_MS) {
        for (const share of shares.values()) {
          sums.set(share.serverId, addShares(sums.get(share.serverId), share));
        }
      }
    }
    return [...sums.values()].sort((a, b) => (a.serverId < b.serverId ? -1 : 1));
  }

  /** Load of one engine now. */
  totals(serverId: ServerId, nowMs: number): EngineTotals {
    let sum: EngineTotals = this.own.get(serverId) ?? NO_TOTALS;
    for (const [memberId, { atMs, shares }] of this.members) {
      if (nowMs - atMs > MEMBER_SILENT_MS) {
        this.members.delete(memberId);
        continue;
      }
      const share = shares.get(serverId);
      sum = share ? addAged(sum, share, nowMs - atMs) : sum;
    }
    for (const grant of this.grants) {
      const counts = grant.share.serverId === serverId && this.isPending(grant, nowMs);
      sum = counts ? addAged(sum, grant.share, nowMs - grant.atMs) : sum;
    }
    return this.atLeastOwnerWord(serverId, nowMs, sum);
  }

  private isPending(
    { atMs, isAggregated: isSummed, reporterId: sourceId }: Grant,
    nowMs: number,
  ): boolean {
    const toldMs = this.members.get(sourceId)?.atMs ?? -Infinity;
    const namedMs = atMs + (isSummed ? GRANT_SUMMED_AFTER_MS : GRANT_TOLD_AFTER_MS);
    return nowMs - atMs <= GRANT_MS && toldMs < namedMs;
  }

  private atLeastOwnerWord(serverId: ServerId, nowMs: number, sum: EngineTotals): EngineTotals {
    const word = this.ownerWords.get(serverId);
    if (!word || nowMs - word.atMs > OWNER_WORD_MS) {
      return sum;
    }
    const { totals } = word;
    return {
      plannedTokens: Math.max(sum.plannedTokens, totals.plannedTokens),
      readingTokens: Math.max(sum.readingTokens, totals.readingTokens),
      runs: Math.max(sum.runs, totals.runs),
      usedTokens: Math.max(sum.usedTokens, totals.usedTokens),
    };
  }
}

/**
 * Prompt tokens of a run without a first token that are still unread. Engines read prompts one after
 * the other, so that a prompt which seems overdue stands behind others, or its engine is slow.
 *
 * @param promptTokens - length of the prompt
 * @param sinceSentMs - time since the run was sent
 * @returns tokens
 */
export function unreadPromptTokens(promptTokens: number, sinceSentMs: number): number {
  const expected = promptTokens - sinceSentMs * PREFILL_TOKENS_PER_MS;
  return Math.max(promptTokens * OVERDUE_SHARE, expected);
}

/** Adds a share that was told some time ago; its prompts were read on since. */
function addAged(sum: EngineTotals, share: EngineShare, ageMs: number): EngineTotals {
  return {
    plannedTokens: sum.plannedTokens + share.plannedTokens,
    readingTokens: sum.readingTokens + unreadPromptTokens(share.readingTokens, ageMs),
    runs: sum.runs + share.runs,
    usedTokens: sum.usedTokens + share.usedTokens,
  };
}

/**
 * Adds up two shares of one engine.
 *
 * @param sum - the sum so far, if any
 * @param share - a further share
 * @returns the new sum
 */
export function addShares(sum: EngineShare | undefined, share: EngineShare): EngineShare {
  return {
    plannedTokens: Math.round((sum?.plannedTokens ?? 0) + share.plannedTokens),
    readingTokens: Math.round((sum?.readingTokens ?? 0) + share.readingTokens),
    runs: (sum?.runs ?? 0) + share.runs,
    serverId: share.serverId,
    usedTokens: (sum?.usedTokens ?? 0) + share.usedTokens,
  };
}
