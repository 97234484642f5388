import type { BackendServer, EngineLimits, SelectedMove } from '@laburnumgap/dispatch';
import { mayStopForMove, selectMoves } from '@laburnumgap/dispatch';
import type { MemberId, RequestId, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { Continuation, GenerationRun, RunStatus } from '../callers/GenerationRun.js';
import { CONTROL_RESPONSE_KEY } from './BackendConnection.js';
import type { MoveCoordinator } from '../peers/MoveCoordinator.js';
import { CONTROL_TIMEOUT_MS } from '../ServingConstants.js';
import type { ServingContext } from '../ServingContext.js';
import type { KvCacheLocation } from '../ServingPorts.js';
import type { MoveOutcome } from './StopOrder.js';
import { runAfterStop } from './StopOrder.js';

/** Expected time per output token on a busy engine, where no speed was learned. */
const MS_PER_TOKEN = 10;
/**
 * Longer than a preempted run usually waits, and well below the time after which callers give up.
 */
const STALL_TIMEOUT_MS = 2_500;
/**
 * Shorter on a path that was found severed twice, where no more data will come. Once is not enough: a
 * server that is silent for a moment can be back just before another daemon tries.
 */
const SEVERED_STALL_TIMEOUT_MS = 500;
/**
 * Longest wait for the last events of a stopped stream; later ones are dropped, and made again where it
 * continues.
 */
const STREAM_CLOSE_TIMEOUT_MS = 200;
const MAX_MOVE_ATTEMPTS = 3;
/** Candidate targets that are offered to the coordinator of the moves. */
const MAX_OFFERED_TARGETS = 6;

/** Memory of a run that was copied or kept. */
interface CopiedRun {
  /** Number of events that the run had made. */
  readonly eventsMade: number;
  readonly handle: string;
}

interface StreamMove extends SelectedMove {
  /** The run can also end where it is; false by default. */
  readonly mayStay?: boolean;
}

/**
 * Moves running streams away from engines that leave or stall. The engine copies the KV cache while
 * the run continues, then stops the run and copies the rest; the run continues at the target. Copies
 * from one engine run one at a time, see {@link MoveCoordinator}.
 */
export class StreamMover {
  /** Engines without room for the last piece of a run, which are not tried again while it can return. */
  private readonly refusals = new WeakMap<GenerationRun, Set<ServerId>>();

  constructor(
    private readonly context: ServingContext,
    private readonly runs: ReadonlySet<GenerationRun>,
    private readonly coordinator: MoveCoordinator,
    private readonly engineLimitsOf: (server: BackendServer) => EngineLimits | undefined,
  ) {}

  /**
   * Starts moving all streams of a leaving server. Further calls move streams that were not movable
   * before.
   *
   * @param serverId - the leaving server
   */
  moveStreamsFrom(serverId: ServerId): void {
    const source = this.context.registry.get(serverId)?.server;
    const engine = source && this.engineLimitsOf(source);
    if (!source || !engine?.canMove) {
      return;
    }
    const movable = this.movableRunsAt(serverId);
    for (const [requestId, { status }] of movable) {
      if (!this.mayStop(status, source)) {
        movable.delete(requestId);
      }
    }
    const streams = [...movable.values()].map(({ status }) => ({
      expectedRemainingTokens: status.expectedRemainingTokens,
      requestId: toId<RequestId>(status.requestId),
    }));
    const msPerToken =
      this.context.engineSpeeds.msPerToken(source, engine.tokensPerEvent) ?? MS_PER_TOKEN;
    for (const selectedMove of selectMoves(streams, msPerToken)) {
      const run = movable.get(selectedMove.requestId)?.run;
      if (run) {
        run.setMoving(true);
        void this.move(run, source, { ...selectedMove, mayStay: true });
      }
    }
  }

  /**
   * Moves streams without an event for too long. Handles connections that stop delivering data
   * without a reset while new connections work: the run is stopped over a new connection and
   * continues at another engine.
   */
  moveStalledStreams(): void {
    for (const run of this.runs) {
      const status = run.status();
      if (!isMovable(status) || status.sinceLastEventMs < this.stallTimeoutMs(status)) {
        continue;
      }
      const { requestId, server, sinceLastEventMs } = status;
      if (this.engineLimitsOf(server)?.canMove) {
        this.context.log.warn('stream-silent', {
          requestId,
          serverId: server.serverId,
          silentMs: Math.round(sinceLastEventMs),
        });
        this.context.connections.close(server.serverId);
        run.setMoving(true);
        void this.move(run, server, { endsSoon: false, requestId: toId<RequestId>(requestId) });
      }
    }
  }

  /**
   * Moves a stream whose connection broke on a severed path, if its engine still runs it; ends it
   * otherwise.
   *
   * @param run - the run
   * @param source - engine that it was received from
   */
  rescue(run: GenerationRun, source: BackendServer): void {
    const status = run.status();
    if (!isMovable(status) || !this.engineLimitsOf(source)?.canMove) {
      run.fail('the connection broke and the run cannot be moved');
      return;
    }
    const { requestId } = status;
    this.context.log.warn('stream-rescued', { requestId, serverId: source.serverId });
    run.setMoving(true);
    void this.move(run, source, { endsSoon: false, requestId: toId<RequestId>(requestId) });
  }

  /** Moves the streams that a daemon which shuts down passes on. */
  moveStreamsVia(isStopping: (via: MemberId) => boolean): void {
    for (const run of this.runs) {
      const status = run.status();
      if (!isMovable(status) || status.via === undefined || !isStopping(status.via)) {
        continue;
      }
      if (this.engineLimitsOf(status.server)?.canMove) {
        run.setMoving(true);
        const requestId = toId<RequestId>(status.requestId);
        void this.move(run, status.server, { endsSoon: true, requestId });
      }
    }
  }

  private stallTimeoutMs({ server, via }: RunStatus): number {
    const confirmedForMs = this.context.paths.confirmedForMs(server.serverId) ?? 0;
    return via === undefined && confirmedForMs > 0 ? SEVERED_STALL_TIMEOUT_MS : STALL_TIMEOUT_MS;
  }

  /** Asked before a stop: by the time of the return, an engine takes its own runs for longer. */
  private canReturnTo({ serverId }: BackendServer): boolean {
    const { clock, registry } = this.context;
    return registry.acceptsContinuation(serverId, clock.nowMs());
  }

  /** Whether a run of a leaving engine is stopped for a move now; false when it stays. */
  private mayStop(
    { expectedRemainingTokens, msPerToken }: RunStatus,
    source: BackendServer,
  ): boolean {
    const { clock, engineSpeeds, registry } = this.context;
    const nowMs = clock.nowMs();
    const tokensPerEvent = this.engineLimitsOf(source)?.tokensPerEvent ?? 1;
    const tokenMs = msPerToken ?? engineSpeeds.msPerToken(source, tokensPerEvent) ?? MS_PER_TOKEN;
    return mayStopForMove({
      canReturn: this.canReturnTo(source),
      engineRemainingMs: registry.servesForMs(source.serverId, nowMs),
      runRemainingMs: expectedRemainingTokens * tokenMs,
    });
  }

  private movableRunsAt(
    serverId: ServerId,
  ): Map<string, { run: GenerationRun; status: RunStatus }> {
    const movable = new Map<string, { run: GenerationRun; status: RunStatus }>();
    for (const run of this.runs) {
      const status = run.status();
      if (isMovable(status) && status.server.serverId === serverId) {
        movable.set(status.requestId, { run, status });
      }
    }
    return movable;
  }

  private async move(
    run: GenerationRun,
    source: BackendServer,
    selectedMove: StreamMove,
  ): Promise<void> {
    const { mayStay = false, requestId } = selectedMove;
    const triedServerIds = new Set<ServerId>([source.serverId]);
    if (mayStay && this.canReturnTo(source)) {
      this.refusals.get(run)?.forEach((serverId) => triedServerIds.add(serverId));
    }
    for (let count = 0; count < MAX_MOVE_ATTEMPTS; count += 1) {
      const target = await this.selectTarget(run, source, selectedMove, triedServerIds);
      const status = run.status();
      if (!status || !target) {
        break;
      }
      triedServerIds.add(target.serverId);
      if (this.context.serverAccess.avoidsEvacuated(target, 'copy')) {
        // It became known while the move waited for its turn.
        this.coordinator.releaseTurn(requestId);
        continue;
      }
      run.setCopyTarget(target.serverId);
      const isFinished = await this.copyAndContinue(run, status, source, target, mayStay);
      run.setCopyTarget(undefined);
      if (isFinished) {
        break;
      }
      this.coordinator.releaseTurn(requestId);
    }
    this.coordinator.releaseTurn(requestId);
    run.setMoving(false);
    if (!run.hasEnded() && !run.hasStream()) {
      run.continueOrFail('the engine left and no other took the run');
    }
  }

  private async selectTarget(
    run: GenerationRun,
    source: BackendServer,
    { endsSoon, requestId }: SelectedMove,
    triedServerIds: ReadonlySet<ServerId>,
  ): Promise<BackendServer | undefined> {
    const ranked = run.rankTargets(triedServerIds, source).slice(0, MAX_OFFERED_TARGETS);
    const targetIds = ranked.map(({ server }) => server.serverId);
    if (targetIds.length === 0) {
      return undefined;
    }
    const outcome = await this.coordinator.requestTurn({
      endsSoon,
      requestId,
      sourceId: source.serverId,
      targetIds,
      usedTokens: run.status()?.usedTokens ?? 0,
    });
    if (outcome.kind === 'turn') {
      return this.context.registry.get(outcome.targetId)?.server;
    }
    return ranked[0]?.server;
  }

  /**
   * Returns whether the move is over: the run continues, has ended, or cannot be moved any more.
   */
  private async copyAndContinue(
    run: GenerationRun,
    status: RunStatus,
    source: BackendServer,
    target: BackendServer,
    mayStay: boolean,
  ): Promise<boolean> {
    const { requestId } = status;
    const startedMs = this.context.clock.nowMs();
    const firstCopy = await this.requestMove(source, target, requestId, false);
    this.logMove('move-copied', status, source, target, firstCopy, startedMs);
    if (firstCopy.kind !== 'copied') {
      return run.hasEnded() || firstCopy.kind === 'noSuchRun';
    }
    if (run.hasEnded()) {
      this.dropCopy(source, firstCopy.handle);
      return true;
    }
    if (this.context.serverAccess.avoidsEvacuated(target, 'copy')) {
      this.dropCopy(source, firstCopy.handle);
      return false;
    }
    const currentStatus = run.status();
    if (mayStay && currentStatus && !this.mayStop(currentStatus, source)) {
      this.context.log.info('move-withheld', { requestId, sourceId: source.serverId });
      this.dropCopy(source, firstCopy.handle);
      return true;
    }
    const finalCopyStartedMs = this.context.clock.nowMs();
    const atSource = continuationAt(source, source, firstCopy);
    const atTarget = { ...continuationAt(target, source, firstCopy), fallback: atSource };
    const mayBeStopped = run.isStopOpen();
    run.orderStop(atTarget);
    const finalCopy = await this.requestMove(source, target, requestId, true);
    this.logMove('move-stopped', status, source, target, finalCopy, finalCopyStartedMs);
    switch (runAfterStop(finalCopy, mayBeStopped)) {
      case 'ended':
      case 'runsOn':
        await run.withdrawStop();
        if (run.hasEnded() || run.hasStream()) {
          if (finalCopy.kind !== 'notSent') {
            this.dropCopy(source, firstCopy.handle);
          }
          return true;
        }
        run.continueAt(atTarget);
        return true;
      case 'stopped':
        await this.continueStopped(run, source, target, firstCopy, finalCopy);
        return true;
      case 'unknown':
        return this.continueUndecided(run, status, source, atTarget);
    }
  }

  /**
   * Continues a run that its engine has stopped: at the target if that has all of it, otherwise at the engine,
   * which keeps it. The other one is the fallback.
   */
  private async continueStopped(
    run: GenerationRun,
    source: BackendServer,
    target: BackendServer,
    firstCopy: CopiedRun,
    finalCopy: MoveOutcome,
  ): Promise<void> {
    const hasRoom = finalCopy.kind === 'copied';
    const kept = finalCopy.kind === 'noRoom' ? finalCopy.handle : undefined;
    const handle = hasRoom ? finalCopy.handle : (kept ?? firstCopy.handle);
    await waitForStreamClosed(run);
    if (run.hasEnded()) {
      this.dropCopy(source, handle);
      return;
    }
    const { eventsMade } = hasRoom ? finalCopy : firstCopy;
    const atSource = continuationAt(source, source, { eventsMade, handle });
    if (hasRoom) {
      run.continueAt({ ...atSource, fallback: atSource, server: target });
      return;
    }
    const refusedBy = this.refusals.get(run) ?? new Set();
    this.refusals.set(run, refusedBy.add(target.serverId));
    run.continueAt({ ...atSource, fallback: continuationAt(target, source, firstCopy) });
  }

  /**
   * Goes on after an order to stop of which it is not known whether it was carried out. A copy that leaves
   * the run as it is shows whether the engine still runs it. Where nothing shows that, the stream stays, and
   * continues at the target when its connection ends.
   */
  private async continueUndecided(
    run: GenerationRun,
    status: RunStatus,
    source: BackendServer,
    atTarget: Continuation,
  ): Promise<boolean> {
    const { kvSource, server: target } = atTarget;
    let isClosed = await waitForStreamClosed(run);
    if (!isClosed) {
      const startedMs = this.context.clock.nowMs();
      const check = await this.requestMove(source, target, status.requestId, false);
      this.logMove('move-checked', status, source, target, check, startedMs);
      if (check.kind === 'copied') {
        await run.withdrawStop();
        return run.hasEnded();
      }
      isClosed = check.kind === 'noSuchRun' || !run.hasStream();
    }
    if (run.hasEnded()) {
      this.dropCopy(source, kvSource.handle);
      return true;
    }
    if (isClosed) {
      run.continueAt(atTarget);
    }
    return true;
  }

  private async requestMove(
    source: BackendServer,
    target: BackendServer,
    requestId: string,
    isFinalCopy: boolean,
  ): Promise<MoveOutcome> {
    const { engineControl, protocol } = this.context;
    const outcome = await engineControl.send(
      source,
      protocol.moveRequest(requestId, target, isFinalCopy),
      CONTROL_TIMEOUT_MS,
      { responseKey: CONTROL_RESPONSE_KEY, savesStream: true },
    );
    if (outcome.kind === 'answered') {
      return protocol.parseMoveResult(outcome.status, outcome.body);
    }
    const reason = `${outcome.kind}: ${outcome.reason}`;
    return { kind: outcome.kind === 'notSent' ? 'notSent' : 'unreadable', reason };
  }

  private dropCopy(source: BackendServer, handle: string): void {
    const { engineControl, protocol } = this.context;
    void engineControl.send(source, protocol.dropCopyRequest(handle));
  }

  private logMove(
    event: string,
    status: RunStatus,
    source: BackendServer,
    target: BackendServer,
    result: MoveOutcome,
    startedMs: number,
  ): void {
    this.context.log.info(event, {
      outcome: 'reason' in result ? result.reason : result.kind,
      requestId: status.requestId,
      sourceId: source.serverId,
      targetId: target.serverId,
      tookMs: Math.round(this.context.clock.nowMs() - startedMs),
      usedTokens: status.usedTokens,
    });
  }
}

/** Continuation of a run at a server from memory that the engine it ran at has copied or kept. */
function continuationAt(
  server: BackendServer,
  { host, port }: BackendServer,
  { eventsMade, handle }: CopiedRun,
): Continuation {
  const kvSource: KvCacheLocation = { handle, host, port };
  return { eventsMade, kvSource, server };
}

/** Whether a run can be moved; one that may crash engines is not sent to another. */
function isMovable(status: RunStatus | undefined): status is RunStatus {
  return status !== undefined && !status.isMoving && !status.isQuarantined;
}

/** Waits until the old stream has closed. Returns false when it is still open after the timeout. */
function waitForStreamClosed(run: GenerationRun): Promise<boolean> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      run.whenStreamClosed(undefined);
      resolve(false);
    }, STREAM_CLOSE_TIMEOUT_MS);
    run.whenStreamClosed(() => {
      clearTimeout(timer);
      resolve(true);
    });
  });
}
