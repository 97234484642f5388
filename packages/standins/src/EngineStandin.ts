import { ORDER_STATUS, parseJson, refuse } from './EngineStandinAnswers.js';
import type { EngineStandinCoreOptions } from './EngineStandinCore.js';
import { EngineStandinCore } from './EngineStandinCore.js';
import type { StandinGeneration } from './EngineStandinGeneration.js';
import { EngineStandinLoadReports } from './EngineStandinLoadReports.js';
import type { EngineStandinOrdersOptions } from './EngineStandinOrders.js';
import { EngineStandinOrders } from './EngineStandinOrders.js';
import { orderSchema, startSchema } from './EngineStandinSchema.js';
import { streamGeneration } from './EngineStandinStream.js';
import type { TriggeredFault } from './EngineStandinTriggers.js';
import { EngineStandinTriggers } from './EngineStandinTriggers.js';
import type { Fault } from './StandinFaults.js';
import { FaultSwitches } from './StandinFaults.js';
import type { StandinAnswer, StandinRequest, StandinServer } from './StandinServer.js';
import { startStandinServer, whole } from './StandinServer.js';

/** Options of {@link startEngineStandin}. */
export interface EngineStandinOptions extends EngineStandinCoreOptions, EngineStandinOrdersOptions {
  readonly canContinueFromPrefix?: boolean;
  /** Time of a decoding step with one running generation. */
  readonly decodeIntervalMs?: number;
  /** Share of the decoding step that each further running generation adds. */
  readonly decodeSlowdown?: number;
  readonly kill?: () => void;
  readonly listen: string;
}

const DEFAULT_DECODE_INTERVAL_MS = 20;
const DEFAULT_DECODE_SLOWDOWN = 0.02;
const LOAD_SAMPLE_INTERVAL_MS = 50;
const GENERATION_PATH = /^\/v1\/generations\/([^/]+)(\/stream)?$/;

/**
 * Starts a stand-in of a model engine.
 *
 * @param options - address, sizes and abilities
 * @returns the running stand-in
 * @throws when the address cannot be bound
 */
export async function startEngineStandin(options: EngineStandinOptions): Promise<StandinServer> {
  const faults = new FaultSwitches();
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
  const silence = (): void => {
    server.silence();
  };
  engine.run(kill, silence);
  return {
    address: server.address,
    close: async () => {
      engine.stop();
      await server.close();
    },
    faults,
    kill,
    silence,
    url: server.url,
  };
}

class EngineStandinService {
  readonly #core: EngineStandinCore;
  readonly #faults: FaultSwitches;
  readonly #loads: EngineStandinLoadReports;
  readonly #options: EngineStandinOptions;
  readonly #orders: EngineStandinOrders;
  readonly #triggers = new EngineStandinTriggers();
  #kill: () => void = () => undefined;
  #silence: () => void = () => undefined;
  #stepTimer: NodeJS.Timeout | undefined;
  #sampleTimer: NodeJS.Timeout | undefined;

  constructor(options: EngineStandinOptions, faults: FaultSwitches) {
    this.#core = new EngineStandinCore(options);
    this.#faults = faults;
    this.#options = options;
    this.#loads = new EngineStandinLoadReports(this.#core);
    this.#orders = new EngineStandinOrders(options);
  }

  run(kill: () => void, silence: () => void): void {
    this.#kill = kill;
    this.#silence = silence;
    this.#scheduleStep();
    this.#sampleTimer = setInterval(() => {
      this.#loads.sample(performance.now());
    }, LOAD_SAMPLE_INTERVAL_MS);
    this.#sampleTimer.unref();
  }

  stop(): void {
    clearTimeout(this.#stepTimer);
    clearInterval(this.#sampleTimer);
  }

  handle(request: StandinRequest): Promise<StandinAnswer> | StandinAnswer {
    const generation = GENERATION_PATH.exec(request.path);
    if (generation) {
      return this.#handleGeneration(request, generation[1] ?? '', generation[2] !== undefined);
    }
    switch (`${request.method} ${request.path}`) {
      case 'GET /v1/cache-events':
        return this.#cacheEvents(request);
      case 'GET /v1/load':
        return whole(200, this.#loads.report(performance.now(), this.#faults.lagMs));
      case 'GET /v1/state':
        return whole(200, this.#stateReport());
      case 'POST /v1/generations':
        return this.#start(request);
      case 'POST /v1/orders':
        return this.#order(request);
      default:
        return whole(404, { error: 'unknownPath' });
    }
  }

  control(request: StandinRequest): StandinAnswer | undefined {
    switch (request.path) {
      case '/control/generations':
        return whole(200, this.#generationReport());
      case '/control/orders':
        return whole(200, { orders: this.#orders.inForce });
      default:
        return undefined;
    }
  }

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
      this.#core.generations.get(id)?.notify();
      return cancelled ? whole(204) : refuse('superseded');
    }
    if (!isStream) {
      return whole(200, this.#generationStatus(id));
    }
    const generation = this.#core.resume(id, attempt);
    if (typeof generation === 'string') {
      return refuse(generation);
    }
    return this.#stream(generation, attempt, Number(request.query.get('from') ?? 0));
  }

  #start(request: StandinRequest): StandinAnswer {
    const body = startSchema.safeParse(parseJson(request.body));
    if (!body.success) {
      return whole(400, { error: body.error.issues[0]?.message ?? 'malformed' });
    }
    const start = body.data;
    if (!this.#orders.state.models.includes(start.model)) {
      return refuse('unknownModel');
    }
    if (start.prefix.length > 0 && this.#options.canContinueFromPrefix === false) {
      return refuse('cannotContinue');
    }
    const generation = this.#core.start(start, performance.now());
    if (typeof generation === 'string') {
      return refuse(generation);
    }
    return this.#stream(generation, start.attempt, start.prefix.length);
  }

  #stream(generation: StandinGeneration, attempt: number, from: number): StandinAnswer {
    return {
      contentType: 'text/event-stream',
      kind: 'stream',
      start: (stream) => {
        streamGeneration(generation, stream, {
          attempt,
          from,
          isFrozen: () => this.#faults.frozen,
        });
      },
    };
  }

  async #order(request: StandinRequest): Promise<StandinAnswer> {
    const body = orderSchema.safeParse(parseJson(request.body));
    if (!body.success) {
      return whole(400, { error: body.error.issues[0]?.message ?? 'malformed' });
    }
    const outcome = await this.#orders.carryOut(body.data);
    const json = outcome === 'inForce' ? this.#stateReport() : { error: outcome };
    return whole(ORDER_STATUS[outcome], json);
  }

  #cacheEvents(request: StandinRequest): StandinAnswer {
    const after = Number(request.query.get('after') ?? 0);
    const publishedBeforeMs = performance.now() - this.#faults.lagMs;
    const gap = this.#faults.gapEveryNth;
    return whole(200, this.#core.prefixCache.eventsAfter(after, publishedBeforeMs, gap));
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
    const { attempt, state, texts } = generation;
    return { attempt, producedTokens: texts.length, state };
  }

  #generationReport(): object {
    const generations = [...this.#core.generations.keys()].map((generationId) => ({
      generationId,
      ...this.#generationStatus(generationId),
    }));
    return { generations };
  }

  #scheduleStep(): void {
    const base = this.#options.decodeIntervalMs ?? DEFAULT_DECODE_INTERVAL_MS;
    const slowdown = this.#options.decodeSlowdown ?? DEFAULT_DECODE_SLOWDOWN;
    const others = Math.max(0, this.#core.runningCount - 1);
    const intervalMs = base * (1 + slowdown * others);
    this.#stepTimer = setTimeout(() => {
      this.#step();
      this.#scheduleStep();
    }, intervalMs);
  }

  #step(): void {
    if (this.#faults.frozen || this.#core.idle) {
      return;
    }
    const produced = this.#core.step(performance.now());
    for (const generation of produced) {
      generation.notify();
    }
    this.#triggers.fire(produced, (fault, generation) => {
      this.#fire(fault, generation);
    });
  }

  #fire(trigger: TriggeredFault, generation: StandinGeneration): void {
    switch (trigger.kind) {
      case 'kill':
        this.#kill();
        return;
      case 'preempt':
        this.#core.giveUp(generation, performance.now());
        return;
      case 'silent':
        this.#silence();
    }
  }
}
