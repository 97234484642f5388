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

/** Collects what a caller received on one connection. */
export class FakeSink implements CallerSink {
  private disconnectListener: (() => void) | undefined;
  finished: { finishReason: FinishReason; totalTokens: number } | undefined;
  private isCallerGone = false;
  refusal: Refusal | undefined;
  private resolveDelivery: (() => void) | undefined;
  readonly tokens: { readonly index: number; readonly text: string }[] = [];
  closedByRouter = false;

  constructor(
    private readonly behaviour: {
      /** Number of tokens after which delivery blocks until `unblock`. */
      readonly blockAfterTokens?: number;
      /** Number of tokens after which the caller disconnects. */
      readonly disconnectAfterTokens?: number;
      /** The whole process is frozen, so that only `unblock` ends a delivery. */
      readonly isProcessFrozen?: boolean;
    } = {},
  ) {}

  disconnect(): void {
    this.closedByRouter = true;
  }

  deliver(index: number, text: string): Promise<void> | undefined {
    if (this.isCallerGone) {
      return undefined;
    }
    this.tokens.push({ index, text });
    if (this.tokens.length === this.behaviour.disconnectAfterTokens) {
      this.simulateCallerDisconnect();
    }
    if (this.tokens.length === this.behaviour.blockAfterTokens) {
      return new Promise((resolve) => {
        this.resolveDelivery = resolve;
      });
    }
    return undefined;
  }

  fail(refusal: Refusal): void {
    this.refusal = refusal;
  }

  finish(finishReason: FinishReason, totalTokens: number): void {
    this.finished = { finishReason, totalTokens };
  }

  interruptDelivery(): void {
    if (this.behaviour.isProcessFrozen !== true) {
      this.resolveDelivery?.();
    }
  }

  isDisconnected(): boolean {
    return this.isCallerGone;
  }

  simulateCallerDisconnect(): void {
    this.isCallerGone = true;
    this.disconnectListener?.();
  }

  onDisconnect(listener: () => void): void {
    this.disconnectListener = listener;
  }

  unblock(): void {
    this.resolveDelivery?.();
  }
}

/** Options of a {@link FakeCluster}. */
export interface FakeClusterOptions {
  /** Faults by engine. */
  readonly faults?: readonly (readonly PlannedFault[])[];
  readonly policy?: ContinuationPolicy;
}

/** Engines, schedulers, homes and routers in this process, with one clock. */
export class FakeCluster {
  readonly admission: FakeAdmission;
  readonly client: FakeEngineClient;
  readonly engines: readonly FakeEngine[];
  /** Engines that a router has marked as leaving. */
  readonly enginesNotedLeaving: ServerId[] = [];
  private readonly policy: ContinuationPolicy;
  readonly requestHomes = new FakeHomes();
  readonly servers: ServerDirectory;
  readonly timers = new FakeTimers();

  constructor(options: FakeClusterOptions = {}) {
    const faults = options.faults ?? [];
    this.engines = [0, 1, 2].map(
      (number) => new FakeEngine(`engine-${number}`, [...(faults[number] ?? [])]),
    );
    this.policy = options.policy ?? new PrefixContinuationPolicy();
    this.client = new FakeEngineClient(new Map(this.engines.map((engine) => [engine.url, engine])));
    this.admission = new FakeAdmission((engineId) => engineId);
    this.servers = {
      markLeaving: (serverId) => {
        this.enginesNotedLeaving.push(serverId);
      },
      onChange: () => () => undefined,
      servers: () => this.engines.map((engine, number) => toKnownServer(engine, number)),
    };
  }

  /** Adds a router; homes, schedulers and engines are shared between routers. */
  router(routerId: string): FakeRouter {
    const { admission, timers } = this;
    const health = new RouterEngineHealth(timers);
    const services: RunServices = {
      clock: timers,
      decisions: NO_DECISION_SINK,
      engines: this.client,
      health,
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
      requestHomes: this.requestHomes.portOf(routerId),
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
    const earlierRun = await takeOverEarlierRun(query);
    if (!earlierRun.ok) {
      sink.fail(earlierRun.error);
      return;
    }
    const quotaGrant = UNLIMITED_QUOTA.tryAdmit(CONTRACT, 0);
    if (!quotaGrant.ok) {
      return;
    }
    const run = new RouterGenerationRun({
      completion,
      contract: { ...CONTRACT, team: teamId },
      earlierRun: earlierRun.value,
      resumeFromIndex: isResume ? lastEventId + 1 : 0,
      generationId: earlierRun.value?.generationId ?? this.createGenerationId(requestId),
      quotaGrant: quotaGrant.value,
      requestId,
      seed: earlierRun.value?.seed ?? 5,
      services: this.services,
      sink,
    });
    await registry.registerAndRun(teamId, requestId, { bodyHash, run });
  }

  private createGenerationId(requestId: RequestId): GenerationId {
    const suffix = this.routerId === 'a' ? '' : `-at-${this.routerId}`;
    return toId(`generation-of-${requestId}${suffix}`);
  }
}

function toKnownServer(engine: FakeEngine, number: number): KnownServer {
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
