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

/** Dependencies shared by all generation runs of a router. */
export interface RunServices {
  readonly clock: MonotonicClock;
  readonly decisions: DecisionSink;
  readonly engines: EngineStreamClient;
  readonly health: RouterEngineHealth;
  /** Whether the router shuts down; it then leaves generations without a caller to other routers. */
  readonly isDraining: () => boolean;
  readonly metrics: Metrics;
  readonly placement: RouterPlacement;
  readonly policy: ContinuationPolicy;
  readonly progressReporter: RouterProgressReporter;
  readonly requestHomes: RequestHomesPort;
  readonly timers: Timers;
}

/** An engine and its address. */
export interface EngineLocation {
  readonly engineId: EngineId;
  readonly url: string;
}

/** State of a generation that one run hands over to the next. */
export interface HandedOverRun {
  readonly attempt: AttemptNumber;
  /** Engine of the attempt; undefined if none was started. */
  readonly engine?: EngineLocation;
  readonly generationId: GenerationId;
  readonly knownTexts: readonly string[];
  readonly reservation?: GrantedReservation;
  readonly seed: number;
}

/** Options of a generation run. */
export interface GenerationRunOptions {
  readonly completion: CompletionRequest;
  readonly contract: Contract;
  /** State of an earlier run of the same request; the run continues its attempt. */
  readonly earlierRun?: HandedOverRun;
  readonly resumeFromIndex: number;
  readonly generationId: GenerationId;
  readonly quotaGrant: QuotaGrant;
  readonly requestId: RequestId;
  readonly seed: number;
  readonly services: RunServices;
  readonly sink: CallerSink;
}
