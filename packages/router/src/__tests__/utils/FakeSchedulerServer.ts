import type { ServerUnaryCall, ServerWritableStream, sendUnaryData } from '@grpc/grpc-js';
import type { Member, MemberDirectory, MemberId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type {
  AdmitEvent,
  AdmitRequest__Output,
  EstimateReply,
  EstimateRequest__Output,
  GenerationRecord__Output,
  ProgressReply,
  ProgressRequest__Output,
  RecordReply,
  RpcServer,
  ShareReply,
  ShareRequest__Output,
  TakeOverReply,
  TakeOverRequest__Output,
} from '@laburnumgap/rpc';
import { startRpcServer } from '@laburnumgap/rpc';

export const SECRET = 'a-secret-between-peers';

let serverCount = 0;

/** A loopback address of its own, so that no other server of a test takes the port of one that is closed. */
function nextHost(): string {
  serverCount += 1;
  const high = (process.pid >> 8) & 0xff;
  return `127.${high}.${process.pid & 0xff}.${1 + (serverCount % 250)}`;
}

type AdmitCall = ServerWritableStream<AdmitRequest__Output, AdmitEvent>;

/** gRPC server of a scheduler with replies set by the test. */
export class FakeSchedulerServer {
  readonly admits: AdmitCall[] = [];
  readonly progress: ProgressRequest__Output[] = [];
  recordReply: RecordReply = { accepted: true, attempt: 1 };
  readonly records: GenerationRecord__Output[] = [];
  readonly shareRequests: ShareRequest__Output[] = [];
  shares: ShareReply = { shares: [] };
  takeOverReply: TakeOverReply = { outcome: 'unknown', record: null };
  private server: RpcServer | undefined;

  constructor(
    readonly name: string,
    readonly failureDomain: string,
    private readonly onAdmit: (call: AdmitCall) => void = () => undefined,
  ) {}

  get member(): Member {
    return {
      entryVm: toId(`vm-of-${this.name}`),
      failureDomain: toId(this.failureDomain),
      incarnation: toId('incarnation'),
      memberId: toId(this.name),
      region: toId('region'),
      role: 'scheduler',
      rpcAddress: this.server?.address ?? '127.0.0.1:1',
    };
  }

  async start(): Promise<void> {
    this.server = await startRpcServer({
      address: `${nextHost()}:0`,
      handlers: {
        Admission: {
          Admit: (call: AdmitCall) => {
            this.admits.push(call);
            this.onAdmit(call);
          },
          Estimate: (
            call: ServerUnaryCall<EstimateRequest__Output, EstimateReply>,
            callback: sendUnaryData<EstimateReply>,
          ) => {
            const estimates = call.request.engineIds.map((engineId) => ({
              acceptsWork: true,
              cachedPrefixTokens: 4,
              engineId,
              waitMs: 12,
            }));
            callback(null, { estimates });
          },
          ReportProgress: (
            call: ServerUnaryCall<ProgressRequest__Output, ProgressReply>,
            callback: sendUnaryData<ProgressReply>,
          ) => {
            this.progress.push(call.request);
            callback(null, {});
          },
        },
        Quota: {
          AcquireShare: (
            call: ServerUnaryCall<ShareRequest__Output, ShareReply>,
            callback: sendUnaryData<ShareReply>,
          ) => {
            this.shareRequests.push(call.request);
            callback(null, this.shares);
          },
        },
        RequestHome: {
          Forget: (_call: unknown, callback: sendUnaryData<object>) => {
            callback(null, {});
          },
          RecordGeneration: (
            call: ServerUnaryCall<GenerationRecord__Output, RecordReply>,
            callback: sendUnaryData<RecordReply>,
          ) => {
            this.records.push(call.request);
            callback(null, this.recordReply);
          },
          TakeOver: (
            _call: ServerUnaryCall<TakeOverRequest__Output, TakeOverReply>,
            callback: sendUnaryData<TakeOverReply>,
          ) => {
            callback(null, this.takeOverReply);
          },
        },
      },
      secret: SECRET,
    });
  }

  close(): void {
    this.server?.close();
  }
}

/** Directory that ranks members in the given order, suspected ones last. */
export class FakeDirectory implements MemberDirectory {
  readonly suspected: MemberId[] = [];

  constructor(private readonly ranked: readonly Member[]) {}

  members(): readonly Member[] {
    return this.ranked;
  }

  onChange(): () => void {
    return () => undefined;
  }

  rank(): readonly Member[] {
    const reachable = this.ranked.filter((member) => !this.suspected.includes(member.memberId));
    const suspects = this.ranked.filter((member) => this.suspected.includes(member.memberId));
    return [...reachable, ...suspects];
  }

  suspect(memberId: MemberId): void {
    this.suspected.push(memberId);
  }
}
