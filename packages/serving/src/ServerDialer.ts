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
import type { MemberId, MonotonicClock, Result, ServerId, Teardown } from '@laburnumgap/kernel';
import { startResponseTimeout } from './ResponseTimeout.js';
import { CONNECT_TIMEOUT_MS } from './ServingConstants.js';
import type { ServingLog } from './ServingLog.js';
import type { SocketOpener } from './SocketOpener.js';
import { openSocket } from './SocketOpener.js';

/** A new connection to a server. */
export interface DialedSocket {
  readonly socket: Socket;
  /** Daemon that passes the connection on; undefined for a direct connection. */
  readonly via: MemberId | undefined;
}

/** What an attempt to connect shows of a server that broke a response off. */
export type ServerReachability = 'accepted' | 'refused' | 'severed' | 'silent';

/** Receives the outcome of {@link ServerDialer.dial}. */
export interface DialListener {
  /** No connection could be opened; nothing was sent. */
  onFailed(reason: string): void;
  onOpened(dialed: DialedSocket): void;
  /** A connection opened that is not needed any more. */
  onSpare(dialed: DialedSocket): void;
}

/** Options of {@link ServerDialer}. */
export interface ServerDialerOptions {
  readonly clock: MonotonicClock;
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

/** A direct connection that has not opened by then may not open at all: many round trips. */
const TUNNEL_AFTER_MS = 100;
/**
 * How long a request waits for other daemons after its direct connection failed, where nothing else
 * speaks for a severed path: there may be another server.
 */
const TUNNEL_PATIENCE_MS = 100;
/** Daemons that are asked for one connection. */
const MAX_TUNNEL_PEERS = 2;

/**
 * Opens connections to servers: directly, and through another daemon where the direct one does not
 * open. A second daemon's success tells a severed path from a server that is down.
 */
export class ServerDialer {
  private readonly choice = new TunnelPeerChoice();
  private readonly examinations = new Map<ServerId, Promise<ServerReachability>>();
  private tunneledCount = 0;

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
   * @returns `severed` when only other daemons reach it, `refused` when its process is gone
   */
  examine(server: BackendServer): Promise<ServerReachability> {
    const { serverId } = server;
    const pending = this.examinations.get(serverId);
    if (pending) {
      return pending;
    }
    const examination = new Promise<ServerReachability>((resolve) => {
      this.start(server, 'direct', DISCARDING_LISTENER, resolve);
    }).finally(() => this.examinations.delete(serverId));
    this.examinations.set(serverId, examination);
    return examination;
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
    const dial = new Dial(plan, listener, onExamined, {
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
        this.recordTunneled(peer.memberId, socket);
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

  /** A probe only shows whether the path is back; it takes no peer. */
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

  private recordTunneled(memberId: MemberId, socket: Socket): void {
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

/** What one {@link Dial} needs and reports. */
interface DialContext {
  readonly clock: MonotonicClock;
  /** Whether this daemon has lost its path to any server. */
  hasSeveredPaths(): boolean;
  nextPeer(excluded: ReadonlySet<MemberId>): TunnelPeer | undefined;
  onDirect(): void;
  onTunnelFailed(peer: TunnelPeer, failure: TunnelFailure): void;
  onTunneled(peer: TunnelPeer, socket: Socket): void;
  onSevered(failure: ConnectFailure): void;
  /** No daemon reaches the server. */
  onDown(): void;
  openDirect(): Socket;
  openTunnel(peer: TunnelPeer): Promise<Result<Socket, TunnelFailure>>;
}

type AttemptState<F> =
  | { readonly failure: F; readonly kind: 'failed' }
  | { readonly kind: 'idle' }
  | { readonly kind: 'opened' }
  | { readonly kind: 'pending' };

const DISCARDING_LISTENER: DialListener = {
  onFailed: () => undefined,
  onOpened: ({ socket }) => {
    socket.destroy();
  },
  onSpare: ({ socket }) => {
    socket.destroy();
  },
};

/** One attempt to connect to a server. The direct attempt goes on after a peer was faster. */
class Dial {
  private readonly asked = new Set<MemberId>();
  private cancelTunnelStart: Teardown = () => undefined;
  private direct: AttemptState<ConnectFailure> = { kind: 'idle' };
  private isAnswered = false;
  private tunneled: AttemptState<TunnelFailure | undefined> = { kind: 'idle' };

  constructor(
    private readonly plan: DialPlan,
    private readonly listener: DialListener,
    private readonly onExamined: (result: ServerReachability) => void,
    private readonly context: DialContext,
  ) {}

  start(): void {
    if (this.plan !== 'tunnel') {
      this.startDirect();
    }
    if (this.plan !== 'direct') {
      this.startTunnel();
      return;
    }
    this.cancelTunnelStart = startResponseTimeout(this.context.clock, TUNNEL_AFTER_MS, () => {
      this.startTunnel();
    });
  }

  private startDirect(): void {
    this.direct = { kind: 'pending' };
    openDirectly(
      this.context.clock,
      () => this.context.openDirect(),
      (socket) => {
        this.direct = { kind: 'opened' };
        this.cancelTunnelStart();
        this.context.onDirect();
        this.answer({ socket, via: undefined });
        this.settle();
      },
      (failure) => {
        this.direct = { failure, kind: 'failed' };
        this.cancelTunnelStart();
        if (this.tunneled.kind === 'idle') {
          this.startTunnel();
        }
        this.settle();
        if (!this.isAnswered && !this.context.hasSeveredPaths()) {
          startResponseTimeout(this.context.clock, TUNNEL_PATIENCE_MS, () => {
            this.giveUp(failure);
          });
        }
      },
    );
  }

  private startTunnel(): void {
    const peer = this.asked.size < MAX_TUNNEL_PEERS ? this.context.nextPeer(this.asked) : undefined;
    if (!peer) {
      if (this.tunneled.kind !== 'failed') {
        this.tunneled = { failure: undefined, kind: 'failed' };
      }
      if (this.direct.kind === 'idle') {
        this.startDirect();
      }
      this.settle();
      return;
    }
    this.asked.add(peer.memberId);
    this.tunneled = { kind: 'pending' };
    void this.context.openTunnel(peer).then((opened) => {
      if (opened.ok) {
        this.tunneled = { kind: 'opened' };
        this.context.onTunneled(peer, opened.value);
        this.answer({ socket: opened.value, via: peer.memberId });
        this.settle();
        return;
      }
      this.context.onTunnelFailed(peer, opened.error);
      this.tunneled = { failure: opened.error, kind: 'failed' };
      this.startTunnel();
    });
  }

  private giveUp(reason: ConnectFailure | 'unreachable'): void {
    if (!this.isAnswered) {
      this.isAnswered = true;
      this.listener.onFailed(reason);
    }
  }

  private answer(dialed: DialedSocket): void {
    if (this.isAnswered) {
      this.listener.onSpare(dialed);
      return;
    }
    this.isAnswered = true;
    this.listener.onOpened(dialed);
  }

  /** Draws the conclusion once both ways have ended. */
  private settle(): void {
    const { direct, tunneled } = this;
    if (direct.kind === 'opened') {
      this.onExamined('accepted');
      return;
    }
    if (direct.kind === 'pending' || tunneled.kind === 'pending') {
      return;
    }
    if (tunneled.kind === 'opened') {
      if (direct.kind === 'failed') {
        this.context.onSevered(direct.failure);
      }
      this.onExamined('severed');
      return;
    }
    if (direct.kind !== 'failed' || tunneled.kind !== 'failed') {
      return;
    }
    const isDown = tunneled.failure === 'refused' || tunneled.failure === 'unanswered';
    if (isDown) {
      this.context.onDown();
    }
    const isGone = direct.failure === 'refused' && tunneled.failure !== 'unanswered';
    this.onExamined(isGone ? 'refused' : 'silent');
    // On a severed path, the daemons in between can have been too slow.
    this.giveUp(this.plan === 'tunnel' ? 'unreachable' : direct.failure);
  }
}

function openDirectly(
  clock: MonotonicClock,
  open: () => Socket,
  onOpened: (socket: Socket) => void,
  onFailed: (failure: ConnectFailure) => void,
): void {
  const socket = open();
  let isOver = false;
  const fail = (failure: ConnectFailure): void => {
    cancelTimeout();
    if (!isOver) {
      isOver = true;
      socket.destroy();
      onFailed(failure);
    }
  };
  const cancelTimeout = startResponseTimeout(clock, CONNECT_TIMEOUT_MS, () => {
    fail('silent');
  });
  socket.on('error', (error: NodeJS.ErrnoException) => {
    fail(error.code === 'ECONNREFUSED' ? 'refused' : 'silent');
  });
  socket.once('close', () => {
    fail('silent');
  });
  socket.once('connect', () => {
    cancelTimeout();
    isOver = true;
    onOpened(socket);
  });
}
