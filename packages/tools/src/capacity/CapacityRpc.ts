import type { Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import type { sendUnaryData, ServerUnaryCall } from '@grpc/grpc-js';
import type {
  EstimateReply,
  EstimateReply__Output,
  EstimateRequest,
  GenerationRecord,
  ProgressReply__Output,
  ProgressRequest,
  RecordReply,
  RecordReply__Output,
  ShareReply,
  ShareReply__Output,
  ShareRequest,
} from '@laburnumgap/rpc';
import { createRpcClients, startRpcServer } from '@laburnumgap/rpc';

/** Cost of one unary call; the CPU time includes client and server. */
export interface RpcCost {
  readonly bytes: number;
  readonly cpuUs: number;
}

/** Costs of the RPC calls between daemons. */
export interface RpcSlopes {
  readonly estimate: RpcCost;
  readonly progressWithOneEntry: RpcCost;
  readonly progressWithTenEntries: RpcCost;
  readonly record: RpcCost;
  readonly shareWithOneEntry: RpcCost;
  readonly shareWithTenEntries: RpcCost;
}

const SECRET = 'secret-of-the-measurement';
const CALLS = 3_000;
const WARM_UP_CALLS = 1_000;
const PARALLEL_CALLS = 20;
const DEADLINE_MS = 5_000;
const PROMPT = 'Reconcile the shelf counts of the district. '.repeat(20);

type Call = () => Promise<unknown>;

/**
 * Measures calls over loopback between a client and a server in this process.
 *
 * @returns bytes on the wire and CPU time of each kind of call
 */
export async function measureRpc(): Promise<RpcSlopes> {
  const server = await startRpcServer({
    address: '127.0.0.1:0',
    handlers: {
      Admission: {
        estimate: replyWith<EstimateReply>(estimateReply()),
        reportProgress: replyWith({}),
      },
      Quota: { acquireShare: replyShares },
      RequestHome: { recordGeneration: replyWith<RecordReply>({ accepted: true, attempt: 1 }) },
    },
    secret: SECRET,
  });
  const proxy = await startCountingProxy(server.address);
  const direct = await measureCalls(server.address, measureCpuPerCall);
  const proxied = await measureCalls(proxy.address, (call) => measureBytesPerCall(call, proxy));
  proxy.close();
  server.close();
  return {
    estimate: { bytes: proxied.estimate, cpuUs: direct.estimate },
    progressWithOneEntry: {
      bytes: proxied.progressWithOneEntry,
      cpuUs: direct.progressWithOneEntry,
    },
    progressWithTenEntries: {
      bytes: proxied.progressWithTenEntries,
      cpuUs: direct.progressWithTenEntries,
    },
    record: { bytes: proxied.record, cpuUs: direct.record },
    shareWithOneEntry: { bytes: proxied.shareWithOneEntry, cpuUs: direct.shareWithOneEntry },
    shareWithTenEntries: { bytes: proxied.shareWithTenEntries, cpuUs: direct.shareWithTenEntries },
  };
}

/** Measures the cost of each kind of call to a server. */
async function measureCalls(
  address: string,
  costOf: (call: Call) => Promise<number>,
): Promise<Record<keyof RpcSlopes, number>> {
  const clients = createRpcClients(SECRET);
  const admission = clients.get('Admission', address);
  const homes = clients.get('RequestHome', address);
  const quota = clients.get('Quota', address);
  const estimate: Call = () =>
    clients.unary<EstimateRequest, EstimateReply__Output>(
      admission.estimate.bind(admission),
      { engineIds: ['engine-17'], maxTokens: 4_000, modelId: 'model-1', teamId: 'team-1' },
      DEADLINE_MS,
    );
  const progress =
    (count: number): Call =>
    () =>
      clients.unary<ProgressRequest, ProgressReply__Output>(
        admission.reportProgress.bind(admission),
        progressRequest(count),
        DEADLINE_MS,
      );
  const record: Call = () =>
    clients.unary<GenerationRecord, RecordReply__Output>(
      homes.recordGeneration.bind(homes),
      { bodyHash: 'b'.repeat(64), generationId: 'g'.repeat(36), prompt: PROMPT, teamId: 'team-1' },
      DEADLINE_MS,
    );
  const share =
    (count: number): Call =>
    () =>
      clients.unary<ShareRequest, ShareReply__Output>(
        quota.acquireShare.bind(quota),
        shareRequest(count),
        DEADLINE_MS,
      );

  const costs = {
    estimate: await costOf(estimate),
    progressWithOneEntry: await costOf(progress(1)),
    progressWithTenEntries: await costOf(progress(10)),
    record: await costOf(record),
    shareWithOneEntry: await costOf(share(1)),
    shareWithTenEntries: await costOf(share(10)),
  };
  clients.close();
  return costs;
}

function replyWith<Reply>(value: Reply) {
  return (_call: ServerUnaryCall<unknown, Reply>, callback: sendUnaryData<Reply>): void => {
    callback(null, value);
  };
}

function replyShares(
  call: ServerUnaryCall<ShareRequest, ShareReply>,
  callback: sendUnaryData<ShareReply>,
): void {
  const shares = (call.request.demands ?? []).map(({ teamId }) => ({
    contractRevision: 1_000,
    requestsPerSecond: 1.5,
    runningRequests: 3,
    teamId,
    tokensPerSecond: 1_000.5,
    validForMs: 3_000,
  }));
  callback(null, { shares });
}

function estimateReply(): EstimateReply {
  return {
    estimates: [{ acceptsWork: true, cachedPrefixTokens: 64, engineId: 'engine-17', waitMs: 12.5 }],
  };
}

function progressRequest(count: number): ProgressRequest {
  const progress = Array.from({ length: count }, (_, n) => ({
    attempt: 1,
    engineId: 'engine-17',
    generationId: `01a23da2-e977-7558-9cb4-f6bf90dd6f${n + 10}`,
    producedTokens: 1_234,
  }));
  return { progress, routerId: 'router-entry-17' };
}

function shareRequest(count: number): ShareRequest {
  const demands = Array.from({ length: count }, (_, n) => ({
    heldRequestsPerSecond: 1.5,
    heldRunningRequests: 3,
    heldTokensPerSecond: 1_000.5,
    inFlightRequests: 2,
    requestsPerSecond: 1.25,
    runningRequests: 3,
    teamId: `team-${n + 100}`,
    tokensPerSecond: 800.5,
    usedRequests: 1,
    usedTokens: 800,
  }));
  return { demands, routerId: 'router-entry-17' };
}

async function measureCpuPerCall(call: Call): Promise<number> {
  await callMany(call, WARM_UP_CALLS);
  const before = process.cpuUsage();
  await callMany(call, CALLS);
  const { system, user } = process.cpuUsage(before);
  return (system + user) / CALLS;
}

async function measureBytesPerCall(call: Call, proxy: CountingProxy): Promise<number> {
  await callMany(call, WARM_UP_CALLS);
  const before = proxy.bytes();
  await callMany(call, CALLS);
  return (proxy.bytes() - before) / CALLS;
}

async function callMany(call: Call, count: number): Promise<void> {
  for (let done = 0; done < count; done += PARALLEL_CALLS) {
    await Promise.all(Array.from({ length: PARALLEL_CALLS }, call));
  }
}

/** A TCP proxy that counts the forwarded bytes. */
interface CountingProxy {
  readonly address: string;
  bytes(): number;
  close(): void;
}

async function startCountingProxy(target: string): Promise<CountingProxy> {
  const [host = '', port = ''] = target.split(':');
  const sockets = new Set<Socket>();
  let bytes = 0;
  const server = createServer((inbound) => {
    const outbound = connect(Number(port), host);
    for (const socket of [inbound, outbound]) {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('data', (chunk) => {
        bytes += chunk.length;
      });
    }
    inbound.pipe(outbound);
    outbound.pipe(inbound);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const bound = server.address();
  return {
    address: `127.0.0.1:${typeof bound === 'object' ? (bound?.port ?? 0) : 0}`,
    bytes: () => bytes,
    close: () => {
      sockets.forEach((socket) => socket.destroy());
      server.close();
    },
  };
}
