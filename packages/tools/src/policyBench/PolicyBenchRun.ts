import type {
  AdmissionAction,
  AdmissionController,
  AdmissionRequest,
} from '@laburnumgap/admission';
import { toId, toNumberId } from '@laburnumgap/kernel';
import type { FakeGeneration, FakeStep } from './PolicyBenchEngine.js';
import { FakeEngine } from './PolicyBenchEngine.js';
import type { BenchFigures, BenchHistograms } from './PolicyBenchFigures.js';
import { BenchRecorder } from './PolicyBenchFigures.js';
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

/** One generation between its arrival and its end. */
interface Flight {
  attempt: number;
  engine: EngineLine;
  generation: FakeGeneration;
  isGranted: boolean;
  lastTokenMs: number;
  preemptions: number;
  readonly request: BenchRequest;
  stallMs: number;
}

interface EngineLine {
  readonly controller: AdmissionController;
  readonly engine: FakeEngine;
  flights: Map<string, Flight>;
  nextStepMs: number;
}

const PROGRESS_INTERVAL_MS = 1_000;
const LOAD_INTERVAL_MS = 1_000;
const REQUEUE_DELAY_MS = 5;
const DRAIN_MS = 240_000;

/** Runs requests against fake engines, each with an admission kernel of its own. */
export class BenchRun {
  private readonly lines: readonly EngineLine[];
  private nowMs = 0;
  private readonly options: BenchRunOptions;
  private readonly recorder = new BenchRecorder();
  private readonly requeued: { readonly atMs: number; readonly flight: Flight }[] = [];

  constructor(options: BenchRunOptions) {
    this.options = options;
    this.lines = Array.from({ length: options.engines }, () => ({
      controller: options.createController(),
      engine: new FakeEngine(options),
      flights: new Map<string, Flight>(),
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
      const stepMs = Math.min(...this.lines.map((line) => line.nextStepMs));
      const wakeMs = Math.min(
        ...this.lines.map((line) => line.controller.nextWakeMs() ?? Infinity),
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
    const flight: Flight = {
      attempt: 1,
      engine: this.chooseEngine(request),
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
      stallMs: 0,
    };
    this.ask(flight);
  }

  private ask(flight: Flight): void {
    const line = flight.engine;
    line.flights.set(flight.request.id, flight);
    const request = admissionRequestOf(flight);
    this.perform(line, line.controller.handle({ kind: 'arrived', request }, this.nowMs));
  }

  /** The engine with the shortest estimated wait; among equals the one with fewest requests. */
  private chooseEngine(request: BenchRequest): EngineLine {
    const query = {
      maxTokens: request.kind.maxTokens,
      model: toId<AdmissionRequest['model']>('model-1'),
      promptTokens: request.promptTokens,
      teamId: toId<AdmissionRequest['teamId']>(request.team.name),
    };
    const ranked = this.lines.map((line) => ({
      line,
      waitMs: line.controller.estimate(query, this.nowMs).waitMs,
    }));
    const best = ranked.reduce((chosen, other) => {
      if (other.waitMs !== chosen.waitMs) {
        return other.waitMs < chosen.waitMs ? other : chosen;
      }
      return other.line.flights.size < chosen.line.flights.size ? other : chosen;
    });
    return best.line;
  }

  private perform(line: EngineLine, actions: readonly AdmissionAction[]): void {
    for (const action of actions) {
      const flight = line.flights.get(action.request.requestId);
      if (!flight) {
        continue;
      }
      switch (action.kind) {
        case 'grant':
          this.grant(line, flight, action.enginePriority);
          break;
        case 'preempt':
          this.preempt(line, flight);
          break;
        case 'queue':
          break;
        case 'refuse':
          line.flights.delete(flight.request.id);
          this.recorder.noteRefused();
      }
    }
  }

  private grant(line: EngineLine, flight: Flight, priority: number): void {
    flight.isGranted = true;
    flight.generation = { ...flight.generation, priority };
    line.engine.start(flight.generation);
    if (line.nextStepMs === Infinity) {
      line.nextStepMs = this.nowMs;
    }
  }

  private preempt(line: EngineLine, flight: Flight): void {
    this.recorder.notePreempted();
    line.engine.cancel(flight.request.id);
    line.flights.delete(flight.request.id);
    const reservationId = reservationIdOf(flight);
    flight.attempt += 1;
    flight.isGranted = false;
    flight.preemptions += 1;
    this.requeued.push({ atMs: this.nowMs + REQUEUE_DELAY_MS, flight });
    this.perform(line, line.controller.handle({ kind: 'ended', reservationId }, this.nowMs));
  }

  private requeue(): void {
    const due = this.requeued.shift();
    if (due) {
      due.flight.engine = this.chooseEngine(due.flight.request);
      this.ask(due.flight);
    }
  }

  private stepDue(): void {
    for (const line of this.lines) {
      if (line.nextStepMs <= this.nowMs) {
        this.step(line);
      }
    }
  }

  private step(line: EngineLine): void {
    const step = line.engine.step(this.nowMs);
    const endMs = this.nowMs + step.stepMs;
    line.nextStepMs = line.engine.isIdle() ? Infinity : endMs;
    this.noteTokens(line, step, endMs);
    for (const { id } of step.preempted) {
      this.recorder.notePreempted();
      const flight = line.flights.get(id);
      if (flight) {
        flight.preemptions += 1;
      }
    }
    for (const { id } of step.finished) {
      this.finish(line, id);
    }
  }

  private noteTokens(line: EngineLine, step: FakeStep, endMs: number): void {
    for (const { id, producedTokens } of step.produced) {
      const flight = line.flights.get(id);
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

  private noteFirstToken(flight: Flight, waitMs: number): void {
    if (flight.request.team.isSmall) {
      this.recorder.noteSmallTeamWait(waitMs);
    }
  }

  private finish(line: EngineLine, id: string): void {
    const flight = line.flights.get(id);
    if (!flight) {
      return;
    }
    const { kind, lengthTokens } = flight.request;
    this.recorder.noteFinished(kind.name, lengthTokens, flight.stallMs, flight.preemptions);
    line.flights.delete(id);
    this.report(line, flight, true);
    const reservationId = reservationIdOf(flight);
    this.perform(line, line.controller.handle({ kind: 'ended', reservationId }, this.nowMs));
  }

  private report(line: EngineLine, flight: Flight, finished: boolean): void {
    const { attempt, generation } = flight;
    const progress = {
      attempt: toNumberId<AdmissionRequest['attempt']>(attempt),
      enginePreempted: false,
      finished,
      generationId: toId<AdmissionRequest['generationId']>(flight.request.id),
      producedTokens: generation.producedTokens,
    };
    this.perform(line, line.controller.handle({ kind: 'progressed', progress }, this.nowMs));
  }

  private reportProgress(): void {
    for (const line of this.lines) {
      for (const flight of [...line.flights.values()]) {
        if (flight.isGranted) {
          this.report(line, flight, false);
        }
      }
    }
  }

  private reportLoad(): void {
    for (const line of this.lines) {
      const load = line.engine.load(this.nowMs);
      this.perform(line, line.controller.handle({ kind: 'loadReported', load }, this.nowMs));
    }
  }

  private wakeDue(): void {
    for (const line of this.lines) {
      if ((line.controller.nextWakeMs() ?? Infinity) <= this.nowMs) {
        this.perform(line, line.controller.handle({ kind: 'woke' }, this.nowMs));
      }
    }
  }
}

function admissionRequestOf(flight: Flight): AdmissionRequest {
  const { attempt, generation, preemptions, request } = flight;
  return {
    attempt: toNumberId(attempt),
    generationId: toId(request.id),
    maxTokens: request.kind.maxTokens,
    model: toId('model-1'),
    preemptions,
    priorityClass: request.kind.priorityClass,
    producedTokens: generation.producedTokens,
    promptTokens: request.promptTokens,
    requestId: toId(request.id),
    reservationId: reservationIdOf(flight),
    teamId: toId(request.team.name),
    waitBoundMs: request.kind.waitBoundMs,
    weight: 1,
  };
}

function reservationIdOf(flight: Flight): AdmissionRequest['reservationId'] {
  return toId(`${flight.request.id}/${flight.attempt}`);
}
