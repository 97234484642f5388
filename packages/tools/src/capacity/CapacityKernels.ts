import type { AdmissionRequest } from '@laburnumgap/admission';
import { EngineAdmission, LengthModel, RequestHome } from '@laburnumgap/admission';
import { ConfigState, planTopology } from '@laburnumgap/config-sync';
import { CONTRACT_PREFIX } from '@laburnumgap/contracts';
import { toId, toNumberId } from '@laburnumgap/kernel';
import { rankMembers } from '@laburnumgap/dispatch';
import type { QuotaDemand } from '@laburnumgap/quota';
import { createQuotaHome } from '@laburnumgap/quota';
import { stringify } from 'yaml';
import { measureCpuUs, measureHeapBytes } from './CapacityMeasure.js';
import { createContract, createMembers } from './CapacitySynthetic.js';
import { TARGET } from './CapacityTarget.js';

/** CPU time per operation and memory per entry of the decision logic. */
export interface KernelSlopes {
  readonly admissionGenerationUs: number;
  readonly admissionProgressUs: number;
  readonly admissionRunningBytes: number;
  readonly configApplyUs: number;
  readonly configDocumentBytes: number;
  readonly configTopologyUs: number;
  readonly homeRecordBytes: number;
  readonly homeRecordUs: number;
  readonly lengthModelBytes: number;
  readonly memberBytes: number;
  readonly quotaDemandUs: number;
  readonly rankUs: number;
}

const ENGINES = 20;
const RUNNING_PER_ENGINE = 200;
const PROMPT = 'Reconcile the shelf counts of the district. '.repeat(20);

/**
 * Measures the decision logic of each component at the target size.
 *
 * @returns the slopes
 */
export function measureKernels(): KernelSlopes {
  return {
    ...measureAdmission(),
    ...measureConfiguration(),
    ...measureHomes(),
    ...measureMembership(),
    lengthModelBytes: measureLengthModel(),
    quotaDemandUs: measureQuota(),
  };
}

function measureMembership(): Pick<KernelSlopes, 'configTopologyUs' | 'memberBytes' | 'rankUs'> {
  const members = createMembers(TARGET.daemons);
  const schedulers = members.filter(({ role }) => role === 'scheduler');
  const [self] = members;
  return {
    configTopologyUs: measureCpuUs(200, () => {
      if (self) {
        planTopology({ members, self });
      }
    }),
    memberBytes: measureHeapBytes(TARGET.daemons, () => createMembers(TARGET.daemons)),
    rankUs: measureCpuUs(5_000, (n) => {
      rankMembers(schedulers, `engine/${n}`);
    }),
  };
}

function measureConfiguration(): Pick<KernelSlopes, 'configApplyUs' | 'configDocumentBytes'> {
  const change = (n: number) => ({
    key: `${CONTRACT_PREFIX}team-${n % TARGET.concurrentTeams}`,
    modRevision: toNumberId<never>(n + 1),
    value: stringify(createContract(`team-${n % TARGET.concurrentTeams}`)),
  });
  const fill = (): ConfigState => {
    const state = new ConfigState();
    state.apply(Array.from({ length: TARGET.concurrentTeams }, (_, n) => change(n)));
    return state;
  };
  const fullState = fill();
  return {
    configApplyUs: measureCpuUs(200, (n) => {
      fullState.apply([change(TARGET.concurrentTeams + n)]);
    }),
    configDocumentBytes: measureHeapBytes(TARGET.concurrentTeams, fill),
  };
}

function requestOf(n: number): AdmissionRequest {
  return {
    attempt: toNumberId(1),
    generationId: toId(`generation-${n}`),
    maxTokens: 4_000,
    model: toId('model-1'),
    preemptions: 0,
    priorityClass: 1,
    producedTokens: 0,
    promptTokens: 220,
    requestId: toId(`request-${n}`),
    reservationId: toId(`reservation-${n}`),
    teamId: toId(`team-${n % TARGET.concurrentTeams}`),
    waitBoundMs: 20_000,
    weight: 1,
  };
}

function createAdmission(): EngineAdmission {
  const admission = new EngineAdmission({
    lengths: new LengthModel(),
    random: { nextUnit: () => 0.5 },
    startedMs: 0,
  });
  admission.handle(
    {
      kind: 'loadReported',
      load: {
        ageMs: 0,
        kvTokensCapacity: 2_000_000,
        kvTokensUsed: 0,
        leaving: false,
        maxRunning: 1_000,
        preemptions: 0,
        queuedGenerations: 0,
        runningGenerations: 0,
      },
    },
    0,
  );
  return admission;
}

/** Time of the measured events, long after the start at 0, so that no rebuilding of state is measured. */
const PAST_STARTUP_MS = 600_000;

function measureAdmission(): Pick<
  KernelSlopes,
  'admissionGenerationUs' | 'admissionProgressUs' | 'admissionRunningBytes'
> {
  const startRunning = (): EngineAdmission => {
    const admission = createAdmission();
    for (let n = 0; n < RUNNING_PER_ENGINE; n += 1) {
      admission.handle({ kind: 'arrived', request: requestOf(-1 - n) }, PAST_STARTUP_MS);
    }
    return admission;
  };
  const admission = startRunning();
  const generationUs = measureCpuUs(1_000, (n) => {
    const request = requestOf(n);
    admission.handle({ kind: 'arrived', request }, PAST_STARTUP_MS + n);
    admission.handle({ kind: 'ended', reservationId: request.reservationId }, PAST_STARTUP_MS + n);
  });
  const progressUs = measureCpuUs(5_000, (n) => {
    const progress = {
      attempt: toNumberId<never>(1),
      enginePreempted: false,
      finished: false,
      generationId: toId<never>(`generation-${-1 - (n % RUNNING_PER_ENGINE)}`),
      producedTokens: Math.floor(n / RUNNING_PER_ENGINE),
    };
    admission.handle({ kind: 'progressed', progress }, PAST_STARTUP_MS + 100_000 + n);
  });
  return {
    admissionGenerationUs: generationUs,
    admissionProgressUs: progressUs,
    admissionRunningBytes: measureHeapBytes(RUNNING_PER_ENGINE * ENGINES, () =>
      Array.from({ length: ENGINES }, startRunning),
    ),
  };
}

function measureLengthModel(): number {
  const model = new LengthModel();
  for (let team = 0; team < TARGET.concurrentTeams; team += 1) {
    for (let index = 0; index < TARGET.models; index += 1) {
      model.observe(
        {
          maxTokens: 4_000,
          model: toId(`model-${index}`),
          promptTokens: 400,
          teamId: toId(`team-${team}`),
        },
        100 + team,
      );
    }
  }
  return model.slabBytes();
}

function measureHomes(): Pick<KernelSlopes, 'homeRecordBytes' | 'homeRecordUs'> {
  const home = new RequestHome();
  const record = (to: RequestHome, n: number): void => {
    to.record(
      {
        attempt: toNumberId(1),
        bodyHash: 'b'.repeat(64),
        deliveredIndex: -1,
        engineId: toId('engine-1'),
        engineUrl: 'http://10.0.0.1:8000',
        generationId: toId(`generation-${n}`),
        maxTokens: 4_000,
        model: toId('model-1'),
        prompt: `${n} ${PROMPT}`,
        requestId: toId(`request-${n}`),
        routerId: toId('router-1'),
        seed: n,
        streamed: true,
        teamId: toId('team-1'),
      },
      0,
    );
  };
  const entries = 5_000;
  return {
    homeRecordBytes: measureHeapBytes(entries, () => {
      const filled = new RequestHome();
      for (let n = 0; n < entries; n += 1) {
        record(filled, n);
      }
      return filled;
    }),
    homeRecordUs: measureCpuUs(5_000, (n) => {
      record(home, n);
    }),
  };
}

function measureQuota(): number {
  const contract = { limits: createContract('team').limits, revision: toNumberId<never>(1) };
  const home = createQuotaHome({
    contractOf: () => contract,
    liveRouters: () => TARGET.entryVms,
    startedAtMs: 0,
  });
  const demand = (team: number): QuotaDemand => ({
    heldRequestsPerSecond: 1,
    heldRunningRequests: 1,
    heldTokensPerSecond: 100,
    inFlightRequests: 1,
    requestsPerSecond: 1,
    runningRequests: 1,
    teamId: toId(`team-${team}`),
    tokensPerSecond: 100,
    usedRequests: 1,
    usedTokens: 100,
  });
  const teamsPerScheduler = Math.ceil(TARGET.concurrentTeams / TARGET.entryVms);
  return measureCpuUs(20_000, (n) => {
    const router = `router-${n % TARGET.entryVms}`;
    home.acquire(router, [demand(n % teamsPerScheduler)], 100_000 + n / 10);
  });
}
