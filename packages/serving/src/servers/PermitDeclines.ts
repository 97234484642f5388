import type { BackendServer } from '@laburnumgap/dispatch';
import type { MonotonicClock, ServerId } from '@laburnumgap/kernel';

/** Options of {@link PermitDeclines}. */
export interface PermitDeclinesOptions {
  readonly clock: MonotonicClock;
  /** Time for which a server that takes fewer requests for being cold stays so; 0 for others. */
  readonly remainingColdMs: (server: BackendServer) => number;
  readonly isLimited: (server: BackendServer) => boolean;
}

/** A declined permit, which is not requested again for a while. */
interface Decline {
  /** The server was cold; the decline is forgotten when it is warm. */
  readonly isCold: boolean;
  readonly untilMs: number;
}

/** Servers whose permits were declined a short while ago. A server that is warm again has none. */
export class PermitDeclines {
  private readonly declines = new Map<ServerId, Decline>();

  constructor(private readonly options: PermitDeclinesOptions) {}

  /** Time until a permit for a server can be requested. */
  availableAfterMs(server: BackendServer): number {
    const { clock, remainingColdMs, isLimited } = this.options;
    const decline = this.declines.get(server.serverId);
    const isOver =
      !decline || !isLimited(server) || (decline.isCold && remainingColdMs(server) === 0);
    return isOver ? 0 : Math.max(0, decline.untilMs - clock.nowMs());
  }

  /**
   * Remembers a decline.
   *
   * @param server - the server
   * @param holdMs - time for which permits are not requested, at most until a cold server is warm
   * @returns the time for which the decline is remembered
   */
  add(server: BackendServer, holdMs: number): number {
    const remainingMs = Math.ceil(this.options.remainingColdMs(server));
    const isCold = remainingMs > 0;
    const retryAfterMs = isCold ? Math.min(holdMs, remainingMs) : holdMs;
    const untilMs = this.options.clock.nowMs() + retryAfterMs;
    this.declines.set(server.serverId, { isCold, untilMs });
    return retryAfterMs;
  }

  /**
   * Forgets servers that are no longer registered.
   *
   * @param isKnown - whether a server is registered
   */
  retain(isKnown: (serverId: ServerId) => boolean): void {
    for (const serverId of this.declines.keys()) {
      if (!isKnown(serverId)) {
        this.declines.delete(serverId);
      }
    }
  }
}
