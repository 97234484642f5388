import type {
  BackendServer,
  InFlightLease,
  LimitReport,
  PermitDecision,
  ServerLimits,
} from '@laburnumgap/dispatch';
import { InFlightAccount, RequestAccount } from '@laburnumgap/dispatch';
import type { MemberId, MonotonicClock, ServerId, Teardown } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { PermitMessage } from '../peers/PeerMessages.js';
import { startResponseTimeout } from '../ResponseTimeout.js';
import type { ServingLog } from '../ServingLog.js';

/** Options of {@link ServerLimitCoordinator}. */
export interface ServerLimitCoordinatorOptions {
  /** Runs a function once after a delay; the returned function cancels it. */
  readonly after?: (delayMs: number, run: () => void) => Teardown;
  readonly clock: MonotonicClock;
  /** Above the request numbers of earlier starts of this daemon, which others remember; 0 by default. */
  readonly firstRequestNumber?: number;
  /** Whether a daemon lives, as this one hears. */
  readonly isLive: (memberId: MemberId) => boolean;
  readonly limits: Pick<ServerLimits, 'isBrittle' | 'reportOf' | 'requestsPerS'>;
  readonly log: ServingLog;
  readonly memberId: MemberId;
  /** Number of known daemons, including this one. */
  readonly memberCount: () => number;
  /** Called with what another daemon knows of a limit. */
  readonly onLimit: (report: LimitReport) => void;
  /** Daemon that keeps the account of a server, as this daemon sees it. */
  readonly ownerOf: (server: BackendServer) => MemberId;
  /** Whether this daemon hears from most daemons; otherwise it may be cut off from the owner. */
  readonly seesMajority: () => boolean;
  readonly send: (message: PermitMessage, recipientId: MemberId) => void;
  readonly serverOf: (serverId: ServerId) => BackendServer | undefined;
}

/** A granted request to a brittle server, which counts as in flight until it has ended. */
export interface Permit {
  /** Ends the request. Idempotent. */
  release(): void;
}

/** Receives a decision, and the permit of a granted request to a brittle server. */
export type PermitListener = (decision: PermitDecision, permit?: Permit) => void;

interface PendingRequest {
  readonly cancelTimer: Teardown;
  readonly maxWaitMs: number;
  readonly onDecision: PermitListener;
  readonly ownerId: MemberId;
  readonly server: BackendServer;
}

interface RequestDemand {
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

/** Time after which the end of a request is told again, as datagrams can be lost. */
const REPEAT_RELEASE_AFTER_MS = 150;
/** Time after which an unanswered request is repeated, as datagrams can be lost. */
const REPEAT_AFTER_MS = 40;
/** An owner that has not answered by then is dead or unreachable. */
const OWNER_TIMEOUT_MS = 120;
/** Time before an owner that did not decide is asked again. */
const ALONE_MS = 500;
/** Keeps the requests to one owner to a hundred a second, however many daemons there are. */
const MIN_HOLD_PER_MEMBER_MS = 10;

/**
 * Permits requests to servers that limit what they take from all daemons together. Each server has an
 * owner among the daemons, which keeps its account and grants permits. While the owner does not answer,
 * a daemon takes an equal part of the limit, so that all daemons together stay within it. Brittle
 * servers get no more requests at once than they run; their owners also count what is in flight.
 */
export class ServerLimitCoordinator {
  /** Accounts of the servers that this daemon owns. */
  private readonly accounts = new Map<ServerId, ServerAccount>();
  /** Servers whose owner did not decide, and until when it is not asked again. */
  private readonly aloneUntilMs = new Map<ServerId, number>();
  private readonly declinedUntilMs = new Map<ServerId, number>();
  /** Accounts of this daemon's equal part; only while the owner does not decide. */
  private readonly ownParts = new Map<ServerId, ServerAccount>();
  private lastRequestNumber: number;
  private readonly pending = new Map<number, PendingRequest>();
  /** Servers of the permits that other daemons granted and that have not ended, by request number. */
  private readonly remotePermits = new Map<number, ServerId>();

  constructor(private readonly options: ServerLimitCoordinatorOptions) {
    this.lastRequestNumber = options.firstRequestNumber ?? 0;
  }

  /** Whether a server limits the requests that it takes. */
  isLimited(server: BackendServer): boolean {
    return this.options.limits.requestsPerS(server) !== undefined || this.isBrittle(server);
  }

  /** Whether a server fails when it has to turn away too many requests. */
  isBrittle(server: BackendServer): boolean {
    return this.options.limits.isBrittle(server);
  }

  /** Tells the owner of a brittle server that it turned a request away. */
  onRejected(server: BackendServer): void {
    const { clock, log, memberId, ownerOf, send } = this.options;
    const { serverId } = server;
    const ownerId = ownerOf(server);
    log.info('brittle-server-rejected', { owner: ownerId, serverId });
    if (ownerId === memberId) {
      this.recordRejection(server);
    } else {
      this.ownParts.get(serverId)?.inFlight.recordRejection(clock.nowMs());
      send({ isRejected: true, kind: 'permitReleased', memberId, serverId }, ownerId);
    }
  }

  /** Time until a permit for a server can be requested, after one was declined. */
  availableAfterMs(server: BackendServer): number {
    const untilMs = this.declinedUntilMs.get(server.serverId);
    if (untilMs === undefined || !this.isLimited(server)) {
      return 0;
    }
    return Math.max(0, untilMs - this.options.clock.nowMs());
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
      const lease = this.nextLease();
      const decision = this.decideAsOwner(server, maxWaitMs, lease);
      onDecision(this.applyDecision(serverId, decision, 0), this.permitFor(server, lease));
      return;
    }
    const isAlone = clock.nowMs() < (this.aloneUntilMs.get(serverId) ?? -Infinity);
    if (ownerId === memberId || isAlone) {
      this.decideAlone(server, maxWaitMs, onDecision);
      return;
    }
    this.askOwner(ownerId, server, maxWaitMs, onDecision);
  }

  /** Handles a message of another daemon. */
  onMessage(message: PermitMessage): void {
    const { clock, onLimit } = this.options;
    if (message.kind === 'permitReleased') {
      this.onReleased(message);
      return;
    }
    if (message.limit) {
      onLimit(message.limit);
    }
    if (message.kind === 'permitRequest') {
      this.respond(message);
      return;
    }
    const pending = this.pending.get(message.requestNumber);
    if (pending?.server.serverId !== message.serverId) {
      return;
    }
    pending.cancelTimer();
    this.pending.delete(message.requestNumber);
    const { maxWaitMs, onDecision, server } = pending;
    if (message.decision.kind === 'notOwner') {
      this.aloneUntilMs.set(server.serverId, clock.nowMs() + ALONE_MS);
      this.decideAlone(server, maxWaitMs, onDecision);
      return;
    }
    const holdMs = MIN_HOLD_PER_MEMBER_MS * this.options.memberCount();
    const decision = this.applyDecision(server.serverId, message.decision, holdMs);
    const { requestNumber } = message;
    onDecision(decision, this.remotePermitFor(server, pending.ownerId, requestNumber, decision));
  }

  /**
   * Forgets servers that are no longer registered.
   *
   * @param isKnown - whether a server is registered
   */
  retain(isKnown: (serverId: ServerId) => boolean): void {
    for (const perServer of [
      this.accounts,
      this.aloneUntilMs,
      this.declinedUntilMs,
      this.ownParts,
    ]) {
      for (const serverId of perServer.keys()) {
        if (!isKnown(serverId)) {
          perServer.delete(serverId);
        }
      }
    }
    const { isLive, memberId } = this.options;
    for (const { inFlight } of this.accounts.values()) {
      inFlight.retainHolders((holder) => holder === memberId || isLive(toId<MemberId>(holder)));
    }
  }

  private onReleased({
    isRejected,
    memberId,
    requestNumber,
    serverId,
  }: Extract<PermitMessage, { kind: 'permitReleased' }>): void {
    const server = this.options.serverOf(serverId);
    if (isRejected && server) {
      this.recordRejection(server);
    }
    if (requestNumber !== undefined) {
      this.accounts.get(serverId)?.inFlight.release({ holder: memberId, requestNumber });
    }
  }

  private recordRejection(server: BackendServer): void {
    const nowMs = this.options.clock.nowMs();
    accountOf(this.accounts, server, nowMs).inFlight.recordRejection(nowMs);
  }

  private heldNumbers(serverId: ServerId): readonly number[] {
    const held = [...this.remotePermits].filter(([, id]) => id === serverId);
    const pending = [...this.pending].filter(([, { server }]) => server.serverId === serverId);
    return [...held, ...pending].map(([requestNumber]) => requestNumber);
  }

  private nextLease(): InFlightLease {
    this.lastRequestNumber += 1;
    return { holder: this.options.memberId, requestNumber: this.lastRequestNumber };
  }

  /** Permit of a request that this daemon granted itself. */
  private permitFor(
    server: BackendServer,
    lease: InFlightLease,
    accounts = this.accounts,
  ): Permit | undefined {
    return this.isBrittle(server)
      ? {
          release: () => {
            accounts.get(server.serverId)?.inFlight.release(lease);
          },
        }
      : undefined;
  }

  /** Permit of a request that the owner granted. */
  private remotePermitFor(
    server: BackendServer,
    ownerId: MemberId,
    requestNumber: number,
    decision: PermitDecision,
  ): Permit | undefined {
    if (decision.kind === 'declined' || !this.isBrittle(server)) {
      return undefined;
    }
    this.remotePermits.set(requestNumber, server.serverId);
    return {
      release: () => {
        if (this.remotePermits.delete(requestNumber)) {
          this.sendRelease(server.serverId, ownerId, requestNumber);
        }
      },
    };
  }

  private sendRelease(serverId: ServerId, ownerId: MemberId, requestNumber: number): void {
    const { memberId, send } = this.options;
    const sendOnce = (): void => {
      const isRejected = false;
      send({ isRejected, kind: 'permitReleased', memberId, requestNumber, serverId }, ownerId);
    };
    sendOnce();
    this.after(REPEAT_RELEASE_AFTER_MS, sendOnce);
  }

  private askOwner(
    ownerId: MemberId,
    server: BackendServer,
    maxWaitMs: number,
    onDecision: PermitListener,
  ): void {
    const { requestNumber } = this.nextLease();
    const request = { maxWaitMs, onDecision, ownerId, server };
    const cancelTimer = this.after(REPEAT_AFTER_MS, () => {
      const cancelTimeout = this.after(OWNER_TIMEOUT_MS - REPEAT_AFTER_MS, () => {
        this.onOwnerSilent(requestNumber);
      });
      this.pending.set(requestNumber, { ...request, cancelTimer: cancelTimeout });
      this.sendRequest(requestNumber, request);
    });
    this.pending.set(requestNumber, { ...request, cancelTimer });
    this.sendRequest(requestNumber, request);
  }

  private sendRequest(
    requestNumber: number,
    { maxWaitMs, ownerId, server }: Pick<PendingRequest, 'maxWaitMs' | 'ownerId' | 'server'>,
  ): void {
    const { memberId, send } = this.options;
    const { serverId } = server;
    const limit = this.reportOf(serverId);
    const heldNumbers = this.isBrittle(server) ? this.heldNumbers(serverId) : undefined;
    send(
      {
        ...(heldNumbers ? { heldNumbers } : {}),
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

  private onOwnerSilent(requestNumber: number): void {
    const pending = this.pending.get(requestNumber);
    if (!pending) {
      return;
    }
    this.pending.delete(requestNumber);
    const { clock, log } = this.options;
    const { maxWaitMs, onDecision, ownerId, server } = pending;
    const { serverId } = server;
    const nowMs = clock.nowMs();
    if (nowMs >= (this.aloneUntilMs.get(serverId) ?? -Infinity)) {
      this.aloneUntilMs.set(serverId, nowMs + ALONE_MS);
      log.warn('limit-owner-silent', { owner: ownerId, serverId });
    }
    if (this.isBrittle(server)) {
      // The owner may have granted it, and only its answer was lost.
      this.sendRelease(serverId, ownerId, requestNumber);
    }
    this.decideAlone(server, maxWaitMs, onDecision);
  }

  private respond({
    heldNumbers,
    maxWaitMs,
    memberId: requesterId,
    requestNumber,
    serverId,
  }: Extract<PermitMessage, { kind: 'permitRequest' }>): void {
    const { memberId, ownerOf, seesMajority, send, serverOf } = this.options;
    const server = serverOf(serverId);
    const isOwner = server !== undefined && ownerOf(server) === memberId && seesMajority();
    const lease = { holder: requesterId, requestNumber };
    if (heldNumbers) {
      this.accounts.get(serverId)?.inFlight.retainHeld(lease, heldNumbers);
    }
    const decision = isOwner
      ? this.decideAsOwner(server, maxWaitMs, lease)
      : ({ kind: 'notOwner' } as const);
    const limit = this.reportOf(serverId);
    send({ decision, kind: 'permitResponse', limit, requestNumber, serverId }, requesterId);
  }

  private decideAsOwner(
    server: BackendServer,
    maxWaitMs: number,
    lease: InFlightLease,
  ): PermitDecision {
    const { clock, limits } = this.options;
    const nowMs = clock.nowMs();
    this.ownParts.delete(server.serverId);
    if (!this.isLimited(server)) {
      return { kind: 'granted', waitMs: 0 };
    }
    const account = accountOf(this.accounts, server, nowMs);
    const requestsPerS = limits.requestsPerS(server) ?? Infinity;
    const slots = this.isBrittle(server) ? server.slots : Infinity;
    return take(account, { lease, maxWaitMs, requestsPerS, slots }, nowMs);
  }

  /** Takes one request of this daemon's equal part. */
  private decideAlone(server: BackendServer, maxWaitMs: number, onDecision: PermitListener): void {
    const { clock, limits, memberCount } = this.options;
    if (!this.isLimited(server)) {
      onDecision({ kind: 'granted', waitMs: 0 });
      return;
    }
    const nowMs = clock.nowMs();
    // The account as an owner starts anew when this daemon owns the server again.
    this.accounts.delete(server.serverId);
    const account = accountOf(this.ownParts, server, nowMs);
    const lease = this.nextLease();
    const requestsPerS = (limits.requestsPerS(server) ?? Infinity) / memberCount();
    const slots = this.isBrittle(server) ? Math.floor(server.slots / memberCount()) : Infinity;
    const decision = take(account, { lease, maxWaitMs, requestsPerS, slots }, nowMs);
    if (decision.kind === 'granted') {
      onDecision(decision, this.permitFor(server, lease, this.ownParts));
      return;
    }
    // The owner may answer again, or another daemon may own the server.
    const retryAfterMs = Math.min(ALONE_MS, decision.retryAfterMs);
    this.declinedUntilMs.set(server.serverId, nowMs + retryAfterMs);
    onDecision({ kind: 'declined', retryAfterMs });
  }

  /** Remembers a decision of the server's owner. */
  private applyDecision(
    serverId: ServerId,
    decision: PermitDecision,
    minHoldMs: number,
  ): PermitDecision {
    this.aloneUntilMs.delete(serverId);
    this.ownParts.delete(serverId);
    if (decision.kind === 'granted') {
      return decision;
    }
    const retryAfterMs = Math.max(minHoldMs, decision.retryAfterMs);
    this.declinedUntilMs.set(serverId, this.options.clock.nowMs() + retryAfterMs);
    return { kind: 'declined', retryAfterMs };
  }

  private reportOf(serverId: ServerId): LimitReport | undefined {
    return this.options.limits.reportOf(serverId, this.options.clock.nowMs());
  }

  private after(delayMs: number, run: () => void): Teardown {
    const { after, clock } = this.options;
    return after ? after(delayMs, run) : startResponseTimeout(clock, delayMs, run);
  }
}

/** Account of a server; a restarted server gets a new one. */
function accountOf(
  accounts: Map<ServerId, ServerAccount>,
  { serverId, startedEpochMs }: BackendServer,
  nowMs: number,
): ServerAccount {
  const known = accounts.get(serverId);
  if (known?.startedEpochMs === startedEpochMs) {
    return known;
  }
  const account = {
    inFlight: new InFlightAccount(nowMs),
    requests: new RequestAccount(nowMs),
    startedEpochMs,
  };
  accounts.set(serverId, account);
  return account;
}

/** Takes one request from both accounts of a server, or from none. */
function take(
  { inFlight, requests }: ServerAccount,
  { lease, maxWaitMs, requestsPerS, slots }: RequestDemand,
  nowMs: number,
): PermitDecision {
  if (slots !== Infinity) {
    const decision = inFlight.take(lease, slots, nowMs);
    if (decision.kind === 'declined') {
      return decision;
    }
  }
  if (requestsPerS === Infinity) {
    return { kind: 'granted', waitMs: 0 };
  }
  const decision = requests.take(requestsPerS, maxWaitMs, nowMs);
  if (decision.kind === 'declined') {
    inFlight.release(lease);
  }
  return decision;
}
