import type {
  AdmissionAction,
  AdmissionController,
  AdmissionRequest,
} from '@laburnumgap/admission';
import { toId, toNumberId } from '@laburnumgap/kernel';
import type { FakeStep } from './PolicyBenchEngine.js';
import { FakeEngine } from './PolicyBenchEngine.js';
import type { BenchFigures, BenchHistograms } from './PolicyBenchFigures.js';
import { BenchRecorder } from './PolicyBenchFigures.js';
import type { InFlightGeneration, BenchServer } from './PolicyBenchInFlight.js';
import { admissionRequestOf, reservationIdOf } from './PolicyBenchInFlight.js';
import type { BenchRequest } from './PolicyBenchMix.js';

/** Options of a {@link BenchRun}. */
export interface BenchRunOptions {
  readonly createController: () => AdmissionController;
  readonly durationMs: number;
  readonly engines: number;
  readonly kvTokensCapacity: number;
  readonly maxRunning: number;
  readonly requests: readonly BenchRequest[];
}

/** Figures and latency distributions of a run. */
export interface BenchResult {
  readonly figures: BenchFigures;
  readonly histograms: BenchHistograms;
}

const PROGRESS_INTERVAL_MS = 1_000;
const LOAD_INTERVAL_MS = 1_000;
/** Delay after which a preempted generation is submitted again. */
const RESUBMIT_DELAY_MS = 5;
/** Simulated time after the end of arrivals in which running and queued generations can finish. */
const DRAIN_MS = 240_000;

/**
 * Discrete-event simulation of requests against fake engines, each with its own admission
 * controller.
 */
export class BenchRun {
  private readonly servers: readonly BenchServer[];
  private nowMs = 0;
  private readonly options: BenchRunOptions;
  private readonly recorder = new BenchRecorder();
  private readonly awaitingResubmission: {
    readonly atMs: number;
    readonly inFlight: InFlightGeneration;
  }[] = [];

  constructor(options: BenchRunOptions) {
    this.options = options;
    this.servers = Array.from({ length: options.engines }, () => ({
      controller: options.createController(),
      engine: new FakeEngine(options),
      inFlight: new Map<string, InFlightGeneration>(),
      nextStepMs: Infinity,
    }));
  }

  /** Runs the simulation until the drain time after the end of arrivals has passed. */
  run(): BenchResult {
    const { durationMs, requests } = this.options;
    let nextRequest = 0;
    let nextProgressMs = 0;
    let nextLoadMs = 0;
    while (this.nowMs < durationMs + DRAIN_MS) {
      const request = requests[nextRequest];
      const arrivalMs = request?.arrivalMs ?? Infinity;
      const resubmitMs = this.awaitingResubmission[0]?.atMs ?? Infinity;
      const stepMs = Math.min(...this.servers.map((server) => server.nextStepMs));
      const wakeMs = Math.min(
        ...this.servers.map((server) => server.controller.nextWakeMs() ?? Infinity),
      );
      const dueMs = Math.min(arrivalMs, resubmitMs, stepMs, wakeMs, nextProgressMs, nextLoadMs);
      this.nowMs = Math.max(this.nowMs, dueMs);
      if (request && dueMs === arrivalMs) {
        this.handleArrival(request);
        nextRequest += 1;
      } else if (dueMs === resubmitMs) {
        this.resubmitPreempted();
      } else if (dueMs === stepMs) {
        this.stepDueEngines();
      } else if (dueMs === nextProgressMs) {
        this.reportProgress();
        nextProgressMs += PROGRESS_INTERVAL_MS;
      } else if (dueMs === nextLoadMs) {
        this.reportLoad();
        nextLoadMs += LOAD_INTERVAL_MS;
      } else {
        this.wakeDueControllers();
      }
    }
    const figures = this.recorder.figures(durationMs);
    return { figures, histograms: this.recorder.histograms() };
  }

  private handleArrival(request: BenchRequest): void {
    this.recorder.recordArrival();
    const inFlight: InFlightGeneration = {
      attempt: 1,
      generation: {
        id: request.id,
        lengthTokens: request.lengthTokens,
        priority: 0,
        producedTokens: 0,
        promptTokens: request.promptTokens,
      },
      isGranted: false,
      lastTokenMs: this.nowMs,
      preemptions: 0,
      request,
      server: this.chooseServer(request),
      stallMs: 0,
    };
    this.submit(inFlight);
  }

  private submit(inFlight: InFlightGeneration): void {
    const server = inFlight.server;
    server.inFlight.set(inFlight.request.id, inFlight);
    const request = admissionRequestOf(inFlight);
    this.applyActions(server, server.controller.handle({ kind: 'arrived', request }, this.nowMs));
  }

  /** Chooses the engine with the shortest estimated wait; ties go to the fewest requests. */
  private chooseServer(request: BenchRequest): BenchServer {
    const query = {
      maxTokens: request.kind.maxTokens,
      model: toId<AdmissionRequest['model']>('model-1'),
      promptTokens: request.promptTokens,
      teamId: toId<AdmissionRequest['teamId']>(request.team.name),
    };
    const ranked = this.servers.map((server) => ({
      server,
      waitMs: server.controller.estimate(query, this.nowMs).waitMs,
    }));
    const best = ranked.reduce((chosen, other) => {
      if (other.waitMs !== chosen.waitMs) {
        return other.waitMs < chosen.waitMs ? other : chosen;
      }
      return other.server.inFlight.size < chosen.server.inFlight.size ? other : chosen;
    });
    return best.server;
  }

  private applyActions(server: BenchServer, actions: readonly AdmissionAction[]): void {
    for (const action of actions) {
      const inFlight = server.inFlight.get(action.request.requestId);
      if (!inFlight) {
        continue;
      }
      switch (action.kind) {
        case 'grant':
          this.grant(server, inFlight, action.enginePriority);
          break;
        case 'preempt':
          this.preempt(server, inFlight);
          break;
        case 'queue':
          break;
        case 'refuse':
          server.inFlight.delete(inFlight.request.id);
          this.recorder.recordRefusal();
      }
    }
  }

  private grant(server: BenchServer, inFlight: InFlightGeneration, priority: number): void {
    inFlight.isGranted = true;
    inFlight.generation = { ...inFlight.generation, priority };
    server.engine.start(inFlight.generation);
    if (server.nextStepMs === Infinity) {
      server.nextStepMs = this.nowMs;
    }
  }

  private preempt(server: BenchServer, inFlight: InFlightGeneration): void {
    this.recorder.recordPreemption();
    server.engine.cancel(inFlight.request.id);
    server.inFlight.delete(inFlight.request.id);
    const reservationId = reservationIdOf(inFlight);
    inFlight.attempt += 1;
    inFlight.isGranted = false;
    inFlight.preemptions += 1;
    this.awaitingResubmission.push({ atMs: this.nowMs + RESUBMIT_DELAY_MS, inFlight });
    this.applyActions(
      server,
      server.controller.handle({ kind: 'ended', reservationId }, this.nowMs),
    );
  }

  private resubmitPreempted(): void {
    const due = this.awaitingResubmission.shift();
    if (due) {
      due.inFlight.server = this.chooseServer(due.inFlight.request);
      this.submit(due.inFlight);
    }
  }

  private stepDueEngines(): void {
    for (const server of this.servers) {
      if (server.nextStepMs <= this.nowMs) {
        this.step(server);
      }
    }
  }

  private step(server: BenchServer): void {
    const step = server.engine.step(this.nowMs);
    const endMs = this.nowMs + step.stepMs;
    server.nextStepMs = server.engine.isIdle() ? Infinity : endMs;
    this.recordTokens(server, step, endMs);
    for (const { id } of step.preempted) {
      this.recorder.recordPreemption();
      const inFlight = server.inFlight.get(id);
      if (inFlight) {
        inFlight.preemptions += 1;
      }
    }
    for (const { id } of step.finished) {
      this.finish(server, id);
    }
  }

  private recordTokens(server: BenchServer, step: FakeStep, endMs: number): void {
    for (const { id, producedTokens } of step.produced) {
      const inFlight = server.inFlight.get(id);
      if (!inFlight) {
        continue;
      }
      const gapMs = endMs - inFlight.lastTokenMs;
      inFlight.lastTokenMs = endMs;
      if (producedTokens === 1) {
        inFlight.stallMs += gapMs;
        this.recordFirstToken(inFlight, gapMs);
      } else {
        inFlight.stallMs += this.recorder.recordGap(gapMs);
      }
    }
  }

  private recordFirstToken(inFlight: InFlightGeneration, waitMs: number): void {
    if (inFlight.request.team.isSmall) {
      this.recorder.recordSmallTeamWait(waitMs);
    }
  }

  private finish(server: BenchServer, id: string): void {
    const inFlight = server.inFlight.get(id);
    if (!inFlight) {
      return;
    }
    const { kind, lengthTokens } = inFlight.request;
    this.recorder.recordFinished(kind.name, lengthTokens, inFlight.stallMs, inFlight.preemptions);
    server.inFlight.delete(id);
    this.reportGeneration(server, inFlight, true);
    const reservationId = reservationIdOf(inFlight);
    this.applyActions(
      server,
      server.controller.handle({ kind: 'ended', reservationId }, this.nowMs),
    );
  }

  private reportGeneration(
    server: BenchServer,
    inFlight: InFlightGeneration,
    finished: boolean,
  ): void {
    const { attempt, generation } = inFlight;
    const progress = {
      attempt: toNumberId<AdmissionRequest['attempt']>(attempt),
      enginePreempted: false,
      finished,
      generationId: toId<AdmissionRequest['generationId']>(inFlight.request.id),
      producedTokens: generation.producedTokens,
    };
    this.applyActions(
      server,
      server.controller.handle({ kind: 'progressed', progress }, this.nowMs),
    );
  }

  private reportProgress(): void {
    for (const server of this.servers) {
      for (const inFlight of [...server.inFlight.values()]) {
        if (inFlight.isGranted) {
          this.reportGeneration(server, inFlight, false);
        }
      }
    }
  }

  private reportLoad(): void {
    for (const server of this.servers) {
      const load = server.engine.load(this.nowMs);
      this.applyActions(
        server,
        server.controller.handle({ kind: 'loadReported', load }, this.nowMs),
      );
    }
  }

  private wakeDueControllers(): void {
    for (const server of this.servers) {
      if ((server.controller.nextWakeMs() ?? Infinity) <= this.nowMs) {
        this.applyActions(server, server.controller.handle({ kind: 'woke' }, this.nowMs));
      }
    }
  }
}
