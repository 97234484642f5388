import { ORDER_STATUS, parseJson, refusalAnswer } from './EngineStandinAnswers.js';
import type { EngineStandinCoreOptions } from './EngineStandinCore.js';
import { EngineStandinCore } from './EngineStandinCore.js';
import type { StandinGeneration } from './EngineStandinGeneration.js';
import { EngineStandinLoadReports } from './EngineStandinLoadReports.js';
import type { EngineStandinOrdersOptions } from './EngineStandinOrders.js';
import { EngineStandinOrders } from './EngineStandinOrders.js';
import { generationRequestSchema, orderSchema } from './EngineStandinSchema.js';
import { streamGeneration } from './EngineStandinStream.js';
import type { TriggeredFault } from './EngineStandinTokenTriggers.js';
import { TokenCountTriggers } from './EngineStandinTokenTriggers.js';
import type { Fault } from './StandinFaults.js';
import { FaultInjector } from './StandinFaults.js';
import type { StandinAnswer, StandinRequest, StandinServer } from './StandinServer.js';
import { jsonAnswer, startStandinServer } from './StandinServer.js';

/** Options of {@link startEngineStandin}. */
export interface EngineStandinOptions extends EngineStandinCoreOptions, EngineStandinOrdersOptions {
  /** Whether a start with a prefix is accepted; true by default. */
  readonly canContinueFromPrefix?: boolean;
  /** Duration of a decoding step with one running generation. */
  readonly decodeIntervalMs?: number;
  /** Fraction of that duration that each further running generation adds. */
  readonly decodeSlowdown?: number;
  /** Ends the process; without it, a kill closes the server and its connections. */
  readonly kill?: () => void;
  /** IP:PORT to listen on; port 0 takes a free port. */
  readonly listen: string;
}

const DEFAULT_DECODE_INTERVAL_MS = 20;
const DEFAULT_DECODE_SLOWDOWN = 0.02;
/** Resolution of the load reports that the `lag` fault makes older. */
const LOAD_SAMPLE_INTERVAL_MS = 50;
const GENERATION_PATH = /^\/v1\/generations\/([^/]+)(\/stream)?$/;

/**
 * Starts a stand-in of a model engine that serves the engine protocol with simulated tokens.
 *
 * @param options - address, capacities, timing and supported features
 * @returns the running stand-in
 * @throws when the address cannot be bound
 */
export async function startEngineStandin(options: EngineStandinOptions): Promise<StandinServer> {
  const faults = new FaultInjector();
  const engine = new EngineStandinService(options, faults);
  const server = await startStandinServer({
    control: (request) => engine.control(request),
    faults,
    handle: (request) => engine.handle(request),
    kill: options.kill,
    listen: options.listen,
    onFault: (fault) => engine.applyFault(fault),
    refusedBody: { error: 'refused' },
  });
  const kill = (): void => {
    engine.stop();
    server.kill();
  };
  const silenceConnections = (): void => {
    server.silenceConnections();
  };
  engine.start(kill, silenceConnections);
  return {
    address: server.address,
    close: async () => {
      engine.stop();
      await server.close();
    },
    faults,
    kill,
    silenceConnections,
    url: server.url,
  };
}

/** Handles the calls of a stand-in engine and runs its decoding steps. */
class EngineStandinService {
  readonly #core: EngineStandinCore;
  readonly #faults: FaultInjector;
  readonly #loadReports: EngineStandinLoadReports;
  readonly #options: EngineStandinOptions;
  readonly #orders: EngineStandinOrders;
  readonly #triggers = new TokenCountTriggers();
  #kill: () => void = () => undefined;
  #silenceConnections: () => void = () => undefined;
  #stepTimer: NodeJS.Timeout | undefined;
  #sampleTimer: NodeJS.Timeout | undefined;

  constructor(options: EngineStandinOptions, faults: FaultInjector) {
    this.#core = new EngineStandinCore(options);
    this.#faults = faults;
    this.#options = options;
    this.#loadReports = new EngineStandinLoadReports(this.#core);
    this.#orders = new EngineStandinOrders(options);
  }

  /** Starts the decoding steps and the load samples; the callbacks carry out triggered faults. */
  start(kill: () => void, silenceConnections: () => void): void {
    this.#kill = kill;
    this.#silenceConnections = silenceConnections;
    this.#scheduleStep();
    this.#sampleTimer = setInterval(() => {
      this.#loadReports.sample(performance.now());
    }, LOAD_SAMPLE_INTERVAL_MS);
    this.#sampleTimer.unref();
  }

  stop(): void {
    clearTimeout(this.#stepTimer);
    clearInterval(this.#sampleTimer);
  }

  handle(request: StandinRequest): Promise<StandinAnswer> | StandinAnswer {
    const pathMatch = GENERATION_PATH.exec(request.path);
    if (pathMatch) {
      return this.#handleGeneration(request, pathMatch[1] ?? '', pathMatch[2] !== undefined);
    }
    switch (`${request.method} ${request.path}`) {
      case 'GET /v1/cache-events':
        return this.#cacheEvents(request);
      case 'GET /v1/load':
        return jsonAnswer(200, this.#loadReports.report(performance.now(), this.#faults.lagMs));
      case 'GET /v1/state':
        return jsonAnswer(200, this.#stateReport());
      case 'POST /v1/generations':
        return this.#startGeneration(request);
      case 'POST /v1/orders':
        return this.#applyOrder(request);
      default:
        return jsonAnswer(404, { error: 'unknownPath' });
    }
  }

  /** Handles the engine's control calls; returns undefined for an unknown path. */
  control(request: StandinRequest): StandinAnswer | undefined {
    switch (request.path) {
      case '/control/generations':
        return jsonAnswer(200, this.#generationReport());
      case '/control/orders':
        return jsonAnswer(200, { orders: this.#orders.appliedOrders });
      default:
        return undefined;
    }
  }

  /** Applies the part of a fault that is specific to engines; returns whether it has one. */
  applyFault(fault: Fault): boolean {
    if (fault.kind === 'reclaim') {
      this.#core.leaving = fault.value;
      return true;
    }
    if (fault.kind === 'clear') {
      this.#core.leaving = false;
      this.#triggers.clear();
      return true;
    }
    return this.#triggers.add(fault);
  }

  #handleGeneration(request: StandinRequest, id: string, isStream: boolean): StandinAnswer {
    const attempt = Number(request.query.get('attempt') ?? 0);
    if (request.method === 'DELETE') {
      const cancelled = this.#core.cancel(id, attempt, performance.now());
      this.#core.generations.get(id)?.notifyReaders();
      return cancelled ? jsonAnswer(204) : refusalAnswer('superseded');
    }
    if (!isStream) {
      return jsonAnswer(200, this.#generationStatus(id));
    }
    const generation = this.#core.resume(id, attempt);
    if (typeof generation === 'string') {
      return refusalAnswer(generation);
    }
    return this.#streamAnswer(generation, attempt, Number(request.query.get('from') ?? 0));
  }

  #startGeneration(request: StandinRequest): StandinAnswer {
    const body = generationRequestSchema.safeParse(parseJson(request.body));
    if (!body.success) {
      return jsonAnswer(400, { error: body.error.issues[0]?.message ?? 'malformed' });
    }
    const generationRequest = body.data;
    if (!this.#orders.state.models.includes(generationRequest.model)) {
      return refusalAnswer('unknownModel');
    }
    if (generationRequest.prefix.length > 0 && this.#options.canContinueFromPrefix === false) {
      return refusalAnswer('cannotContinue');
    }
    const generation = this.#core.start(generationRequest, performance.now());
    if (typeof generation === 'string') {
      return refusalAnswer(generation);
    }
    return this.#streamAnswer(
      generation,
      generationRequest.attempt,
      generationRequest.prefix.length,
    );
  }

  #streamAnswer(generation: StandinGeneration, attempt: number, from: number): StandinAnswer {
    return {
      contentType: 'text/event-stream',
      kind: 'stream',
      start: (stream) => {
        streamGeneration(generation, stream, {
          attempt,
          fromIndex: from,
          isFrozen: () => this.#faults.isFrozen,
        });
      },
    };
  }

  async #applyOrder(request: StandinRequest): Promise<StandinAnswer> {
    const body = orderSchema.safeParse(parseJson(request.body));
    if (!body.success) {
      return jsonAnswer(400, { error: body.error.issues[0]?.message ?? 'malformed' });
    }
    const outcome = await this.#orders.apply(body.data);
    const json = outcome === 'inForce' ? this.#stateReport() : { error: outcome };
    return jsonAnswer(ORDER_STATUS[outcome], json);
  }

  #cacheEvents(request: StandinRequest): StandinAnswer {
    const afterSequence = Number(request.query.get('after') ?? 0);
    const publishedBeforeMs = performance.now() - this.#faults.lagMs;
    const everyNth = this.#faults.gapEveryNth;
    return jsonAnswer(
      200,
      this.#core.prefixCache.eventsAfter(afterSequence, publishedBeforeMs, everyNth),
    );
  }

  #stateReport(): object {
    return {
      ...this.#orders.state,
      canContinueFromPrefix: this.#options.canContinueFromPrefix ?? true,
      checksFencingNumbers: this.#orders.checksFencingNumbers,
      kvTokensCapacity: this.#core.kvTokensCapacity,
      maxRunning: this.#core.maxRunning,
    };
  }

  #generationStatus(id: string): object {
    const generation = this.#core.generations.get(id);
    if (!generation) {
      return { attempt: 0, producedTokens: 0, state: 'unknown' };
    }
    const { attempt, state, tokenTexts } = generation;
    return { attempt, producedTokens: tokenTexts.length, state };
  }

  #generationReport(): object {
    const generations = [...this.#core.generations.keys()].map((generationId) => ({
      generationId,
      ...this.#generationStatus(generationId),
    }));
    return { generations };
  }

  #scheduleStep(): void {
    const baseIntervalMs = this.#options.decodeIntervalMs ?? DEFAULT_DECODE_INTERVAL_MS;
    const slowdownPerGeneration = this.#options.decodeSlowdown ?? DEFAULT_DECODE_SLOWDOWN;
    const furtherGenerations = Math.max(0, this.#core.runningCount - 1);
    const intervalMs = baseIntervalMs * (1 + slowdownPerGeneration * furtherGenerations);
    this.#stepTimer = setTimeout(() => {
      this.#step();
      this.#scheduleStep();
    }, intervalMs);
  }

  #step(): void {
    if (this.#faults.isFrozen || this.#core.isIdle) {
      return;
    }
    const produced = this.#core.step(performance.now());
    for (const generation of produced) {
      generation.notifyReaders();
    }
    this.#triggers.fire(produced, (fault, generation) => {
      this.#runTriggeredFault(fault, generation);
    });
  }

  #runTriggeredFault(fault: TriggeredFault, generation: StandinGeneration): void {
    switch (fault.kind) {
      case 'kill':
        this.#kill();
        return;
      case 'preempt':
        this.#core.abandon(generation, performance.now());
        return;
      case 'silent':
        this.#silenceConnections();
    }
  }
}
