import type {
  EngineCallError,
  EngineCancelOutcome,
  EngineResumeRequest,
  EngineStream,
  EngineStreamClient,
} from '@laburnumgap/engine';
import type {
  AttemptNumber,
  EngineGenerationStatus,
  EngineStartRequest,
  EngineStreamEvent,
  GenerationId,
  Result,
} from '@laburnumgap/kernel';
import { failure, success, toId, toNumberId } from '@laburnumgap/kernel';

/**
 * A fault that occurs when a stream reaches a token. `crossed`: a token of another generation
 * arrives; `freeze`: the engine process stops answering; `silent`: only the stream stops; `stale`: a
 * token of an earlier attempt arrives.
 */
export type StreamFault =
  'crossed' | 'duplicate' | 'freeze' | 'gap' | 'kill' | 'preempt' | 'reset' | 'silent' | 'stale';

/** A fault that occurs once, on the first stream of an engine that reaches the token. */
export interface PlannedFault {
  readonly atIndex: number;
  readonly fault: StreamFault;
}

interface FakeGeneration {
  attempt: number;
  cancelled: boolean;
  readonly maxTokens: number;
  preempted: boolean;
  produced: number;
  readonly seed: number;
}

/** Text of a token, made of its generation, seed and index. */
export function tokenText(generationId: string, seed: number, index: number): string {
  return `${generationId}/${seed}/${index} `;
}

/** A scripted engine in this process. */
export class FakeEngine {
  canContinue = true;
  readonly generations = new Map<string, FakeGeneration>();
  isAlive = true;
  isFrozen = false;
  isLeaving = false;
  /** Tokens already in transit on a stream, which a later attempt cannot stop. */
  readAhead = 0;
  readonly starts: EngineStartRequest[] = [];
  streamsOpened = 0;
  /** Appended to each token text, to make tokens large. */
  textPadding = '';

  constructor(
    readonly url: string,
    readonly faults: PlannedFault[],
  ) {}

  takeFault(index: number): StreamFault | undefined {
    const position = this.faults.findIndex((fault) => fault.atIndex === index);
    if (position < 0) {
      return undefined;
    }
    return this.faults.splice(position, 1)[0]?.fault;
  }
}

class FakeStream implements EngineStream {
  private isClosed = false;
  private closeWaiters: (() => void)[] = [];
  private queuedEvents: EngineStreamEvent[] = [];

  constructor(
    private readonly engine: FakeEngine,
    private readonly generationId: GenerationId,
    private readonly attempt: AttemptNumber,
    private index: number,
    private readonly initialFailure?: EngineStreamEvent,
  ) {}

  close(): void {
    this.isClosed = true;
    for (const waiter of this.closeWaiters.splice(0)) {
      waiter();
    }
  }

  async next(): Promise<EngineStreamEvent> {
    await Promise.resolve();
    if (this.isClosed) {
      return lost('reset');
    }
    if (this.initialFailure) {
      return this.initialFailure;
    }
    const queued = this.queuedEvents.shift();
    if (queued) {
      return queued;
    }
    if (this.engine.isFrozen) {
      return this.waitForClose();
    }
    if (!this.engine.isAlive) {
      return lost('reset');
    }
    const generation = this.engine.generations.get(this.generationId);
    if (!generation || generation.cancelled) {
      return lost('reset');
    }
    if (generation.attempt > this.attempt) {
      return lost('superseded');
    }
    const fault = this.engine.takeFault(this.index);
    if (fault) {
      return this.injectFault(fault, generation);
    }
    return this.produceAhead(generation);
  }

  private produceAhead(generation: FakeGeneration): EngineStreamEvent {
    const event = this.produce(generation);
    while (event.kind === 'token' && this.queuedEvents.length < this.engine.readAhead) {
      this.queuedEvents.push(this.produce(generation));
    }
    return event;
  }

  private produce(generation: FakeGeneration): EngineStreamEvent {
    if (this.index >= generation.maxTokens) {
      const totalTokens = generation.maxTokens;
      return { finishReason: 'length', kind: 'finished', totalTokens };
    }
    const token = this.token(this.index, generation);
    this.index += 1;
    generation.produced = Math.max(generation.produced, this.index);
    return token;
  }

  private injectFault(
    fault: StreamFault,
    generation: FakeGeneration,
  ): EngineStreamEvent | Promise<EngineStreamEvent> {
    switch (fault) {
      case 'crossed': {
        const foreignToken = this.foreignToken(generation);
        this.queuedEvents.push(this.produce(generation));
        return foreignToken;
      }
      case 'duplicate':
        this.queuedEvents.push(this.produce(generation));
        return this.token(Math.max(0, this.index - 2), generation);
      case 'freeze':
        this.engine.isFrozen = true;
        return this.waitForClose();
      case 'gap':
        this.index += 1;
        generation.produced = Math.max(generation.produced, this.index);
        return this.produce(generation);
      case 'kill':
        this.engine.isAlive = false;
        return lost('reset');
      case 'preempt':
        generation.preempted = true;
        return { kind: 'preempted' };
      case 'reset':
        return lost('reset');
      case 'silent':
        generation.produced = Math.min(generation.maxTokens, generation.produced + 2);
        return this.waitForClose();
      case 'stale': {
        const staleToken = this.token(this.index, generation);
        this.queuedEvents.push(this.produce(generation));
        return staleToken.kind === 'token'
          ? { kind: 'token', token: { ...staleToken.token, attempt: toNumberId(0), text: 'late ' } }
          : staleToken;
      }
    }
  }

  private foreignToken(generation: FakeGeneration): EngineStreamEvent {
    const token = this.token(this.index, generation);
    if (token.kind !== 'token') {
      return token;
    }
    const generationId = toId<GenerationId>('of-another-request');
    return { kind: 'token', token: { ...token.token, generationId, text: 'crossed ' } };
  }

  private token(index: number, generation: FakeGeneration): EngineStreamEvent {
    return {
      kind: 'token',
      token: {
        attempt: this.attempt,
        generationId: this.generationId,
        index,
        text: tokenText(this.generationId, generation.seed, index) + this.engine.textPadding,
      },
    };
  }

  private waitForClose(): Promise<EngineStreamEvent> {
    return new Promise((resolve) => {
      this.closeWaiters.push(() => {
        resolve(lost('reset'));
      });
    });
  }
}

/** Engine stream client that calls scripted engines. */
export class FakeEngineClient implements EngineStreamClient {
  readonly cancels: { readonly attempt: number; readonly url: string }[] = [];

  constructor(private readonly engines: ReadonlyMap<string, FakeEngine>) {}

  async cancel(
    url: string,
    generationId: GenerationId,
    attempt: AttemptNumber,
  ): Promise<Result<EngineCancelOutcome, EngineCallError>> {
    await Promise.resolve();
    const generation = this.engines.get(url)?.generations.get(generationId);
    if (generation && generation.attempt > attempt) {
      return success('superseded');
    }
    this.cancels.push({ attempt, url });
    if (generation) {
      generation.cancelled = true;
    }
    return success('cancelled');
  }

  resume(url: string, resume: EngineResumeRequest): EngineStream {
    const engine = this.engineAt(url);
    engine.streamsOpened += 1;
    const { attempt, fromIndex, generationId } = resume;
    const initialFailure = this.resumeFailure(engine, resume);
    return new FakeStream(engine, generationId, attempt, fromIndex, initialFailure);
  }

  start(url: string, start: EngineStartRequest): EngineStream {
    const engine = this.engineAt(url);
    engine.streamsOpened += 1;
    engine.starts.push(start);
    const { attempt, generationId, prefix } = start;
    const initialFailure = this.startFailure(engine, start);
    if (!initialFailure) {
      engine.generations.set(generationId, {
        attempt,
        cancelled: false,
        maxTokens: start.maxTokens,
        preempted: false,
        produced: prefix.length,
        seed: start.seed,
      });
    }
    return new FakeStream(engine, generationId, attempt, prefix.length, initialFailure);
  }

  async status(
    url: string,
    generationId: GenerationId,
  ): Promise<Result<EngineGenerationStatus, EngineCallError>> {
    await Promise.resolve();
    const engine = this.engineAt(url);
    if (!engine.isAlive) {
      return failure({ detail: 'refused', kind: 'engineUnreachable', refused: true });
    }
    if (engine.isFrozen) {
      return failure({ detail: 'timeout', kind: 'engineUnreachable', refused: false });
    }
    const generation = engine.generations.get(generationId);
    if (!generation || generation.cancelled) {
      return success({ attempt: toNumberId(0), producedTokens: 0, state: 'unknown' });
    }
    const attempt = toNumberId<AttemptNumber>(generation.attempt);
    const running = generation.preempted ? 'preempted' : 'running';
    const state = generation.produced >= generation.maxTokens ? 'finished' : running;
    return success({ attempt, producedTokens: generation.produced, state });
  }

  private engineAt(url: string): FakeEngine {
    const engine = this.engines.get(url);
    if (!engine) {
      throw new Error(`no fake engine at ${url}`);
    }
    return engine;
  }

  private resumeFailure(
    engine: FakeEngine,
    resume: EngineResumeRequest,
  ): EngineStreamEvent | undefined {
    if (!engine.isAlive) {
      return lost('connectFailed');
    }
    const generation = engine.generations.get(resume.generationId);
    if (!generation || generation.cancelled) {
      return lost('unknownGeneration');
    }
    if (generation.attempt > resume.attempt) {
      return lost('superseded');
    }
    generation.attempt = resume.attempt;
    return undefined;
  }

  private startFailure(
    engine: FakeEngine,
    start: EngineStartRequest,
  ): EngineStreamEvent | undefined {
    if (!engine.isAlive) {
      return lost('connectFailed');
    }
    const known = engine.generations.get(start.generationId);
    if (known && known.attempt >= start.attempt) {
      return lost('superseded');
    }
    if (start.prefix.length > 0 && !engine.canContinue) {
      return lost('rejected');
    }
    return engine.isLeaving ? lost('rejected', 'leaving') : undefined;
  }
}

function lost(
  reason: Extract<EngineStreamEvent, { kind: 'lost' }>['reason'],
  detail: string = reason,
): EngineStreamEvent {
  return { detail, kind: 'lost', reason };
}
