import type { ServerId } from '@laburnumgap/kernel';
import { ColdAccount } from './ColdAccount.js';
import type { InFlightLease } from './InFlightAccount.js';
import { InFlightAccount } from './InFlightAccount.js';
import type { PermitDecision } from './RequestAccount.js';
import { RequestAccount } from './RequestAccount.js';
import type { ServerIncarnation } from './ServerRegistry.js';

/** One request to a server, and what applies to it. */
export interface PermitDemand {
  /** Requests that may be granted in one window of a cold server; infinite when it is warm. */
  readonly coldRequests: number;
  readonly lease: InFlightLease;
  readonly maxWaitMs: number;
  /** Infinite when the server does not limit its requests. */
  readonly requestsPerS: number;
  /** Requests that may be in flight; infinite when the server is not brittle. */
  readonly slots: number;
}

interface ServerAccount {
  readonly inFlight: InFlightAccount;
  readonly requests: RequestAccount;
  readonly startedEpochMs: number;
}

/** Options of {@link ServerAccounts}. */
export interface ServerAccountsOptions {
  /** When the accounts of cold servers start, monotonic time; with their first request by default. */
  readonly coldStartedMs?: number;
}

/**
 * The accounts of servers that limit what they take, are brittle or cold. A request is taken from all
 * accounts that apply to it, or from none.
 */
export class ServerAccounts {
  private readonly accounts = new Map<ServerId, ServerAccount>();
  /** Kept when a server restarts or another daemon owns it for a while: what it got still counts. */
  private readonly cold = new Map<ServerId, ColdAccount>();

  constructor(private readonly options: ServerAccountsOptions = {}) {}

  /**
   * Takes one request.
   *
   * @param server - the server; a restarted one starts with a new limit
   * @param demand - the request
   * @param nowMs - monotonic time
   * @returns the decision; a declined request was not counted
   */
  take(server: ServerIncarnation, demand: PermitDemand, nowMs: number): PermitDecision {
    const { coldRequests, lease, maxWaitMs, requestsPerS, slots } = demand;
    const { serverId } = server;
    const { inFlight, requests } = this.accountOf(server, nowMs);
    if (slots !== Infinity) {
      const decision = inFlight.take(lease, slots, nowMs);
      if (decision.kind === 'declined') {
        return decision;
      }
    }
    let coldWaitMs = 0;
    if (coldRequests !== Infinity) {
      const cold = this.coldAccountOf(serverId, nowMs);
      const decision = cold.take(lease, coldRequests, maxWaitMs, nowMs);
      if (decision.kind === 'declined') {
        inFlight.release(lease);
        return decision;
      }
      coldWaitMs = decision.waitMs;
    }
    if (requestsPerS === Infinity) {
      return { kind: 'granted', waitMs: coldWaitMs };
    }
    const decision = requests.take(requestsPerS, maxWaitMs, nowMs);
    if (decision.kind === 'declined') {
      inFlight.release(lease);
      this.cold.get(serverId)?.giveBack(lease);
      return decision;
    }
    this.cold.get(serverId)?.defer(lease, nowMs + decision.waitMs);
    return { kind: 'granted', waitMs: Math.max(coldWaitMs, decision.waitMs) };
  }

  /** Ends a request, which no longer counts as in flight. */
  release(serverId: ServerId, lease: InFlightLease): void {
    this.accounts.get(serverId)?.inFlight.release(lease);
  }

  /** Gives a request to a cold server back that was not sent, or that reached another server. */
  giveBack(serverId: ServerId, lease: InFlightLease): void {
    this.cold.get(serverId)?.giveBack(lease);
  }

  /** Records that a brittle server rejected a request. */
  recordRejection(server: ServerIncarnation, nowMs: number): void {
    this.accountOf(server, nowMs).inFlight.recordRejection(nowMs);
  }

  /** Records a rejection where the account exists. */
  recordKnownRejection(serverId: ServerId, nowMs: number): void {
    this.accounts.get(serverId)?.inFlight.recordRejection(nowMs);
  }

  /** Ends the requests of a daemon to a brittle server that it does not hold any more. */
  retainHeld(serverId: ServerId, asking: InFlightLease, heldNumbers: readonly number[]): void {
    this.accounts.get(serverId)?.inFlight.retainHeld(asking, heldNumbers);
  }

  /** Lets the limit and what is in flight of a server start anew. */
  reset(serverId: ServerId): void {
    this.accounts.delete(serverId);
  }

  /**
   * Forgets servers that are no longer registered, and what dead daemons held.
   *
   * @param isKnown - whether a server is registered
   * @param isLive - whether a daemon lives
   */
  retain(isKnown: (serverId: ServerId) => boolean, isLive: (holder: string) => boolean): void {
    for (const perServer of [this.accounts, this.cold]) {
      for (const serverId of perServer.keys()) {
        if (!isKnown(serverId)) {
          perServer.delete(serverId);
        }
      }
    }
    for (const { inFlight } of this.accounts.values()) {
      inFlight.retainHolders(isLive);
    }
  }

  private accountOf({ serverId, startedEpochMs }: ServerIncarnation, nowMs: number): ServerAccount {
    const known = this.accounts.get(serverId);
    if (known?.startedEpochMs === startedEpochMs) {
      return known;
    }
    const account = {
      inFlight: new InFlightAccount(nowMs),
      requests: new RequestAccount(nowMs),
      startedEpochMs,
    };
    this.accounts.set(serverId, account);
    return account;
  }

  private coldAccountOf(serverId: ServerId, nowMs: number): ColdAccount {
    const known = this.cold.get(serverId);
    if (known) {
      return known;
    }
    const account = new ColdAccount(this.options.coldStartedMs ?? nowMs);
    this.cold.set(serverId, account);
    return account;
  }
}
