import type { InFlightLease } from './InFlightAccount.js';
import type { PermitDecision } from './RequestAccount.js';

/** What operators allow a cold server. */
export interface ColdBudgetOptions {
  /** Factor on the rate that the bound allows. */
  readonly overageFactor: number;
  /** Requests per second that a cold server tolerates. */
  readonly requestsPerS: number;
  /** Requests in one second that the bound allows in addition. */
  readonly slackRequests: number;
}

/** How the requests that a cold server may get in one second are divided. */
export interface ColdBudget {
  /** Requests that all daemons without an owner may send in one window, together. */
  readonly aloneRequests: number;
  /** Requests that one owner may grant in one window. */
  readonly ownerRequests: number;
}

/**
 * Time from the request for a permit until the server is sent the request at the latest; the time after
 * which an owner counts as silent.
 */
export const COLD_PERMIT_VALID_MS = 120;
/** Requests that are sent within a second arrive within this much less, as their ways take different time. */
const MAX_DELIVERY_SPREAD_MS = 80;
/** Grants count together when the requests can arrive within one second. */
export const COLD_WINDOW_MS = 1_000 + COLD_PERMIT_VALID_MS + MAX_DELIVERY_SPREAD_MS;
/** Daemons that believe at the same time that they own a server, while their views differ. */
const MAX_OWNERS = 2;
/** An owner may grant the bound divided by this, so that two leave a fifth to daemons without one. */
const OWNER_FRACTION_DIVISOR = 2.5;
/** Daemons that the others do not know yet, which count their own share. */
const MAX_UNKNOWN_MEMBERS = 1;

/**
 * Divides the bound of a cold server. With B = requestsPerS x overageFactor + slackRequests, an owner
 * grants O = min(requestsPerS, 2/5 B), rounded down, in any window of {@link COLD_WINDOW_MS}, and the
 * daemons without an owner send A = B - 2 O - 1, rounded down, together. Every request of one second has
 * its grant within one window, so that two owners and all daemons alone send at most 2 O + A + 1 <= B.
 *
 * @param options - the bound
 * @returns the parts, whole numbers
 */
export function divideColdBudget(options: ColdBudgetOptions): ColdBudget {
  const { overageFactor, requestsPerS, slackRequests } = options;
  const bound = Math.floor(requestsPerS * overageFactor + slackRequests);
  const exactBound = requestsPerS * overageFactor + slackRequests;
  // A server that tolerates less than one request a second still has to get one to be used at all.
  const tolerated = Math.max(1, Math.floor(requestsPerS));
  const part = Math.max(1, Math.floor(exactBound / OWNER_FRACTION_DIVISOR));
  const ownerRequests = Math.min(tolerated, part, Math.floor(bound / MAX_OWNERS));
  const rest = bound - MAX_OWNERS * ownerRequests - MAX_UNKNOWN_MEMBERS;
  return { aloneRequests: Math.max(0, rest), ownerRequests };
}

/**
 * Share of one daemon of what daemons without an owner may send together. Whole requests are divided, so
 * that in a large fleet only the daemons that rank first for the server have one. One share is kept for
 * a daemon that the others do not know yet.
 *
 * @param aloneRequests - requests of all daemons without an owner in one window
 * @param rank - number of known daemons that rank before this one for the server
 * @param memberCount - number of known daemons, including this one and dead ones
 * @returns whole requests in one window, often 0
 */
export function coldShare(aloneRequests: number, rank: number, memberCount: number): number {
  const shares = memberCount + MAX_UNKNOWN_MEMBERS;
  return Math.floor(aloneRequests / shares) + (rank < aloneRequests % shares ? 1 : 0);
}

interface Grant {
  readonly atMs: number;
  readonly key: string;
}

/**
 * Counts the requests to one cold server that one daemon grants, as the owner or for itself: at most a
 * number of them in any window of {@link COLD_WINDOW_MS}, also right after a quiet time. Starts as if all
 * had been granted just before, evenly spread, because the previous holder of the account may have done
 * so. Handles bursts at a server that has just started, and the whole fleet asking at once.
 */
export class ColdAccount {
  /** In the order of their times, which can lie ahead. */
  private grants: Grant[] = [];
  /** When daemons were told to ask again. */
  private readonly hintsMs = new Map<string, number>();
  private isStarted = false;

  constructor(private readonly startedMs: number) {}

  /**
   * Takes one request.
   *
   * @param lease - the request; one that was granted already is granted again and counted once
   * @param maxRequests - whole requests that may be granted in a window
   * @param maxWaitMs - how long the request can wait
   * @param nowMs - monotonic time
   * @returns the decision; a declined request was not counted
   */
  take(
    lease: InFlightLease,
    maxRequests: number,
    maxWaitMs: number,
    nowMs: number,
  ): PermitDecision {
    this.start(maxRequests);
    this.expire(nowMs);
    const key = keyOf(lease);
    const known = this.grants.find((grant) => grant.key === key);
    if (known) {
      return { kind: 'granted', waitMs: Math.max(0, Math.ceil(known.atMs - nowMs)) };
    }
    if (maxRequests < 1) {
      return { kind: 'declined', retryAfterMs: COLD_WINDOW_MS };
    }
    const atMs = this.nextAtMs(maxRequests, nowMs);
    if (atMs - nowMs > maxWaitMs) {
      const hintMs = this.hint(lease.holder, atMs, COLD_WINDOW_MS / maxRequests, nowMs);
      return { kind: 'declined', retryAfterMs: Math.ceil(hintMs - nowMs) };
    }
    this.hintsMs.delete(lease.holder);
    this.grants.push({ atMs, key });
    return { kind: 'granted', waitMs: Math.ceil(atMs - nowMs) };
  }

  /** Moves the request that was taken last to a later time, because it has to wait for another reason. */
  defer(lease: InFlightLease, atMs: number): void {
    const last = this.grants.at(-1);
    if (last?.key === keyOf(lease) && atMs > last.atMs) {
      this.grants[this.grants.length - 1] = { ...last, atMs };
    }
  }

  /** Gives a request back that was not sent, or that reached another server. */
  giveBack(lease: InFlightLease): void {
    const key = keyOf(lease);
    this.grants = this.grants.filter((grant) => grant.key !== key);
  }

  /** The earliest time at which one more request stays within every window. */
  private nextAtMs(maxRequests: number, nowMs: number): number {
    const lastMs = this.grants.at(-1)?.atMs ?? nowMs;
    const windowStart = this.grants[this.grants.length - maxRequests];
    return Math.max(nowMs, lastMs, windowStart ? windowStart.atMs + COLD_WINDOW_MS : nowMs);
  }

  /**
   * Time at which a daemon shall ask again. The times of the daemons follow each other at the rate of the
   * account, so that a burst of them does not ask all at once, and none is turned away for long.
   */
  private hint(holder: string, freeMs: number, intervalMs: number, nowMs: number): number {
    const known = this.hintsMs.get(holder) ?? -Infinity;
    if (known > nowMs) {
      return Math.max(known, freeMs);
    }
    for (const [other, hintMs] of this.hintsMs) {
      if (hintMs <= nowMs) {
        this.hintsMs.delete(other);
      }
    }
    const lastMs = Math.max(-Infinity, ...this.hintsMs.values());
    const hintMs = Math.max(freeMs, lastMs + intervalMs);
    this.hintsMs.set(holder, hintMs);
    return hintMs;
  }

  private start(maxRequests: number): void {
    if (this.isStarted) {
      return;
    }
    this.isStarted = true;
    const intervalMs = COLD_WINDOW_MS / Math.max(1, maxRequests);
    for (let count = 1; count <= maxRequests; count += 1) {
      const atMs = this.startedMs - COLD_WINDOW_MS + count * intervalMs;
      this.grants.push({ atMs, key: `before ${count}` });
    }
  }

  private expire(nowMs: number): void {
    this.grants = this.grants.filter(({ atMs }) => atMs > nowMs - COLD_WINDOW_MS);
  }
}

function keyOf({ holder, requestNumber }: InFlightLease): string {
  return `${requestNumber} ${holder}`;
}
