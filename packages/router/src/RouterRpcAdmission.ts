import type { Member, MemberDirectory, MemberId, ResultCodeName } from '@laburnumgap/kernel';
import { RESULT_CODES, refusal, toId } from '@laburnumgap/kernel';
import type { RouteEstimate } from '@laburnumgap/routing';
import type {
  AdmitEvent__Output,
  EstimateReply__Output,
  EstimateRequest,
  GenerationProgress,
  RpcClients,
  RpcError,
} from '@laburnumgap/rpc';
import { ESTIMATE_DEADLINE_MS, NO_ENGINE_RETRY_MS, RPC_DEADLINE_MS } from './RouterConstants.js';
import type {
  AdmissionEvent,
  AdmissionPort,
  AdmissionRequest,
  EstimateQuery,
  ProgressReport,
  Reservation,
} from './RouterPorts.js';
import { isUnreachable } from './RouterRpcUtils.js';

/** Options of an {@link RpcAdmission}. */
export interface RpcAdmissionOptions {
  readonly clients: RpcClients;
  readonly directory: MemberDirectory;
  readonly estimateDeadlineMs?: number;
  readonly routerId: MemberId;
}

/** Calls the schedulers that own engines: for each engine the first in rank for its id. */
export class RpcAdmission implements AdmissionPort {
  private readonly clients: RpcClients;
  private readonly directory: MemberDirectory;
  private readonly estimateDeadlineMs: number;
  private readonly routerId: MemberId;

  constructor(options: RpcAdmissionOptions) {
    this.clients = options.clients;
    this.directory = options.directory;
    this.estimateDeadlineMs = options.estimateDeadlineMs ?? ESTIMATE_DEADLINE_MS;
    this.routerId = options.routerId;
  }

  admit(request: AdmissionRequest, onEvent: (event: AdmissionEvent) => void): Reservation {
    const owner = this.ownerOf(request.engineId);
    if (!owner) {
      queueMicrotask(() => {
        onEvent({ detail: 'no scheduler is known', kind: 'lost' });
      });
      return { release: () => undefined };
    }
    const { model, ...fields } = request;
    const client = this.clients.get('Admission', owner.rpcAddress);
    const message = {
      ...fields,
      modelId: model,
      prefixHashes: [...request.prefixHashes],
      routerId: this.routerId,
    };
    const call = client.admit(message, this.clients.metadata());
    let isOpen = true;
    const reportLost = (detail: string): void => {
      if (!isOpen) {
        return;
      }
      isOpen = false;
      this.directory.suspect(owner.memberId);
      onEvent({ detail, kind: 'lost' });
    };
    call.on('data', (event: AdmitEvent__Output) => {
      const admissionEvent = toAdmissionEvent(event);
      if (isOpen && admissionEvent) {
        isOpen = admissionEvent.kind !== 'refused';
        onEvent(admissionEvent);
      }
    });
    call.on('error', (error) => {
      reportLost(error.message);
    });
    call.on('end', () => {
      reportLost('the scheduler ended the reservation');
    });
    return {
      release: () => {
        isOpen = false;
        call.cancel();
      },
    };
  }

  async estimate(query: EstimateQuery): Promise<readonly RouteEstimate[]> {
    const enginesByOwner = new Map<Member, string[]>();
    for (const engineId of query.engineIds) {
      const owner = this.ownerOf(engineId);
      if (owner) {
        enginesByOwner.set(owner, [...(enginesByOwner.get(owner) ?? []), engineId]);
      }
    }
    const pendingEstimates = [...enginesByOwner].map(([owner, engineIds]) =>
      this.estimateFrom(owner, engineIds, query),
    );
    return (await Promise.all(pendingEstimates)).flat();
  }

  reportProgress(reports: readonly ProgressReport[]): void {
    const progressByEngine = new Map<string, GenerationProgress[]>();
    for (const report of reports) {
      appendTo(progressByEngine, report.engineId, report);
    }
    const progressByOwner = new Map<Member, GenerationProgress[]>();
    for (const [engineId, progress] of progressByEngine) {
      const owner = this.ownerOf(engineId);
      if (owner) {
        progressByOwner.set(owner, [...(progressByOwner.get(owner) ?? []), ...progress]);
      }
    }
    for (const [owner, progress] of progressByOwner) {
      void this.sendProgress(owner, progress);
    }
  }

  private async estimateFrom(
    owner: Member,
    engineIds: string[],
    query: EstimateQuery,
  ): Promise<readonly RouteEstimate[]> {
    const client = this.clients.get('Admission', owner.rpcAddress);
    const reply = await this.clients.unary<EstimateRequest, EstimateReply__Output>(
      client.estimate.bind(client),
      {
        engineIds,
        maxTokens: query.maxTokens,
        modelId: query.model,
        prefixHashes: [...query.prefixHashes],
        promptTokens: query.promptTokens,
        teamId: query.teamId,
      },
      this.estimateDeadlineMs,
    );
    if (!reply.ok) {
      this.suspectIfUnreachable(owner, reply.error);
      return [];
    }
    return reply.value.estimates.map((estimate) => ({
      ...estimate,
      engineId: toId(estimate.engineId),
    }));
  }

  private suspectIfUnreachable(owner: Member, error: RpcError): void {
    if (isUnreachable(error)) {
      this.directory.suspect(owner.memberId);
    }
  }

  private ownerOf(engineId: string): Member | undefined {
    return this.directory.rank('scheduler', `engine/${engineId}`)[0];
  }

  private async sendProgress(owner: Member, progress: GenerationProgress[]): Promise<void> {
    const client = this.clients.get('Admission', owner.rpcAddress);
    const reply = await this.clients.unary(
      client.reportProgress.bind(client),
      { progress, routerId: this.routerId },
      RPC_DEADLINE_MS,
    );
    if (!reply.ok) {
      this.suspectIfUnreachable(owner, reply.error);
    }
  }
}

function appendTo<Key, Value>(groups: Map<Key, Value[]>, key: Key, value: Value): void {
  const group = groups.get(key);
  if (group) {
    group.push(value);
    return;
  }
  groups.set(key, [value]);
}

function toAdmissionEvent(event: AdmitEvent__Output): AdmissionEvent | undefined {
  if (event.granted) {
    return { kind: 'granted', ...event.granted };
  }
  if (event.queued) {
    return { kind: 'queued', ...event.queued };
  }
  if (event.preempt) {
    return { kind: 'preempt', ...event.preempt };
  }
  if (event.refused) {
    const { code, detail, retryAfterMs } = event.refused;
    const knownCode: ResultCodeName = code in RESULT_CODES ? (code as ResultCodeName) : 'NO_ENGINE';
    const wait = retryAfterMs > 0 ? retryAfterMs : NO_ENGINE_RETRY_MS;
    return { kind: 'refused', refusal: refusal(knownCode, detail, wait) };
  }
  return undefined;
}
