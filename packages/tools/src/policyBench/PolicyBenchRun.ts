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
import type { BenchFlight, BenchServer } from './PolicyBenchFlight.js';
import { admissionRequestOf, reservationIdOf } from './PolicyBenchFlight.js';
import type { BenchRequest } from './PolicyBenchMix.js';

/** What a run consists of. */
export interface BenchRunOptions {
  readonly createController: () => AdmissionController;
  readonly durationMs: number;
  readonly engines: number;
  readonly kvTokensCapacity: number;
  readonly maxRunning: number;
  readonly requests: readonly BenchRequest[];
}

/** What a run gave. */
export interface BenchResult {
  readonly figures: BenchFigures;
  readonly histograms: BenchHistograms;
}

const PROGRESS_INTERVAL_MS = 1_000;
const LOAD_INTERVAL_MS = 1_000;
const REQUEUE_DELAY_MS = 5;
const DRAIN_MS = 240_000;

/** Runs requests against fake engines, each with an admission kernel of its own. */
export class BenchRun {
  private readonly servers: readonly BenchServer[];
  private nowMs = 0;
  private readonly options: BenchRunOptions;
  private readonly recorder = new BenchRecorder();
  private readonly requeued: { readonly atMs: number; readonly flight: BenchFlight }[] = [];

  constructor(options: BenchRunOptions) {
    this.options = options;
    this.servers = Array.from({ length: options.engines }, () => ({
      controller: options.createController(),
      engine: new FakeEngine(options),
      flights: new Map<string, BenchFlight>(),
      nextStepMs: Infinity,
    }));
  }

  /** Runs to the end, with time after the last arrival for what still runs. */
  run(): BenchResult {
    const { durationMs, requests } = this.options;
    let nextRequest = 0;
    let nextProgressMs = 0;
    let nextLoadMs = 0;
    while (this.nowMs < durationMs + DRAIN_MS) {
      const request = requests[nextRequest];
      const arrivalMs = request?.arrivalMs ?? Infinity;
      const requeueMs = this.requeued[0]?.atMs ?? Infinity;
      const stepMs = Math.min(...this.servers.map((server) => server.nextStepMs));
      const wakeMs = Math.min(
        ...this.servers.map((server) => server.controller.nextWakeMs() ?? Infinity),
      );
      const dueMs = Math.min(arrivalMs, requeueMs, stepMs, wakeMs, nextProgressMs, nextLoadMs);
      this.nowMs = Math.max(this.nowMs, dueMs);
      if (request && dueMs === arrivalMs) {
        this.arrive(request);
        nextRequest += 1;
      } else if (dueMs === requeueMs) {
        this.requeue();
      } else if (dueMs === stepMs) {
        this.stepDue();
      } else if (dueMs === nextProgressMs) {
        this.reportProgress();
        nextProgressMs += PROGRESS_INTERVAL_MS;
      } else if (dueMs === nextLoadMs) {
        this.reportLoad();
        nextLoadMs += LOAD_INTERVAL_MS;
      } else {
        this.wakeDue();
      }
    }
    const figures = this.recorder.figures(durationMs);
    return { figures, histograms: this.recorder.histograms() };
  }

  private arrive(request: BenchRequest): void {
    this.recorder.noteArrived();
    const flight: BenchFlight = {
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
    this.ask(flight);
  }

  private ask(flight: BenchFlight): void {
    const server = flight.server;
    server.flights.set(flight.request.id, flight);
    const request = admissionRequestOf(flight);
    this.perform(server, server.controller.handle({ kind: 'arrived', request }, this.nowMs));
  }

  /** The engine with the shortest estimated wait; among equals the one with fewest requests. */
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
      return other.server.flights.size < chosen.server.flights.size ? other : chosen;
    });
    return best.server;
  }

  private perform(server: BenchServer, actions: readonly AdmissionAction[]): void {
    for (const action of actions) {
      const flight = server.flights.get(action.request.requestId);
      if (!flight) {
        continue;
      }
      switch (action.kind) {
        case 'grant':
          this.grant(server, flight, action.enginePriority);
          break;
        case 'preempt':
          this.preempt(server, flight);
          break;
        case 'queue':
          break;
        case 'refuse':
          server.flights.delete(flight.request.id);
          this.recorder.noteRefused();
      }
    }
  }

  private grant(server: BenchServer, flight: BenchFlight, priority: number): void {
    flight.isGranted = true;
    flight.generation = { ...flight.generation, priority };
    server.engine.start(flight.generation);
    if (server.nextStepMs === Infinity) {
      server.nextStepMs = this.nowMs;
    }
  }

  private preempt(server: BenchServer, flight: BenchFlight): void {
    this.recorder.notePreempted();
    server.engine.cancel(flight.request.id);
    server.flights.delete(flight.request.id);
    const reservationId = reservationIdOf(flight);
    flight.attempt += 1;
    flight.isGranted = false;
    flight.preemptions += 1;
    this.requeued.push({ atMs: this.nowMs + REQUEUE_DELAY_MS, flight });
    this.perform(server, server.controller.handle({ kind: 'ended', reservationId }, this.nowMs));
  }

  private requeue(): void {
    const due = this.requeued.shift();
    if (due) {
      due.flight.server = this.chooseServer(due.flight.request);
      this.ask(due.flight);
    }
  }

  private stepDue(): void {
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
    this.noteTokens(server, step, endMs);
    for (const { id } of step.preempted) {
      this.recorder.notePreempted();
      const flight = server.flights.get(id);
      if (flight) {
        flight.preemptions += 1;
      }
    }
    for (const { id } of step.finished) {
      this.finish(server, id);
    }
  }

  private noteTokens(server: BenchServer, step: FakeStep, endMs: number): void {
    for (const { id, producedTokens } of step.produced) {
      const flight = server.flights.get(id);
      if (!flight) {
        continue;
      }
      const gapMs = endMs - flight.lastTokenMs;
      flight.lastTokenMs = endMs;
      if (producedTokens === 1) {
        flight.stallMs += gapMs;
        this.noteFirstToken(flight, gapMs);
      } else {
        flight.stallMs += this.recorder.noteGap(gapMs);
      }
    }
  }

  private noteFirstToken(flight: BenchFlight, waitMs: number): void {
    if (flight.request.team.isSmall) {
      this.recorder.noteSmallTeamWait(waitMs);
    }
  }

  private finish(server: BenchServer, id: string): void {
    const flight = server.flights.get(id);
    if (!flight) {
      return;
    }
    const { kind, lengthTokens } = flight.request;
    this.recorder.noteFinished(kind.name, lengthTokens, flight.stallMs, flight.preemptions);
    server.flights.delete(id);
    this.report(server, flight, true);
    const reservationId = reservationIdOf(flight);
    this.perform(server, server.controller.handle({ kind: 'ended', reservationId }, this.nowMs));
  }

  private report(server: BenchServer, flight: BenchFlight, finished: boolean): void {
    const { attempt, generation } = flight;
    const progress = {
      attempt: toNumberId<AdmissionRequest['attempt']>(attempt),
      enginePreempted: false,
      finished,
      generationId: toId<AdmissionRequest['generationId']>(flight.request.id),
      producedTokens: generation.producedTokens,
    };
    this.perform(server, server.controller.handle({ kind: 'progressed', progress }, this.nowMs));
  }

  private reportProgress(): void {
    for (const server of this.servers) {
      for (const flight of [...server.flights.values()]) {
        if (flight.isGranted) {
          this.report(server, flight, false);
        }
      }
    }
  }

  private reportLoad(): void {
    for (const server of this.servers) {
      const load = server.engine.load(this.nowMs);
      this.perform(server, server.controller.handle({ kind: 'loadReported', load }, this.nowMs));
    }
  }

  private wakeDue(): void {
    for (const server of this.servers) {
      if ((server.controller.nextWakeMs() ?? Infinity) <= this.nowMs) {
        this.perform(server, server.controller.handle({ kind: 'woke' }, this.nowMs));
      }
    }
  }
}
