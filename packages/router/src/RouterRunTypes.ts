import type { Contract } from '@laburnumgap/contracts';
import type { EngineStreamClient } from '@laburnumgap/engine';
import type { ContinuationPolicy } from '@laburnumgap/generation';
import type {
  AttemptNumber,
  DecisionSink,
  EngineId,
  GenerationId,
  MonotonicClock,
  RequestId,
} from '@laburnumgap/kernel';
import type { Metrics } from '@laburnumgap/telemetry';
import type { GrantedReservation } from './RouterAdmissionWait.js';
import type { CallerSink } from './RouterCallerSink.js';
import type { CompletionRequest } from './RouterCompletionRequest.js';
import type { RouterEngineHealth } from './RouterEngineHealth.js';
import type { RouterPlacement } from './RouterPlacement.js';
import type { RequestHomesPort } from './RouterPorts.js';
import type { RouterProgressReporter } from './RouterProgressReporter.js';
import type { QuotaGrant } from './RouterQuota.js';
import type { Timers } from './RouterTimers.js';

/** What all generations of a router are run with. */
export interface RunServices {
  readonly clock: MonotonicClock;
  readonly decisions: DecisionSink;
  readonly engines: EngineStreamClient;
  readonly health: RouterEngineHealth;
  readonly requestHomes: RequestHomesPort;
  /** Whether the router shuts down; generations of absent callers are then left to others. */
  readonly isDraining: () => boolean;
  readonly metrics: Metrics;
  readonly placement: RouterPlacement;
  readonly policy: ContinuationPolicy;
  readonly progressReporter: RouterProgressReporter;
  readonly timers: Timers;
}

/** An engine with its address. */
export interface EngineLocation {
  readonly engineId: EngineId;
  readonly url: string;
}

/** A generation's state as one run hands it to the next. */
export interface HandedOverRun {
  readonly attempt: AttemptNumber;
  /** The engine that runs it, if it was started. */
  readonly engine?: EngineLocation;
  readonly generationId: GenerationId;
  readonly knownTexts: readonly string[];
  readonly reservation?: GrantedReservation;
  readonly seed: number;
}

/** Options of a run. */
export interface GenerationRunOptions {
  readonly completion: CompletionRequest;
  readonly contract: Contract;
  readonly firstWantedIndex: number;
  /** What an earlier run of the same request left; its attempt is the one to go on with. */
  readonly earlierRun?: HandedOverRun;
  readonly generationId: GenerationId;
  readonly quotaGrant: QuotaGrant;
  readonly requestId: RequestId;
  readonly seed: number;
  readonly services: RunServices;
  readonly sink: CallerSink;
}
