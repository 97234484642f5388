import type { Contract } from '@laburnumgap/contracts';
import type { ContinuationPolicy } from '@laburnumgap/generation';
import { PrefixContinuationPolicy } from '@laburnumgap/generation';
import type {
  FailureDomainId,
  FinishReason,
  GenerationId,
  KnownServer,
  ModelId,
  PoolId,
  Refusal,
  RegionId,
  RequestId,
  ServerDirectory,
  ServerId,
  TeamId,
} from '@laburnumgap/kernel';
import { NO_DECISION_SINK, toId } from '@laburnumgap/kernel';
import { RouteChooser } from '@laburnumgap/routing';
import { NO_METRICS } from '@laburnumgap/telemetry';
import type { CallerSink } from '../../RouterCallerSink.js';
import type { CompletionRequest } from '../../RouterCompletionRequest.js';
import { takeOverEarlierRun } from '../../RouterEarlierRuns.js';
import { RouterEngineHealth } from '../../RouterEngineHealth.js';
import { RouterGenerationRun } from '../../RouterGenerationRun.js';
import { RouterPlacement } from '../../RouterPlacement.js';
import { RouterProgressReporter } from '../../RouterProgressReporter.js';
import { UNLIMITED_QUOTA } from '../../RouterQuota.js';
import { RouterRunRegistry } from '../../RouterRunRegistry.js';
import type { RunServices } from '../../RouterRunTypes.js';
import type { PlannedFault } from './FakeEngines.js';
import { FakeEngine, FakeEngineClient } from './FakeEngines.js';
import { FakeAdmission, FakeHomes } from './FakeSchedulers.js';
import { FakeTimers } from './FakeTimers.js';

export const TEAM = toId<TeamId>('stock');
export const MAX_TOKENS = 12;

export const CONTRACT: Contract = {
  customer: 'hoa-sen',
  keys: [],
  limits: { concurrentRequests: 10, requestsPerSecond: 10, tokensPerSecond: 1000 },
  models: [{ maxTokens: 100, name: 'drafts' }],
  reconnectGraceMs: 10_000,
  scheduling: { class: 'standard', weight: 1 },
  services: [],
  team: TEAM,
  waitBoundMs: 20_000,
};

/** Collects what one connection of a caller received. */
export class FakeSink implements CallerSink {
  abandoned = false;
  end: { finishReason: FinishReason; totalTokens: number } | undefined;
  refusal: Refusal | undefined;
  readonly tokens: { readonly index: number; readonly text: string }[] = [];
  private gone = false;
  private goneListener: (() => void) | undefined;
  private thaw: (() => void) | undefined;

  constructor(
    private readonly behaviour: {
      /** The whole process stands still, so that nothing but `wake` ends a delivery. */
      readonly frozen?: boolean;
      /** The caller goes away after so many tokens. */
      readonly goneAfter?: number;
      /** Delivery stops after so many tokens, until `wake`. */
      readonly stuckAfter?: number;
    } = {},
  ) {}

  disconnect(): void {
    this.abandoned = true;
  }

  deliver(index: number, text: string): Promise<void> | undefined {
    if (this.gone) {
      return undefined;
    }
    this.tokens.push({ index, text });
    if (this.tokens.length === this.behaviour.goneAfter) {
      this.leave();
    }
    if (this.tokens.length === this.behaviour.stuckAfter) {
      return new Promise((resolve) => {
        this.thaw = resolve;
      });
    }
    return undefined;
  }

  fail(refusal: Refusal): void {
    this.refusal = refusal;
  }

  finish(finishReason: FinishReason, totalTokens: number): void {
    this.end = { finishReason, totalTokens };
  }

  interruptDelivery(): void {
    if (this.behaviour.frozen !== true) {
      this.thaw?.();
    }
  }

  isDisconnected(): boolean {
    return this.gone;
  }

  leave(): void {
    this.gone = true;
    this.goneListener?.();
  }

  onDisconnect(listener: () => void): void {
    this.goneListener = listener;
  }

  wake(): void {
    this.thaw?.();
  }
}

/** Options of a world. */
export interface FakeWorldOptions {
  /** Faults by engine. */
  readonly faults?: readonly (readonly PlannedFault[])[];
  readonly policy?: ContinuationPolicy;
}

/** Engines, schedulers, homes and routers in this process, under one clock. */
export class FakeWorld {
  readonly admission: FakeAdmission;
  readonly client: FakeEngineClient;
  readonly engines: readonly FakeEngine[];
  readonly homes = new FakeHomes();
  /** Engines that a router has seen to leave. */
  readonly notedLeaving: ServerId[] = [];
  readonly timers = new FakeTimers();
  private readonly policy: ContinuationPolicy;
  readonly servers: ServerDirectory;

  constructor(options: FakeWorldOptions = {}) {
    const faults = options.faults ?? [];
    this.engines = [0, 1, 2].map(
      (number) => new FakeEngine(`engine-${number}`, [...(faults[number] ?? [])]),
    );
    this.policy = options.policy ?? new PrefixContinuationPolicy();
    this.client = new FakeEngineClient(new Map(this.engines.map((engine) => [engine.url, engine])));
    this.admission = new FakeAdmission((engineId) => engineId);
    this.servers = {
      noteLeaving: (serverId) => {
        this.notedLeaving.push(serverId);
      },
      onChange: () => () => undefined,
      servers: () => this.engines.map((engine, number) => serverOf(engine, number)),
    };
  }

  /** Adds a router of its own memory; homes, schedulers and engines are shared. */
  router(routerId: string): FakeRouter {
    const { admission, timers } = this;
    const health = new RouterEngineHealth(timers);
    const services: RunServices = {
      clock: timers,
      decisions: NO_DECISION_SINK,
      engines: this.client,
      health,
      requestHomes: this.homes.portOf(routerId),
      isDraining: () => false,
      metrics: NO_METRICS,
      placement: new RouterPlacement({
        admission,
        chooser: new RouteChooser({ random: { nextUnit: () => 0 } }),
        clock: timers,
        decisions: NO_DECISION_SINK,
        health,
        pools: [{ models: ['drafts'], name: 'drafts' }],
        servers: this.servers,
        timers,
      }),
      policy: this.policy,
      progressReporter: new RouterProgressReporter(admission, timers),
      timers,
    };
    return new FakeRouter(services, routerId);
  }
}

/** One connection of a caller. */
export interface FakeRequest {
  readonly bodyHash?: string;
  readonly lastEventId?: number;
  readonly requestId?: string;
  readonly sink: FakeSink;
  readonly stream?: boolean;
  readonly teamId?: TeamId;
}

/** A router without its HTTP side. */
export class FakeRouter {
  readonly registry = new RouterRunRegistry();

  constructor(
    readonly services: RunServices,
    private readonly routerId: string,
  ) {}

  /** Serves a connection to its end. */
  async serve(request: FakeRequest): Promise<void> {
    const { lastEventId, sink, stream = true, teamId = TEAM } = request;
    const requestId = toId<RequestId>(request.requestId ?? 'request-1');
    const completion: CompletionRequest = {
      bodyHash: request.bodyHash ?? 'body',
      maxTokens: MAX_TOKENS,
      model: toId<ModelId>('drafts'),
      prompt: 'count the shelves of shop 7',
      stream,
    };
    const { bodyHash } = completion;
    const { requestHomes } = this.services;
    const { registry } = this;
    const isResume = lastEventId !== undefined;
    const query = { bodyHash, isResume, registry, requestHomes, requestId, teamId };
    const from = await takeOverEarlierRun(query);
    if (!from.ok) {
      sink.fail(from.error);
      return;
    }
    const hold = UNLIMITED_QUOTA.tryAdmit(CONTRACT, 0);
    if (!hold.ok) {
      return;
    }
    const run = new RouterGenerationRun({
      completion,
      contract: { ...CONTRACT, team: teamId },
      firstWantedIndex: isResume ? lastEventId + 1 : 0,
      earlierRun: from.value,
      generationId: from.value?.generationId ?? this.freshId(requestId),
      quotaGrant: hold.value,
      requestId,
      seed: from.value?.seed ?? 5,
      services: this.services,
      sink,
    });
    await registry.registerAndRun(teamId, requestId, { bodyHash, run });
  }

  private freshId(requestId: RequestId): GenerationId {
    const suffix = this.routerId === 'a' ? '' : `-at-${this.routerId}`;
    return toId(`generation-of-${requestId}${suffix}`);
  }
}

function serverOf(engine: FakeEngine, number: number): KnownServer {
  return {
    address: engine.url,
    backend: { kind: 'model', pool: toId<PoolId>('drafts') },
    failureDomain: toId<FailureDomainId>(`domain-${number}`),
    leaving: false,
    region: toId<RegionId>('region'),
    serverId: toId<ServerId>(engine.url),
    state: 'live',
  };
}
