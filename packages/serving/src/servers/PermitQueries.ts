import type { BackendServer } from '@laburnumgap/dispatch';
import type { MemberId, ServerId, Teardown } from '@laburnumgap/kernel';
import type { Moment } from './Moment.js';
import type { PermitListener } from './PermitLeases.js';

/** A request to the owner of a server for a permit. */
export interface PermitQuery {
  readonly asked: Moment;
  /** Whether the server was known to be cold. */
  readonly isCold: boolean;
  readonly maxWaitMs: number;
  readonly onDecision: PermitListener;
  readonly ownerId: MemberId;
  readonly server: BackendServer;
}

/** Options of {@link PermitQueries}. */
export interface PermitQueriesOptions {
  /** Runs a function once after a delay; the returned function cancels it. */
  readonly after: (delayMs: number, run: () => void) => Teardown;
  /** Called when the owner has not answered in time. */
  readonly onSilent: (requestNumber: number, query: PermitQuery) => void;
  readonly sendRequest: (requestNumber: number, query: PermitQuery) => void;
}

interface PendingQuery {
  readonly cancelTimer: Teardown;
  readonly query: PermitQuery;
}

/** Time after which an unanswered request is repeated, as datagrams can be lost. */
const REPEAT_AFTER_MS = 40;
/** An owner that has not answered by then is dead or unreachable. */
const OWNER_TIMEOUT_MS = 120;

/** The requests for permits that wait for the answers of owners. Each is repeated once. */
export class PermitQueries {
  private readonly pending = new Map<number, PendingQuery>();

  constructor(private readonly options: PermitQueriesOptions) {}

  /** Sends a request, and waits for the answer. */
  ask(requestNumber: number, query: PermitQuery): void {
    const { after, onSilent, sendRequest } = this.options;
    const cancelTimer = after(REPEAT_AFTER_MS, () => {
      const cancelTimeout = after(OWNER_TIMEOUT_MS - REPEAT_AFTER_MS, () => {
        if (this.pending.delete(requestNumber)) {
          onSilent(requestNumber, query);
        }
      });
      this.pending.set(requestNumber, { cancelTimer: cancelTimeout, query });
      sendRequest(requestNumber, query);
    });
    this.pending.set(requestNumber, { cancelTimer, query });
    sendRequest(requestNumber, query);
  }

  /**
   * Ends a request that was answered.
   *
   * @returns the request; undefined when it does not wait for an answer about this server
   */
  take(requestNumber: number, serverId: ServerId): PermitQuery | undefined {
    const pending = this.pending.get(requestNumber);
    if (pending?.query.server.serverId !== serverId) {
      return undefined;
    }
    pending.cancelTimer();
    this.pending.delete(requestNumber);
    return pending.query;
  }

  /** Numbers of the requests about a server that wait for an answer. */
  numbersOf(serverId: ServerId): readonly number[] {
    return [...this.pending]
      .filter(([, { query }]) => query.server.serverId === serverId)
      .map(([requestNumber]) => requestNumber);
  }
}
