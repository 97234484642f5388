import type { Socket } from 'node:net';
import type { ConnectFailure, DialPlan, TunnelFailure, TunnelPeer } from '@laburnumgap/dispatch';
import type { MemberId, MonotonicClock, Result, Teardown } from '@laburnumgap/kernel';
import { startResponseTimeout } from '../ResponseTimeout.js';
import { CONNECT_TIMEOUT_MS } from '../ServingConstants.js';

/** A new connection to a server. */
export interface DialedSocket {
  readonly socket: Socket;
  /** Daemon that passes the connection on; undefined for a direct connection. */
  readonly via: MemberId | undefined;
}

/** What an attempt to connect shows of a server that broke a response off. */
export type ServerReachability = 'accepted' | 'refused' | 'severed' | 'silent';

/** Receives the outcome of a {@link ServerDial}. */
export interface DialListener {
  /** No connection could be opened; nothing was sent. */
  onFailed(reason: string): void;
  onOpened(dialed: DialedSocket): void;
  /** A connection opened that is not needed any more. */
  onSpare(dialed: DialedSocket): void;
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

/** What one {@link ServerDial} needs and reports. */
export interface DialContext {
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

/**
 * One attempt to connect to a server: directly, through other daemons, or both. The direct attempt goes
 * on when a tunnel was faster, as its outcome tells whether the path is severed.
 */
export class ServerDial {
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

/**
 * Opens a direct connection.
 *
 * @param clock - the process's clock
 * @param open - begins to connect
 * @param onOpened - called with the open socket
 * @param onFailed - called instead when it is refused or does not open in time
 */
export function openDirectly(
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
