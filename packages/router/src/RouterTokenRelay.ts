import type { EngineStream } from '@laburnumgap/engine';
import type { GenerationAction, GenerationTracker } from '@laburnumgap/generation';
import type { EngineStreamEvent, GeneratedToken } from '@laburnumgap/kernel';
import { invariant } from '@laburnumgap/kernel';
import {
  ENGINE_LEAVING_DETAIL,
  NO_STREAM_INVARIANT,
  SUPERSEDED_CHECK_PAUSE_MS,
} from './RouterConstants.js';
import type { RouterRunAssignment } from './RouterRunAssignment.js';
import type { RouterRunMetrics } from './RouterRunMetrics.js';
import type { GenerationRunOptions, RunServices } from './RouterRunTypes.js';
import { SUPERSEDED_END } from './RouterRunUtils.js';
import { RouterStreamReader } from './RouterStreamReader.js';

/** Options of a {@link RouterTokenRelay}. */
export interface TokenRelayOptions {
  readonly assignment: RouterRunAssignment;
  readonly isStopped: () => boolean;
  readonly run: GenerationRunOptions;
  readonly runMetrics: RouterRunMetrics;
  readonly tracker: GenerationTracker;
}

/** Reads the engine streams of one generation, one at a time, and delivers tokens to the caller. */
export class RouterTokenRelay {
  private readonly assignment: RouterRunAssignment;
  private isPreemptionRequested = false;
  private readonly isStopped: () => boolean;
  private lastActiveMs: number;
  private reader: RouterStreamReader | undefined;
  private readonly run: GenerationRunOptions;
  private readonly runMetrics: RouterRunMetrics;
  private readonly services: RunServices;
  private readonly tracker: GenerationTracker;

  constructor(options: TokenRelayOptions) {
    this.assignment = options.assignment;
    this.isStopped = options.isStopped;
    this.run = options.run;
    this.runMetrics = options.runMetrics;
    this.services = options.run.services;
    this.tracker = options.tracker;
    this.lastActiveMs = this.services.clock.nowMs();
  }

  /** Asks the engine for the status of the generation, on a new connection. */
  async queryStatus(): Promise<GenerationAction> {
    const { engineId, url } = this.assignment.engine();
    const status = await this.services.engines.status(url, this.run.generationId);
    if (this.reader?.hasBufferedEvent()) {
      return { kind: 'await' };
    }
    if (status.ok) {
      const streamOpen = this.reader !== undefined;
      return this.tracker.handleEvent({ kind: 'status', status: status.value, streamOpen });
    }
    const { detail, refused } = status.error;
    const action = this.tracker.handleEvent({ detail, kind: 'statusFailed', refused });
    if (action.kind !== 'ask') {
      this.services.health.suspect(engineId);
    }
    return action;
  }

  /** Closes the open stream, if any. */
  close(): void {
    this.reader?.close();
    this.reader = undefined;
  }

  /** Delivers tokens that an earlier run of the request has read and the caller does not have. */
  async deliverKnownTokens(): Promise<void> {
    const { resumeFromIndex: firstWantedIndex, sink } = this.run;
    const texts = this.tracker.knownTexts();
    for (let index = firstWantedIndex; index < texts.length; index += 1) {
      await sink.deliver(index, texts[index] ?? '');
    }
  }

  /** Drops a pending preemption request, which applied to the previous engine. */
  clearPreemption(): void {
    this.isPreemptionRequested = false;
  }

  /** Ends a pending read. */
  interrupt(): void {
    this.reader?.interrupt();
  }

  /** Replaces the open stream. */
  open(stream: EngineStream): void {
    this.close();
    const { clock, health, timers } = this.services;
    const gapEstimators = health.gapEstimatorsOf(this.assignment.engine().engineId);
    this.reader = new RouterStreamReader({ clock, gapEstimators, stream, timers });
  }

  /** Ends the read: the scheduler of the engine reclaims the memory, so the generation moves. */
  requestPreemption(): void {
    this.isPreemptionRequested = true;
    this.interrupt();
  }

  /** Reads and delivers tokens until the tracker decides on another action. */
  async relayTokens(): Promise<GenerationAction> {
    const { reader } = this;
    invariant(reader, NO_STREAM_INVARIANT, 'a stream is open');
    while (!this.isStopped()) {
      if (this.isPreemptionRequested) {
        return this.endPreempted('moveOrdered');
      }
      const event = await reader.next();
      if (event.kind === 'token') {
        const action = await this.processToken(event.token, reader);
        if (action) {
          return action;
        }
      } else if (event.kind === 'preempted') {
        return this.endPreempted('preempted');
      } else if (event.kind === 'silent') {
        return this.tracker.handleEvent(event);
      } else if (event.kind !== 'interrupted') {
        this.close();
        this.markIfLeaving(event);
        return this.tracker.handleEvent(event);
      }
    }
    return { kind: 'await' };
  }

  /** `moveOrdered`: preempted by the scheduler; `preempted`: by the engine itself. */
  private endPreempted(kind: 'moveOrdered' | 'preempted'): GenerationAction {
    this.clearPreemption();
    this.close();
    this.runMetrics.recordPreemption(kind);
    this.assignment.recordPreempted(kind === 'preempted');
    return this.tracker.handleEvent({ kind });
  }

  private markIfLeaving(event: EngineStreamEvent): void {
    if (event.kind === 'lost' && event.detail === ENGINE_LEAVING_DETAIL) {
      this.services.placement.markLeaving(this.assignment.engine().engineId);
    }
  }

  private async processToken(
    token: GeneratedToken,
    reader: RouterStreamReader,
  ): Promise<GenerationAction | undefined> {
    if (await this.isSupersededAfterPause()) {
      this.close();
      return SUPERSEDED_END;
    }
    const verdict = this.tracker.acceptToken(token);
    if (verdict === 'deliver') {
      this.runMetrics.recordToken(this.services.clock.nowMs(), reader.stallThresholdMs());
      this.run.quotaGrant.charge(1);
      this.assignment.refreshHomesAtInterval(token.index);
      await this.run.sink.deliver(token.index, token.text);
      return undefined;
    }
    if (verdict === 'gap') {
      this.close();
      const detail = `the engine skipped tokens before index ${token.index}`;
      return this.tracker.handleEvent({ detail, kind: 'sequenceBroken' });
    }
    return undefined;
  }

  /**
   * After a pause of the process, or of a caller that does not read, buffered tokens may stem from
   * before another router took over: checks the engine and the homes before delivering any of them.
   */
  private async isSupersededAfterPause(): Promise<boolean> {
    const pausedForMs = this.services.clock.nowMs() - this.lastActiveMs;
    this.lastActiveMs = this.services.clock.nowMs();
    if (pausedForMs < SUPERSEDED_CHECK_PAUSE_MS) {
      return false;
    }
    const { url } = this.assignment.engine();
    const status = await this.services.engines.status(url, this.run.generationId);
    if (status.ok && status.value.attempt > this.tracker.attempt) {
      return true;
    }
    return (await this.assignment.recordAtHomes()) === 'superseded';
  }
}
