import type { Socket } from 'node:net';
import type {
  BackendServer,
  ConnectFailure,
  DialPlan,
  PathsChange,
  ServerPaths,
  TunnelFailure,
  TunnelPeer,
} from '@laburnumgap/dispatch';
import { TunnelPeerChoice } from '@laburnumgap/dispatch';
import type { MemberId, MonotonicClock, Result, ServerId } from '@laburnumgap/kernel';
import type { DialListener, ServerReachability } from './ServerDial.js';
import { openDirectly, ServerDial } from './ServerDial.js';
import { PROCESS_EXIT_MS } from '../ServingConstants.js';
import type { ServingLog } from '../ServingLog.js';
import type { SocketOpener } from './SocketOpener.js';
import { openSocket } from './SocketOpener.js';

/** `standstill`: this daemon stood still, and reads what can be old. */
export type ReplacementDoubt = 'replaced' | 'standstill';

/** Options of {@link ServerDialer}. */
export interface ServerDialerOptions {
  readonly clock: MonotonicClock;
  /**
   * Why another process may have the address of a server by the time that this daemon reads the end of a
   * connection; nothing says so by default.
   */
  readonly replacementDoubt?: (server: BackendServer) => ReplacementDoubt | undefined;
  readonly log: ServingLog;
  /** Called when this daemon begins or ceases to take itself for cut off. */
  readonly onCutOffChanged: () => void;
  /** Called when a path to a server is found to be severed; `silent` ones swallow what is sent. */
  readonly onSevered: (serverId: ServerId, failure: ConnectFailure) => void;
  readonly openSocket?: SocketOpener;
  /** Opens a connection to a server through another daemon. */
  readonly openTunnel: (
    peer: TunnelPeer,
    serverId: ServerId,
  ) => Promise<Result<Socket, TunnelFailure>>;
  readonly paths: ServerPaths;
  readonly randomUnit: () => number;
  /** Servers that are registered and not leaving. */
  readonly servers: () => readonly BackendServer[];
  /** Daemons that may pass connections on. */
  readonly tunnelPeers: () => readonly TunnelPeer[];
}

const DISCARDING_LISTENER: DialListener = {
  onFailed: () => undefined,
  onOpened: ({ socket }) => {
    socket.destroy();
  },
  onSpare: ({ socket }) => {
    socket.destroy();
  },
};

/**
 * Opens connections to servers: directly, and through another daemon where the direct one does not
 * open. A second daemon's success tells a severed path from a server that is down.
 */
export class ServerDialer {
  private readonly choice = new TunnelPeerChoice();
  private readonly examinations = new Map<ServerId, Promise<ServerReachability>>();
  /** Examinations that have not begun yet, by server and the daemon in between. */
  private readonly awaitedExits = new Map<string, Promise<boolean>>();
  private tunneledCount = 0;
  /** Daemons that have passed connections on. */
  private readonly usedPeers = new Map<MemberId, TunnelPeer>();

  constructor(private readonly options: ServerDialerOptions) {}

  /**
   * Opens a connection to a server.
   *
   * @param server - the server
   * @param listener - receives the outcome, not synchronously
   */
  dial(server: BackendServer, listener: DialListener): void {
    this.start(server, this.options.paths.planFor(server.serverId), listener, () => undefined);
  }

  /**
   * Finds out whether a server accepts connections. Concurrent calls for one server share an attempt.
   *
   * @param server - the server
   * @param listener - receives the connections that open
   * @returns `severed` when only other daemons reach it, `refused` when its process is gone
   */
  examine(
    server: BackendServer,
    listener: DialListener = DISCARDING_LISTENER,
  ): Promise<ServerReachability> {
    const { serverId } = server;
    const pending = this.examinations.get(serverId);
    if (pending) {
      return pending;
    }
    const examination = new Promise<ServerReachability>((resolve) => {
      this.start(server, 'direct', listener, resolve);
    }).finally(() => this.examinations.delete(serverId));
    this.examinations.set(serverId, examination);
    return examination;
  }

  /**
   * Finds out whether a server still runs that has ended a connection. Connections that end at about the
   * same time share an attempt, which begins when a process that was ending would be gone.
   *
   * @param server - the server
   * @param via - daemon that passed the connection on, and can have ended instead; undefined without one
   * @param listener - receives the connections that open
   * @returns whether it accepts connections; false where nothing says so, or another process may do so
   */
  isRunning(
    server: BackendServer,
    via: MemberId | undefined,
    listener: DialListener,
  ): Promise<boolean> {
    const key = `${server.serverId} ${via ?? ''}`;
    const awaited = this.awaitedExits.get(key);
    if (awaited) {
      return awaited;
    }
    const doubt = this.options.replacementDoubt?.(server);
    const started = new Promise((resolve) => setTimeout(resolve, PROCESS_EXIT_MS)).then(() => {
      this.awaitedExits.delete(key);
      return doubt ? this.denyRunning(server, doubt) : this.findRunning(server, via, listener);
    });
    this.awaitedExits.set(key, started);
    return started;
  }

  private async findRunning(
    server: BackendServer,
    via: MemberId | undefined,
    listener: DialListener,
  ): Promise<boolean> {
    const { serverId } = server;
    let result: ServerReachability | TunnelFailure = 'unavailable';
    if (via !== undefined) {
      result = await this.openTunnelAgain(serverId, via, listener);
    }
    if (result === 'busy' || result === 'unanswered' || result === 'unavailable') {
      result = await this.examine(server, listener);
    }
    const isRunning = result === 'accepted' || result === 'severed';
    const doubt = this.options.replacementDoubt?.(server);
    if (isRunning && doubt) {
      return this.denyRunning(server, doubt);
    }
    if (!isRunning) {
      this.options.log.warn('response-end-unconfirmed', { server: result, serverId, via });
    }
    return isRunning;
  }

  private denyRunning({ serverId }: BackendServer, doubt: ReplacementDoubt): boolean {
    this.options.log.warn('response-end-unconfirmed', { server: doubt, serverId });
    return false;
  }

  /** Whether the daemon that passed a connection on still does; `silent` when it does not answer. */
  private async openTunnelAgain(
    serverId: ServerId,
    via: MemberId,
    listener: DialListener,
  ): Promise<TunnelFailure | 'accepted'> {
    // It can be one that shuts down, and is not offered any more.
    const peer = this.usedPeers.get(via);
    if (!peer) {
      return 'silent';
    }
    const opened = await this.options.openTunnel(peer, serverId);
    if (!opened.ok) {
      return opened.error;
    }
    this.recordTunneled(peer, opened.value);
    listener.onSpare({ socket: opened.value, via });
    return 'accepted';
  }

  /** Probes severed paths, and examines others where several are severed. Called periodically. */
  probe(listenerOf: (server: BackendServer) => DialListener): void {
    const { clock, paths, servers } = this.options;
    const nowMs = clock.nowMs();
    this.choice.expire(nowMs);
    const registered = servers();
    const byId = new Map(registered.map((server) => [server.serverId, server]));
    for (const serverId of paths.takeDueProbes(nowMs)) {
      const server = byId.get(serverId);
      if (server) {
        this.probeDirectly(server, listenerOf(server));
      }
    }
    for (const serverId of paths.takeSuspects([...byId.keys()])) {
      const server = byId.get(serverId);
      if (server) {
        this.start(server, 'both', listenerOf(server), () => undefined);
      }
    }
  }

  private start(
    server: BackendServer,
    plan: DialPlan,
    listener: DialListener,
    onExamined: (result: ServerReachability) => void,
  ): void {
    const dial = new ServerDial(plan, listener, onExamined, {
      clock: this.options.clock,
      hasSeveredPaths: () => this.options.paths.summary(this.options.clock.nowMs()).severed > 0,
      nextPeer: (excluded) => this.nextPeer(server.serverId, excluded),
      onDirect: () => {
        this.recordDirect(server.serverId);
      },
      onTunnelFailed: (peer, failure) => {
        const { memberId } = peer;
        const nowMs = this.options.clock.nowMs();
        this.choice.recordFailure(memberId, server.serverId, failure, nowMs);
      },
      onTunneled: (peer, socket) => {
        this.options.paths.recordTunneled(server.serverId);
        this.recordTunneled(peer, socket);
      },
      onSevered: (failure) => {
        this.recordSevered(server.serverId, failure);
      },
      onDown: () => {
        this.options.paths.recordDown(server.serverId, this.options.clock.nowMs());
      },
      openDirect: () => (this.options.openSocket ?? openSocket)(server.host, server.port),
      openTunnel: (peer) => this.options.openTunnel(peer, server.serverId),
    });
    dial.start();
  }

  private nextPeer(serverId: ServerId, excluded: ReadonlySet<MemberId>): TunnelPeer | undefined {
    const { clock, randomUnit, tunnelPeers } = this.options;
    const candidates = tunnelPeers();
    return this.choice.choose({ candidates, excluded, nowMs: clock.nowMs(), randomUnit, serverId });
  }

  /** A probe only shows whether the path is back; no other daemon is asked. */
  private probeDirectly(server: BackendServer, listener: DialListener): void {
    const { clock } = this.options;
    openDirectly(
      clock,
      () => (this.options.openSocket ?? openSocket)(server.host, server.port),
      (socket) => {
        this.recordDirect(server.serverId);
        listener.onSpare({ socket, via: undefined });
      },
      (failure) => {
        if (this.options.paths.isSevered(server.serverId)) {
          this.recordSevered(server.serverId, failure);
        }
      },
    );
  }

  private recordTunneled(peer: TunnelPeer, socket: Socket): void {
    const { memberId } = peer;
    this.usedPeers.set(memberId, peer);
    this.tunneledCount += 1;
    this.choice.recordOpened(memberId);
    socket.once('close', () => {
      this.choice.recordClosed(memberId);
    });
  }

  private recordDirect(serverId: ServerId): void {
    const { clock, paths } = this.options;
    const cutOffSinceMs = paths.cutOffSince();
    const nowMs = clock.nowMs();
    const change = paths.recordDirect(serverId, nowMs);
    this.onChange(change, serverId, { cutOffForMs: Math.round(nowMs - (cutOffSinceMs ?? nowMs)) });
  }

  private recordSevered(serverId: ServerId, failure: ConnectFailure): void {
    const { clock, onSevered, paths, servers } = this.options;
    const wasSevered = paths.isSevered(serverId);
    const change = paths.recordSevered(serverId, servers().length, clock.nowMs());
    if (!wasSevered) {
      onSevered(serverId, failure);
    }
    this.onChange(change, serverId, { failure });
  }

  private onChange(
    change: PathsChange,
    serverId: ServerId,
    fields: Readonly<Record<string, number | string>>,
  ): void {
    const { clock, log, onCutOffChanged, paths, tunnelPeers, servers } = this.options;
    if (change === 'unchanged') {
      return;
    }
    const { oldestMs, severed } = paths.summary(clock.nowMs());
    log.warn(change === 'cutOff' ? 'servers-cut-off' : 'servers-reachable', {
      ...fields,
      oldestMs: oldestMs === undefined ? undefined : Math.round(oldestMs),
      peers: tunnelPeers().length,
      serverId,
      servers: servers().length,
      severed,
      tunneledConnections: this.tunneledCount,
    });
    onCutOffChanged();
  }
}
