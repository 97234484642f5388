import type {
  BackendServer,
  ColdBudget,
  LimitReport,
  PermitDecision,
  PermitDemand,
  ServerLimits,
} from '@laburnumgap/dispatch';
import { COLD_PERMIT_VALID_MS, ServerAccounts } from '@laburnumgap/dispatch';
import type { MemberId, MonotonicClock, ServerId, Teardown } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { PermitMessage } from '../peers/PeerMessages.js';
import { startResponseTimeout } from '../ResponseTimeout.js';
import type { ServingLog } from '../ServingLog.js';
import type { ColdPermits } from './ColdPermits.js';
import { elapsedMs, momentOf } from './Moment.js';
import { PermitDeclines } from './PermitDeclines.js';
import type { Permit, PermitListener } from './PermitLeases.js';
import { PermitLeases } from './PermitLeases.js';
import type { PermitQuery } from './PermitQueries.js';
import { PermitQueries } from './PermitQueries.js';

/** Options of {@link ServerLimitCoordinator}. */
export interface ServerLimitCoordinatorOptions {
  /** Runs a function once after a delay; the returned function cancels it. */
  readonly after?: (delayMs: number, run: () => void) => Teardown;
  /** Whether a server is taken for brittle before it says so; none is by default. */
  readonly assumesBrittle?: (server: BackendServer) => boolean;
  readonly clock: MonotonicClock;
  /** What applies to cold servers; no server is cold by default. */
  readonly cold?: Pick<
    ColdPermits,
    'budgetOf' | 'onDecision' | 'onGivenBack' | 'remainingMs' | 'shareOf'
  >;
  /** Above the request numbers of earlier starts of this daemon, which others remember; 0 by default. */
  readonly firstRequestNumber?: number;
  /** Whether a daemon lives, as this one hears. */
  readonly isLive: (memberId: MemberId) => boolean;
  readonly limits: Pick<ServerLimits, 'isBrittle' | 'reportOf' | 'requestsPerS'>;
  readonly log: ServingLog;
  readonly memberId: MemberId;
  /** Number of known daemons, including this one. */
  readonly memberCount: () => number;
  /** Reads the wall clock; the system's by default. */
  readonly nowEpochMs?: () => number;
  /** Called with what another daemon knows of a limit. */
  readonly onLimit: (report: LimitReport) => void;
  /** Daemon that keeps the account of a server, as this daemon sees it. */
  readonly ownerOf: (server: BackendServer) => MemberId;
  /** Whether this daemon hears from most daemons; otherwise it may be cut off from the owner. */
  readonly seesMajority: () => boolean;
  readonly send: (message: PermitMessage, recipientId: MemberId) => void;
  readonly serverOf: (serverId: ServerId) => BackendServer | undefined;
}

type PermitRequest = Extract<PermitMessage, { kind: 'permitRequest' }>;
type PermitResponse = Extract<PermitMessage, { kind: 'permitResponse' }>;

/** Time before an owner that did not decide is asked again. */
const ALONE_MS = 500;
/** Keeps the requests to one owner to a hundred a second, however many daemons there are. */
const MIN_HOLD_PER_MEMBER_MS = 10;

/**
 * Permits requests to servers that limit what they take from all daemons together. Each server has an
 * owner among the daemons, which keeps its accounts and grants permits. While the owner does not answer,
 * a daemon takes an equal part of the limit, so that all daemons together stay within it. Brittle
 * servers get no more requests at once than they run; their owners also count what is in flight. Cold
 * servers get no more in any second than their bound, from owners and daemons without one together.
 */
export class ServerLimitCoordinator {
  /** Servers whose owner did not decide, and until when it is not asked again. */
  private readonly aloneUntilMs = new Map<ServerId, number>();
  private readonly declines: PermitDeclines;
  private lastRequestNumber: number;
  private readonly leases: PermitLeases;
  private readonly nowEpochMs: () => number;
  /** Accounts of the servers that this daemon owns. */
  private readonly owned = new ServerAccounts();
  /** Accounts of this daemon's equal part; only while the owner does not decide. */
  private readonly ownParts: ServerAccounts;
  private readonly queries: PermitQueries;

  constructor(private readonly options: ServerLimitCoordinatorOptions) {
    const { clock, cold, firstRequestNumber = 0, memberId, send } = options;
    const after = (delayMs: number, run: () => void): Teardown => this.after(delayMs, run);
    this.lastRequestNumber = firstRequestNumber;
    this.nowEpochMs = options.nowEpochMs ?? Date.now;
    // An earlier start of this daemon may have used its part.
    this.ownParts = new ServerAccounts({ coldStartedMs: clock.nowMs() });
    this.declines = new PermitDeclines({
      clock,
      remainingColdMs: (server) => (this.isCold(server) ? (cold?.remainingMs(server) ?? 0) : 0),
      isLimited: (server) => this.isLimited(server),
    });
    this.leases = new PermitLeases({
      after,
      clock,
      memberId,
      nowEpochMs: this.nowEpochMs,
      onGivenBack: (server) => cold?.onGivenBack(server),
      send,
    });
    this.queries = new PermitQueries({
      after,
      onSilent: (requestNumber, query) => {
        this.onOwnerSilent(requestNumber, query);
      },
      sendRequest: (requestNumber, query) => {
        this.sendRequest(requestNumber, query);
      },
    });
  }

  /** Whether a server limits the requests that it takes. */
  isLimited(server: BackendServer): boolean {
    return (
      this.options.limits.requestsPerS(server) !== undefined ||
      this.isBrittle(server) ||
      this.isCold(server)
    );
  }

  /** Whether a server fails when it has to turn away too many requests. */
  isBrittle(server: BackendServer): boolean {
    const { assumesBrittle, limits } = this.options;
    return limits.isBrittle(server) || assumesBrittle?.(server) === true;
  }

  /** Whether a server is cold and takes fewer requests for that. */
  isCold(server: BackendServer): boolean {
    return this.coldBudgetOf(server) !== undefined;
  }

  /**
   * Whether a request may be sent now. The server can have become cold since the permit was requested,
   * and a permit for a cold one is valid for a short time.
   */
  mayUse(server: BackendServer, permit: Permit | undefined): boolean {
    return !this.isCold(server) || permit?.isValidForCold() === true;
  }

  /** Tells the owner of a brittle server that it turned a request away. */
  onRejected(server: BackendServer): void {
    const { clock, log, memberId, ownerOf, send } = this.options;
    const { serverId } = server;
    const ownerId = ownerOf(server);
    log.info('brittle-server-rejected', { owner: ownerId, serverId });
    if (ownerId === memberId) {
      this.owned.recordRejection(server, clock.nowMs());
    } else {
      this.ownParts.recordKnownRejection(serverId, clock.nowMs());
      send({ isRejected: true, kind: 'permitReleased', memberId, serverId }, ownerId);
    }
  }

  /** Time until a permit for a server can be requested, after one was declined. */
  availableAfterMs(server: BackendServer): number {
    return this.declines.availableAfterMs(server);
  }

  /**
   * Requests a permit for one request to a server. Granted at once when the server names no limit.
   *
   * @param server - the server
   * @param maxWaitMs - how long the request can wait to be sent
   * @param onDecision - called once, synchronously when no other daemon has to be asked
   */
  requestPermit(server: BackendServer, maxWaitMs: number, onDecision: PermitListener): void {
    if (!this.isLimited(server)) {
      onDecision({ kind: 'granted', waitMs: 0 });
      return;
    }
    const { clock, memberId, ownerOf, seesMajority } = this.options;
    const { serverId } = server;
    const availableAfterMs = this.availableAfterMs(server);
    if (availableAfterMs > 0 && maxWaitMs === 0) {
      onDecision({ kind: 'declined', retryAfterMs: availableAfterMs });
      return;
    }
    const ownerId = ownerOf(server);
    if (ownerId === memberId && seesMajority()) {
      this.decideOwnRequest(server, maxWaitMs, onDecision);
      return;
    }
    const isAlone = clock.nowMs() < (this.aloneUntilMs.get(serverId) ?? -Infinity);
    if (ownerId === memberId || isAlone) {
      this.decideAlone(server, maxWaitMs, onDecision);
      return;
    }
    this.queries.ask(this.nextRequestNumber(), {
      asked: momentOf(clock, this.nowEpochMs),
      isCold: this.isCold(server),
      maxWaitMs,
      onDecision,
      ownerId,
      server,
    });
  }

  /** Handles a message of another daemon. */
  onMessage(message: PermitMessage): void {
    const { onLimit } = this.options;
    if (message.kind === 'permitReleased') {
      this.onReleased(message);
      return;
    }
    if (message.limit) {
      onLimit(message.limit);
    }
    if (message.kind === 'permitRequest') {
      this.respond(message);
    } else {
      this.onResponse(message);
    }
  }

  /**
   * Forgets servers that are no longer registered.
   *
   * @param isKnown - whether a server is registered
   */
  retain(isKnown: (serverId: ServerId) => boolean): void {
    for (const serverId of this.aloneUntilMs.keys()) {
      if (!isKnown(serverId)) {
        this.aloneUntilMs.delete(serverId);
      }
    }
    this.declines.retain(isKnown);
    const { isLive, memberId } = this.options;
    this.owned.retain(isKnown, (holder) => holder === memberId || isLive(toId<MemberId>(holder)));
    this.ownParts.retain(isKnown, () => true);
  }

  private onReleased({
    isRejected,
    isUnused,
    memberId,
    requestNumber,
    serverId,
  }: Extract<PermitMessage, { kind: 'permitReleased' }>): void {
    const server = this.options.serverOf(serverId);
    if (isRejected && server) {
      this.owned.recordRejection(server, this.options.clock.nowMs());
    }
    if (requestNumber === undefined) {
      return;
    }
    const lease = { holder: memberId, requestNumber };
    this.owned.release(serverId, lease);
    if (isUnused) {
      this.owned.giveBack(serverId, lease);
    }
  }

  private onResponse(message: PermitResponse): void {
    const { clock, memberCount } = this.options;
    const { countsCold = false, decision, requestNumber, serverId } = message;
    const query = this.queries.take(requestNumber, serverId);
    if (!query) {
      return;
    }
    const { asked, maxWaitMs, onDecision, ownerId, server } = query;
    if (decision.kind === 'notOwner') {
      this.beAlone(serverId);
      this.decideAlone(server, maxWaitMs, onDecision);
      return;
    }
    const isCold = this.isCold(server);
    if (decision.kind === 'granted' && isCold) {
      const isLate = elapsedMs(asked, momentOf(clock, this.nowEpochMs)) > COLD_PERMIT_VALID_MS;
      if (isLate || !countsCold) {
        // Late, of another build, or requested before the server became cold.
        this.leases.sendRelease(serverId, ownerId, requestNumber, true);
        if (query.isCold) {
          this.beAlone(serverId);
        }
        this.requestPermit(server, maxWaitMs, onDecision);
        return;
      }
    }
    const minHoldMs = isCold ? 0 : MIN_HOLD_PER_MEMBER_MS * memberCount();
    const applied = this.applyDecision(server, decision, minHoldMs);
    if (applied.kind === 'declined') {
      onDecision(applied);
      return;
    }
    const permit = this.leases.remote(ownerId, {
      asked,
      isBrittle: this.isBrittle(server),
      isCold: countsCold,
      requestNumber,
      server,
      waitMs: applied.waitMs,
    });
    onDecision(applied, permit);
  }

  private nextRequestNumber(): number {
    this.lastRequestNumber += 1;
    return this.lastRequestNumber;
  }

  private beAlone(serverId: ServerId): void {
    this.aloneUntilMs.set(serverId, this.options.clock.nowMs() + ALONE_MS);
  }

  private sendRequest(
    requestNumber: number,
    { isCold, maxWaitMs, ownerId, server }: PermitQuery,
  ): void {
    const { memberId, send } = this.options;
    const { serverId } = server;
    const limit = this.reportOf(serverId);
    const heldNumbers = this.isBrittle(server)
      ? [...this.leases.numbersOf(serverId), ...this.queries.numbersOf(serverId)]
      : undefined;
    send(
      {
        ...(heldNumbers ? { heldNumbers } : {}),
        ...(isCold ? { isCold } : {}),
        kind: 'permitRequest',
        limit,
        maxWaitMs,
        memberId,
        requestNumber,
        serverId,
      },
      ownerId,
    );
  }

  private onOwnerSilent(requestNumber: number, query: PermitQuery): void {
    const { clock, log } = this.options;
    const { isCold, maxWaitMs, onDecision, ownerId, server } = query;
    const { serverId } = server;
    if (clock.nowMs() >= (this.aloneUntilMs.get(serverId) ?? -Infinity)) {
      this.beAlone(serverId);
      log.warn('limit-owner-silent', { owner: ownerId, serverId });
    }
    if (this.isBrittle(server) || isCold) {
      // The owner may have granted it, and only its answer was lost.
      this.leases.sendRelease(serverId, ownerId, requestNumber, true);
    }
    this.decideAlone(server, maxWaitMs, onDecision);
  }

  private respond(message: PermitRequest): void {
    const { heldNumbers, maxWaitMs, memberId: requesterId, requestNumber, serverId } = message;
    const { memberId, ownerOf, seesMajority, send, serverOf } = this.options;
    const server = serverOf(serverId);
    const isOwner = server !== undefined && ownerOf(server) === memberId && seesMajority();
    const lease = { holder: requesterId, requestNumber };
    if (heldNumbers) {
      this.owned.retainHeld(serverId, lease, heldNumbers);
    }
    const limit = this.reportOf(serverId);
    if (!isOwner) {
      const decision = { kind: 'notOwner' } as const;
      send({ decision, kind: 'permitResponse', limit, requestNumber, serverId }, requesterId);
      return;
    }
    const budget = this.coldBudgetOf(server, message.isCold);
    const decision = this.decideAsOwner(server, { lease, maxWaitMs }, budget);
    const countsCold = budget ? { countsCold: true } : {};
    send(
      { ...countsCold, decision, kind: 'permitResponse', limit, requestNumber, serverId },
      requesterId,
    );
  }

  /** Decides on a request of this daemon as the owner of the server. */
  private decideOwnRequest(
    server: BackendServer,
    maxWaitMs: number,
    onDecision: PermitListener,
  ): void {
    const requestNumber = this.nextRequestNumber();
    const lease = this.leases.leaseOf(requestNumber);
    const budget = this.coldBudgetOf(server);
    const decision = this.decideAsOwner(server, { lease, maxWaitMs }, budget);
    const applied = this.applyDecision(server, decision, 0);
    const isCold = budget !== undefined;
    onDecision(applied, this.ownPermit(this.owned, server, applied, { isCold, requestNumber }));
  }

  private decideAsOwner(
    server: BackendServer,
    request: Pick<PermitDemand, 'lease' | 'maxWaitMs'>,
    budget: ColdBudget | undefined,
  ): PermitDecision {
    const { limits } = this.options;
    this.ownParts.reset(server.serverId);
    if (!this.isLimited(server) && !budget) {
      return { kind: 'granted', waitMs: 0 };
    }
    return this.take(this.owned, server, {
      ...request,
      coldRequests: budget?.ownerRequests ?? Infinity,
      requestsPerS: limits.requestsPerS(server) ?? Infinity,
      slots: this.isBrittle(server) ? server.slots : Infinity,
    });
  }

  /** Takes one request of this daemon's equal part. */
  private decideAlone(server: BackendServer, maxWaitMs: number, onDecision: PermitListener): void {
    const { cold, limits, memberCount } = this.options;
    if (!this.isLimited(server)) {
      onDecision({ kind: 'granted', waitMs: 0 });
      return;
    }
    const { serverId } = server;
    // The account as an owner starts anew when this daemon owns the server again.
    this.owned.reset(serverId);
    const requestNumber = this.nextRequestNumber();
    const budget = this.coldBudgetOf(server);
    const decision = this.take(this.ownParts, server, {
      coldRequests: budget ? (cold?.shareOf(server, budget) ?? 0) : Infinity,
      lease: this.leases.leaseOf(requestNumber),
      maxWaitMs,
      requestsPerS: (limits.requestsPerS(server) ?? Infinity) / memberCount(),
      slots: this.isBrittle(server) ? Math.floor(server.slots / memberCount()) : Infinity,
    });
    const isCold = budget !== undefined;
    if (decision.kind === 'granted') {
      onDecision(
        decision,
        this.ownPermit(this.ownParts, server, decision, { isCold, requestNumber }),
      );
      return;
    }
    // The owner may answer again, or another daemon may own the server.
    const retryAfterMs = this.declines.add(server, Math.min(ALONE_MS, decision.retryAfterMs));
    onDecision({ kind: 'declined', retryAfterMs });
  }

  private take(
    accounts: ServerAccounts,
    server: BackendServer,
    demand: PermitDemand,
  ): PermitDecision {
    const { clock, cold } = this.options;
    const decision = accounts.take(server, demand, clock.nowMs());
    if (demand.coldRequests !== Infinity) {
      cold?.onDecision(server, {
        decision,
        holder: demand.lease.holder,
        maxRequests: demand.coldRequests,
        source: accounts === this.owned ? 'owner' : 'alone',
      });
    }
    return decision;
  }

  private ownPermit(
    accounts: ServerAccounts,
    server: BackendServer,
    decision: PermitDecision,
    { isCold, requestNumber }: { readonly isCold: boolean; readonly requestNumber: number },
  ): Permit | undefined {
    if (decision.kind === 'declined') {
      return undefined;
    }
    const asked = momentOf(this.options.clock, this.nowEpochMs);
    const isBrittle = this.isBrittle(server);
    const { waitMs } = decision;
    return this.leases.own(accounts, { asked, isBrittle, isCold, requestNumber, server, waitMs });
  }

  /** Remembers a decision of the server's owner. */
  private applyDecision(
    server: BackendServer,
    decision: PermitDecision,
    minHoldMs: number,
  ): PermitDecision {
    const { serverId } = server;
    this.aloneUntilMs.delete(serverId);
    this.ownParts.reset(serverId);
    if (decision.kind === 'granted') {
      return decision;
    }
    const holdMs = Math.max(minHoldMs, decision.retryAfterMs);
    const retryAfterMs = this.declines.add(server, holdMs);
    return { kind: 'declined', retryAfterMs };
  }

  /**
   * Parts of the bound of a cold server.
   *
   * @param server - the server
   * @param isReportedCold - another daemon knows that it is cold
   * @returns undefined when it is warm, or when cold servers get as many requests as others
   */
  private coldBudgetOf(server: BackendServer, isReportedCold = false): ColdBudget | undefined {
    return this.options.cold?.budgetOf(server, isReportedCold);
  }

  private reportOf(serverId: ServerId): LimitReport | undefined {
    return this.options.limits.reportOf(serverId, this.options.clock.nowMs());
  }

  private after(delayMs: number, run: () => void): Teardown {
    const { after, clock } = this.options;
    return after ? after(delayMs, run) : startResponseTimeout(clock, delayMs, run);
  }
}
