import type {
  BackendServer,
  LimitReport,
  PermitDecision,
  ServerLimits,
} from '@laburnumgap/dispatch';
import { RequestAccount } from '@laburnumgap/dispatch';
import type { MemberId, MonotonicClock, ServerId, Teardown } from '@laburnumgap/kernel';
import type { PermitMessage } from './PeerMessages.js';
import { startResponseTimeout } from './ResponseTimeout.js';
import type { ServingLog } from './ServingLog.js';

/** Options of {@link ServerLimitCoordinator}. */
export interface ServerLimitCoordinatorOptions {
  /** Runs a function once after a delay; the returned function cancels it. */
  readonly after?: (delayMs: number, run: () => void) => Teardown;
  readonly clock: MonotonicClock;
  readonly limits: Pick<ServerLimits, 'reportOf' | 'requestsPerS'>;
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

interface PendingRequest {
  readonly cancelTimer: Teardown;
  readonly maxWaitMs: number;
  readonly onDecision: (decision: PermitDecision) => void;
  readonly ownerId: MemberId;
  readonly server: BackendServer;
}

interface ServerAccount {
  readonly account: RequestAccount;
  readonly startedEpochMs: number;
}

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
 * a daemon takes an equal part of the limit, so that all daemons together stay within it.
 */
export class ServerLimitCoordinator {
  /** Accounts of the servers that this daemon owns. */
  private readonly accounts = new Map<ServerId, ServerAccount>();
  /** Servers whose owner did not decide, and until when it is not asked again. */
  private readonly aloneUntilMs = new Map<ServerId, number>();
  private readonly declinedUntilMs = new Map<ServerId, number>();
  /** Accounts of this daemon's equal part; only while the owner does not decide. */
  private readonly ownParts = new Map<ServerId, ServerAccount>();
  private lastRequestNumber = 0;
  private readonly pending = new Map<number, PendingRequest>();

  constructor(private readonly options: ServerLimitCoordinatorOptions) {}

  /** Whether a server limits the requests that it takes. */
  isLimited(server: BackendServer): boolean {
    return this.options.limits.requestsPerS(server) !== undefined;
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
  requestPermit(
    server: BackendServer,
    maxWaitMs: number,
    onDecision: (decision: PermitDecision) => void,
  ): void {
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
      onDecision(this.applyDecision(serverId, this.decideAsOwner(server, maxWaitMs), 0));
      return;
    }
    const isAlone = clock.nowMs() < (this.aloneUntilMs.get(serverId) ?? -Infinity);
    if (ownerId === memberId || isAlone) {
      onDecision(this.decideAlone(server, maxWaitMs));
      return;
    }
    this.askOwner(ownerId, server, maxWaitMs, onDecision);
  }

  /** Handles a message of another daemon. */
  onMessage(message: PermitMessage): void {
    const { clock, onLimit } = this.options;
    if (message.limit) {
      onLimit(message.limit);
    }
    if (message.kind === 'permitRequest') {
      this.respond(message.requestNumber, message.serverId, message.maxWaitMs, message.memberId);
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
      onDecision(this.decideAlone(server, maxWaitMs));
      return;
    }
    const holdMs = MIN_HOLD_PER_MEMBER_MS * this.options.memberCount();
    onDecision(this.applyDecision(server.serverId, message.decision, holdMs));
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
  }

  private askOwner(
    ownerId: MemberId,
    server: BackendServer,
    maxWaitMs: number,
    onDecision: (decision: PermitDecision) => void,
  ): void {
    this.lastRequestNumber += 1;
    const requestNumber = this.lastRequestNumber;
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
    send({ kind: 'permitRequest', limit, maxWaitMs, memberId, requestNumber, serverId }, ownerId);
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
    onDecision(this.decideAlone(server, maxWaitMs));
  }

  private respond(
    requestNumber: number,
    serverId: ServerId,
    maxWaitMs: number,
    requesterId: MemberId,
  ): void {
    const { memberId, ownerOf, seesMajority, send, serverOf } = this.options;
    const server = serverOf(serverId);
    const isOwner = server !== undefined && ownerOf(server) === memberId && seesMajority();
    const decision = isOwner
      ? this.decideAsOwner(server, maxWaitMs)
      : ({ kind: 'notOwner' } as const);
    const limit = this.reportOf(serverId);
    send({ decision, kind: 'permitResponse', limit, requestNumber, serverId }, requesterId);
  }

  private decideAsOwner(server: BackendServer, maxWaitMs: number): PermitDecision {
    const { clock, limits } = this.options;
    const requestsPerS = limits.requestsPerS(server);
    this.ownParts.delete(server.serverId);
    if (requestsPerS === undefined) {
      return { kind: 'granted', waitMs: 0 };
    }
    const account = accountOf(this.accounts, server, clock.nowMs());
    return account.take(requestsPerS, maxWaitMs, clock.nowMs());
  }

  private decideAlone(server: BackendServer, maxWaitMs: number): PermitDecision {
    const { clock, limits, memberCount } = this.options;
    const requestsPerS = limits.requestsPerS(server);
    if (requestsPerS === undefined) {
      return { kind: 'granted', waitMs: 0 };
    }
    const nowMs = clock.nowMs();
    // The account as an owner starts anew when this daemon owns the server again.
    this.accounts.delete(server.serverId);
    const account = accountOf(this.ownParts, server, nowMs);
    const decision = account.take(requestsPerS / memberCount(), maxWaitMs, nowMs);
    if (decision.kind === 'granted') {
      return decision;
    }
    // The owner may answer again, or another daemon may own the server.
    const retryAfterMs = Math.min(ALONE_MS, decision.retryAfterMs);
    this.declinedUntilMs.set(server.serverId, nowMs + retryAfterMs);
    return { kind: 'declined', retryAfterMs };
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
): RequestAccount {
  const known = accounts.get(serverId);
  if (known?.startedEpochMs === startedEpochMs) {
    return known.account;
  }
  const account = new RequestAccount(nowMs);
  accounts.set(serverId, { account, startedEpochMs });
  return account;
}
