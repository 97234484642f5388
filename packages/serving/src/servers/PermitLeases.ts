import type { BackendServer, InFlightLease, PermitDecision } from '@laburnumgap/dispatch';
import type { ServerAccounts } from '@laburnumgap/dispatch';
import { COLD_PERMIT_VALID_MS } from '@laburnumgap/dispatch';
import type { MemberId, MonotonicClock, ServerId, Teardown } from '@laburnumgap/kernel';
import type { PermitMessage } from '../peers/PeerMessages.js';
import type { Moment } from './Moment.js';
import { elapsedMs, momentOf } from './Moment.js';

/**
 * A granted request to a brittle server, which counts as in flight until it has ended, or to a cold one,
 * which counts unless it is not used.
 */
export interface Permit {
  /** Whether a request to a cold server may still be sent with it. */
  isValidForCold(): boolean;
  /** Ends the request; a permit that was not used is given back. Idempotent. */
  release(): void;
  /** States whether the server got the request; not so before this is called. */
  setUsed(isUsed: boolean): void;
}

/** Receives a decision, and the permit of a granted request to a brittle or cold server. */
export type PermitListener = (decision: PermitDecision, permit?: Permit) => void;

/** A granted request. */
export interface GrantedRequest {
  /** When the permit was requested. */
  readonly asked: Moment;
  readonly isBrittle: boolean;
  /** The request was counted as one to a cold server. */
  readonly isCold: boolean;
  readonly requestNumber: number;
  readonly server: BackendServer;
  /** Time after which the request is sent. */
  readonly waitMs: number;
}

/** Options of {@link PermitLeases}. */
export interface PermitLeasesOptions {
  readonly after: (delayMs: number, run: () => void) => Teardown;
  readonly clock: MonotonicClock;
  readonly memberId: MemberId;
  readonly nowEpochMs: () => number;
  /** Called when a permit to a cold server is given back. */
  readonly onGivenBack: (server: BackendServer) => void;
  readonly send: (message: PermitMessage, recipientId: MemberId) => void;
}

/** Time after which the end of a request is told again, as datagrams can be lost. */
const REPEAT_RELEASE_AFTER_MS = 150;

/** Permits that this daemon holds, and the messages that end those of other daemons. */
export class PermitLeases {
  /** Servers of the permits that other daemons granted and that have not ended, by request number. */
  private readonly remotePermits = new Map<number, ServerId>();

  constructor(private readonly options: PermitLeasesOptions) {}

  /** Permit of a request that this daemon granted itself; undefined where nothing has to be ended. */
  own(accounts: ServerAccounts, request: GrantedRequest): Permit | undefined {
    const { isBrittle, isCold, server } = request;
    const lease = this.leaseOf(request.requestNumber);
    if (!isBrittle && !isCold) {
      return undefined;
    }
    return this.createPermit(request, (isUsed) => {
      accounts.release(server.serverId, lease);
      if (!isUsed) {
        accounts.giveBack(server.serverId, lease);
      }
    });
  }

  /** Permit of a request that the owner granted; undefined where nothing has to be ended. */
  remote(ownerId: MemberId, request: GrantedRequest): Permit | undefined {
    const { isBrittle, isCold, requestNumber, server } = request;
    const { serverId } = server;
    if (!isBrittle && !isCold) {
      return undefined;
    }
    if (isBrittle) {
      this.remotePermits.set(requestNumber, serverId);
    }
    return this.createPermit(request, (isUsed) => {
      this.remotePermits.delete(requestNumber);
      if (isBrittle || !isUsed) {
        this.sendRelease(serverId, ownerId, requestNumber, !isUsed);
      }
    });
  }

  /** Lease of a request of this daemon. */
  leaseOf(requestNumber: number): InFlightLease {
    return { holder: this.options.memberId, requestNumber };
  }

  /** Numbers of the requests to a brittle server that other daemons granted and that have not ended. */
  numbersOf(serverId: ServerId): readonly number[] {
    return [...this.remotePermits]
      .filter(([, id]) => id === serverId)
      .map(([requestNumber]) => requestNumber);
  }

  /**
   * Tells the owner of a server that a request has ended.
   *
   * @param serverId - the server
   * @param ownerId - the daemon that may have granted the request
   * @param requestNumber - the request
   * @param isUnused - the server did not get it
   */
  sendRelease(
    serverId: ServerId,
    ownerId: MemberId,
    requestNumber: number,
    isUnused: boolean,
  ): void {
    const { after, memberId, send } = this.options;
    const unused = isUnused ? { isUnused } : {};
    const sendOnce = (): void => {
      const isRejected = false;
      send(
        { isRejected, ...unused, kind: 'permitReleased', memberId, requestNumber, serverId },
        ownerId,
      );
    };
    sendOnce();
    after(REPEAT_RELEASE_AFTER_MS, sendOnce);
  }

  private createPermit(
    { asked, isCold, server, waitMs }: GrantedRequest,
    onRelease: (isUsed: boolean) => void,
  ): Permit {
    const { clock, nowEpochMs, onGivenBack } = this.options;
    let isReleased = false;
    let isUsed = false;
    return {
      isValidForCold: () => {
        const validMs = waitMs + COLD_PERMIT_VALID_MS;
        return isCold && !isReleased && elapsedMs(asked, momentOf(clock, nowEpochMs)) <= validMs;
      },
      release: () => {
        if (isReleased) {
          return;
        }
        isReleased = true;
        if (isCold && !isUsed) {
          onGivenBack(server);
        }
        onRelease(isUsed);
      },
      setUsed: (used) => {
        isUsed = used;
      },
    };
  }
}
