import { RecencyMap } from './RecencyMap.js';

/** Identifies one request that counts as in flight. */
export interface InFlightLease {
  /** Daemon that sends the request. */
  readonly holder: string;
  readonly requestNumber: number;
}

/** Decision of an {@link InFlightAccount}. */
export type InFlightDecision =
  { readonly kind: 'declined'; readonly retryAfterMs: number } | { readonly kind: 'granted' };

/** Requests that a previous holder of the account granted end or are rejected in this time. */
const TAKE_OVER_MS = 500;
/** Rejections count within one second; nothing is sent meanwhile. */
const REJECTION_PAUSE_MS = 1_000;
/** Time without a rejection after which one more request may be in flight. */
const GROWTH_INTERVAL_MS = 2_000;
/** Leases whose end was lost count no longer than any request runs. */
const MAX_LEASE_MS = 60_000;
/** A declined request asks again after this: well below the time of most requests. */
const RECHECK_MS = 40;
/** More than the requests that end while a message is on its way. */
const MAX_REMEMBERED_ENDS = 1_024;

/**
 * Counts the requests in flight at one server, so that none has to be turned away there for want of
 * room. A rejection shows that there is less room than was assumed; the account then pauses for the
 * time in which rejections count together, and goes on with fewer.
 */
export class InFlightAccount {
  private changedMs: number;
  /** Requests that have ended: a repeated message of one can arrive late. */
  private readonly ended = new RecencyMap<string, boolean>(MAX_REMEMBERED_ENDS);
  private readonly leases = new Map<string, number>();
  private pausedUntilMs: number;
  /** Requests that may be in flight after a rejection; undefined for all slots. */
  private reducedTo: number | undefined;

  constructor(startedMs: number) {
    this.changedMs = startedMs;
    this.pausedUntilMs = startedMs + TAKE_OVER_MS;
  }

  /**
   * Takes a lease for one request.
   *
   * @param lease - the request
   * @param slots - requests that the server runs at once
   * @param nowMs - monotonic time
   * @returns the decision; a declined request holds nothing
   */
  take(lease: InFlightLease, slots: number, nowMs: number): InFlightDecision {
    this.expire(nowMs);
    if (nowMs < this.pausedUntilMs) {
      return { kind: 'declined', retryAfterMs: this.pausedUntilMs - nowMs };
    }
    if (this.leases.has(keyOf(lease))) {
      // The request was repeated, as its answer may be lost.
      return { kind: 'granted' };
    }
    if (this.ended.get(keyOf(lease)) === true) {
      return { kind: 'declined', retryAfterMs: RECHECK_MS };
    }
    this.grow(slots, nowMs);
    if (this.leases.size >= (this.reducedTo ?? slots)) {
      return { kind: 'declined', retryAfterMs: RECHECK_MS };
    }
    this.leases.set(keyOf(lease), nowMs + MAX_LEASE_MS);
    return { kind: 'granted' };
  }

  /** Ends a lease. Does nothing when it has ended. */
  release(lease: InFlightLease): void {
    this.leases.delete(keyOf(lease));
    this.ended.set(keyOf(lease), true);
  }

  /**
   * Ends the leases that a daemon does not hold any more, whose end was not heard.
   *
   * @param asking - its newest request; later ones are not in the list yet
   * @param heldNumbers - all requests that it holds or waits for
   */
  retainHeld(asking: InFlightLease, heldNumbers: readonly number[]): void {
    for (const key of [...this.leases.keys()]) {
      const [number, holder] = splitKey(key);
      const requestNumber = Number(number);
      const isEarlier = holder === asking.holder && requestNumber < asking.requestNumber;
      if (isEarlier && !heldNumbers.includes(requestNumber)) {
        this.leases.delete(key);
      }
    }
  }

  /** Records that the server rejected a request for want of room. */
  recordRejection(nowMs: number): void {
    if (nowMs >= this.pausedUntilMs) {
      this.reducedTo = Math.max(1, this.leases.size - 1);
    }
    this.changedMs = nowMs;
    this.pausedUntilMs = nowMs + REJECTION_PAUSE_MS;
  }

  /** Ends the leases of daemons that do not live any more. */
  retainHolders(isLive: (holder: string) => boolean): void {
    for (const key of this.leases.keys()) {
      if (!isLive(splitKey(key)[1])) {
        this.leases.delete(key);
      }
    }
  }

  /** Number of requests in flight. */
  count(): number {
    return this.leases.size;
  }

  private grow(slots: number, nowMs: number): void {
    if (this.reducedTo === undefined || nowMs - this.changedMs < GROWTH_INTERVAL_MS) {
      return;
    }
    this.changedMs = nowMs;
    this.reducedTo = this.reducedTo + 1 < slots ? this.reducedTo + 1 : undefined;
  }

  private expire(nowMs: number): void {
    for (const [key, untilMs] of this.leases) {
      if (untilMs <= nowMs) {
        this.leases.delete(key);
      }
    }
  }
}

function keyOf({ holder, requestNumber }: InFlightLease): string {
  return `${requestNumber} ${holder}`;
}

function splitKey(key: string): readonly [requestNumber: string, holder: string] {
  const end = key.indexOf(' ');
  return [key.slice(0, end), key.slice(end + 1)];
}
