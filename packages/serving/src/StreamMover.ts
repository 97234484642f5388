import type { BackendServer, EngineLimits, SelectedMove } from '@laburnumgap/dispatch';
import { selectMoves } from '@laburnumgap/dispatch';
import type { RequestId, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import { sendControlRequest } from './EngineControl.js';
import type { GenerationRun, RunPosition } from './GenerationRun.js';
import type { MoveTurnCoordinator } from './MoveTurnCoordinator.js';
import type { ServingContext } from './ServingContext.js';
import type { MoveResult, KvCacheLocation } from './ServingPorts.js';

/** Expected time for one output token on a busy engine. */
const MS_PER_TOKEN = 10;
/** Longer than a preempted run waits as a rule, and well inside a caller's patience. */
const SILENT_MS = 2_500;
/** A stream that was stopped has closed by then; later its events are given up. */
const LEG_CLOSE_TIMEOUT_MS = 200;
const MAX_TARGETS = 3;
/** Engines among which the daemon that gives the turns may choose. */
const OFFERED_TARGETS = 6;

/** Moves streams away from engines that leave, one after the other, while they run. */
export class StreamMover {
  constructor(
    private readonly context: ServingContext,
    private readonly runs: ReadonlySet<GenerationRun>,
    private readonly turns: MoveTurnCoordinator,
    private readonly engineOf: (server: BackendServer) => EngineLimits | undefined,
  ) {}

  /** Starts the moves of all streams on a server that leaves. Called again, it takes new ones. */
  moveFrom(serverId: ServerId): void {
    const source = this.context.registry.get(serverId)?.server;
    const engine = source && this.engineOf(source);
    if (!source || !engine?.canMove) {
      return;
    }
    const movable = this.movableAt(serverId);
    const streams = [...movable.values()].map(({ position }) => ({
      expectedRemainingTokens: position.expectedRemainingTokens,
      requestId: toId<RequestId>(position.requestId),
    }));
    for (const selected of selectMoves(streams, MS_PER_TOKEN)) {
      const run = movable.get(selected.requestId)?.run;
      if (run) {
        run.setMoving(true);
        void this.move(run, source, selected);
      }
    }
  }

  /**
   * Moves streams whose engine has said nothing for long. Answers connections that go silent without
   * a reset while new ones work: the run is stopped over a new connection and goes on elsewhere.
   */
  moveSilent(): void {
    for (const run of this.runs) {
      const position = run.position();
      if (!position || position.isMoving || position.silentMs < SILENT_MS) {
        continue;
      }
      const { requestId, server, silentMs } = position;
      if (this.engineOf(server)?.canMove) {
        this.context.log.warn('stream-silent', {
          requestId,
          serverId: server.serverId,
          silentMs: Math.round(silentMs),
        });
        this.context.connections.close(server.serverId);
        run.setMoving(true);
        void this.move(run, server, { endsSoon: false, requestId: toId<RequestId>(requestId) });
      }
    }
  }

  private movableAt(
    serverId: ServerId,
  ): ReadonlyMap<string, { position: RunPosition; run: GenerationRun }> {
    const movable = new Map<string, { position: RunPosition; run: GenerationRun }>();
    for (const run of this.runs) {
      const position = run.position();
      if (position && !position.isMoving && position.server.serverId === serverId) {
        movable.set(position.requestId, { position, run });
      }
    }
    return movable;
  }

  private async move(
    run: GenerationRun,
    source: BackendServer,
    selected: SelectedMove,
  ): Promise<void> {
    const { requestId } = selected;
    const tried = new Set<ServerId>([source.serverId]);
    for (let count = 0; count < MAX_TARGETS; count += 1) {
      const target = await this.targetFor(run, source, selected, tried);
      const position = run.position();
      if (!position || !target) {
        break;
      }
      tried.add(target.serverId);
      run.setCopyTarget(target.serverId);
      const isSettled = await this.moveTo(run, position, source, target);
      run.setCopyTarget(undefined);
      if (isSettled) {
        break;
      }
      this.turns.done(requestId);
    }
    this.turns.done(requestId);
    run.setMoving(false);
    if (!run.hasEnded() && run.serverId() === undefined) {
      run.breakOff('the engine left and no other took the run');
    }
  }

  private async targetFor(
    run: GenerationRun,
    source: BackendServer,
    { endsSoon, requestId }: SelectedMove,
    tried: ReadonlySet<ServerId>,
  ): Promise<BackendServer | undefined> {
    const ranked = run.rankTargets(tried, source).slice(0, OFFERED_TARGETS);
    const targetIds = ranked.map(({ server }) => server.serverId);
    if (targetIds.length === 0) {
      return undefined;
    }
    const outcome = await this.turns.want({
      endsSoon,
      requestId,
      sourceId: source.serverId,
      targetIds,
      usedTokens: run.position()?.usedTokens ?? 0,
    });
    if (outcome.kind === 'turn') {
      return this.context.registry.get(outcome.targetId)?.server;
    }
    return ranked[0]?.server;
  }

  /** Returns whether nothing more is to be tried. */
  private async moveTo(
    run: GenerationRun,
    position: RunPosition,
    source: BackendServer,
    target: BackendServer,
  ): Promise<boolean> {
    const { requestId } = position;
    const startedMs = this.context.clock.nowMs();
    const first = await this.order(source, target, requestId, false);
    this.note('move-copied', position, source, target, first, startedMs);
    if (first.kind !== 'copied') {
      return run.hasEnded() || first.kind === 'noSuchRun';
    }
    if (run.hasEnded()) {
      this.dropCopy(source, first.handle);
      return true;
    }
    const stoppedMs = this.context.clock.nowMs();
    const last = await this.order(source, target, requestId, true);
    this.note('move-stopped', position, source, target, last, stoppedMs);
    if (last.kind === 'noSuchRun' || last.kind === 'inProgress') {
      this.dropCopy(source, first.handle);
      return run.hasEnded() || run.serverId() !== undefined;
    }
    const handle = (last.kind === 'unreadable' ? undefined : last.handle) ?? first.handle;
    if (last.kind === 'unreadable' && run.serverId() !== undefined) {
      return true;
    }
    const isClosed = await legClosed(run);
    if (run.hasEnded()) {
      this.dropCopy(source, handle);
      return true;
    }
    if (last.kind === 'noRoom' && !isClosed) {
      // The engine refused before it stopped the run, which goes on there.
      return false;
    }
    this.continueRun(run, source, target, handle, last.kind === 'noRoom');
    return true;
  }

  private continueRun(
    run: GenerationRun,
    source: BackendServer,
    target: BackendServer,
    handle: string,
    onlyAtSource: boolean,
  ): void {
    const from: KvCacheLocation = { handle, host: source.host, port: source.port };
    const atSource = { from, server: source };
    run.continueAt(onlyAtSource ? atSource : { from, otherwise: atSource, server: target });
  }

  private async order(
    source: BackendServer,
    target: BackendServer,
    requestId: string,
    isLast: boolean,
  ): Promise<MoveResult> {
    const { connections: connections, protocol } = this.context;
    const outcome = await sendControlRequest(
      connections,
      source,
      protocol.moveRequest(requestId, target, isLast),
    );
    if (outcome.kind === 'answered') {
      return protocol.parseMoveResult(outcome.status, outcome.body);
    }
    return { kind: 'unreadable', reason: `${outcome.kind}: ${outcome.reason}` };
  }

  private dropCopy(source: BackendServer, handle: string): void {
    const { connections: connections, protocol } = this.context;
    void sendControlRequest(connections, source, protocol.dropCopyRequest(handle));
  }

  private note(
    event: string,
    position: RunPosition,
    source: BackendServer,
    target: BackendServer,
    answer: MoveResult,
    startedMs: number,
  ): void {
    this.context.log.info(event, {
      outcome: answer.kind === 'unreadable' ? answer.reason : answer.kind,
      requestId: position.requestId,
      sourceId: source.serverId,
      targetId: target.serverId,
      tookMs: Math.round(this.context.clock.nowMs() - startedMs),
      usedTokens: position.usedTokens,
    });
  }
}

/** Waits for the end of the old stream. False when it goes on. */
function legClosed(run: GenerationRun): Promise<boolean> {
  return new Promise((resolve) => {
    const timer = setTimeout(() => {
      run.whenLegClosed(undefined);
      resolve(false);
    }, LEG_CLOSE_TIMEOUT_MS);
    run.whenLegClosed(() => {
      clearTimeout(timer);
      resolve(true);
    });
  });
}
