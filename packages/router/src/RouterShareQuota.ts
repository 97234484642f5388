import type { ConfigurationView, Contract } from '@laburnumgap/contracts';
import type {
  Member,
  MemberDirectory,
  MemberId,
  MonotonicClock,
  Refusal,
  Result,
  TeamId,
  Teardown,
} from '@laburnumgap/kernel';
import { failure, success, toId, toNumberId } from '@laburnumgap/kernel';
import type { QuotaDemand, QuotaLimiter, QuotaTeamShare } from '@laburnumgap/quota';
import { SHARE_INTERVAL_MS, createQuotaLimiter } from '@laburnumgap/quota';
import type {
  RpcClients,
  ShareReply__Output,
  ShareRequest,
  TeamShare__Output,
} from '@laburnumgap/rpc';
import { RPC_DEADLINE_MS } from './RouterConstants.js';
import type { QuotaHold, RouterQuota } from './RouterQuota.js';
import { isUnreachable } from './RouterRpcUtils.js';
import type { Timers } from './RouterTimers.js';

/** What shares are asked for with. */
export interface ShareQuotaOptions {
  readonly clients: RpcClients;
  readonly clock: MonotonicClock;
  readonly configuration: ConfigurationView;
  readonly directory: MemberDirectory;
  readonly routerId: MemberId;
  readonly timers: Timers;
}

/** Grants requests within this router's shares of team limits, which the quota homes hand out. */
export class ShareQuota implements RouterQuota {
  private readonly options: ShareQuotaOptions;
  private readonly share: QuotaLimiter;
  private stopTimer: Teardown;

  constructor(options: ShareQuotaOptions) {
    const { configuration, directory } = options;
    this.options = options;
    this.share = createQuotaLimiter({
      contractOf: (teamId) => {
        const inForce = configuration.snapshot().contracts.get(teamId);
        return inForce && { limits: inForce.contract.limits, revision: inForce.revision };
      },
      liveRouters: () => Math.max(1, directory.members('router').length),
    });
    this.stopTimer = this.schedule();
  }

  begin(contract: Contract, inputTokens: number): Result<QuotaHold, Refusal> {
    const { clock } = this.options;
    const teamId = toId<TeamId>(contract.team);
    const admitted = this.share.tryAdmit(teamId, clock.nowMs());
    if (admitted.kind === 'refusal') {
      return failure(admitted);
    }
    this.share.chargeTokens(teamId, inputTokens, clock.nowMs());
    let held = true;
    return success({
      charge: (tokens) => {
        this.share.chargeTokens(teamId, tokens, clock.nowMs());
      },
      release: () => {
        if (held) {
          held = false;
          this.share.release(teamId);
        }
      },
    });
  }

  stop(): void {
    this.stopTimer();
  }

  private async askHomes(): Promise<void> {
    const { clock, directory } = this.options;
    const byHome = new Map<Member, QuotaDemand[]>();
    for (const demand of this.share.demands(clock.nowMs())) {
      const [home] = directory.rank('scheduler', `team/${demand.teamId}`);
      if (home) {
        byHome.set(home, [...(byHome.get(home) ?? []), demand]);
      }
    }
    await Promise.all([...byHome].map(([home, demands]) => this.askHome(home, demands)));
  }

  private async askHome(home: Member, demands: QuotaDemand[]): Promise<void> {
    const { clients, clock, directory, routerId } = this.options;
    const client = clients.get('Quota', home.rpcAddress);
    const answer = await clients.unary<ShareRequest, ShareReply__Output>(
      client.acquireShare.bind(client),
      { demands, routerId },
      RPC_DEADLINE_MS,
    );
    if (answer.ok) {
      this.share.applyShares(answer.value.shares.map(teamShareOf), clock.nowMs());
      return;
    }
    if (isUnreachable(answer.error)) {
      directory.suspect(home.memberId);
    }
  }

  private schedule(): Teardown {
    return this.options.timers.after(SHARE_INTERVAL_MS, () => {
      this.stopTimer = this.schedule();
      void this.askHomes();
    });
  }
}

function teamShareOf(share: TeamShare__Output): QuotaTeamShare {
  return {
    contractRevision: toNumberId(share.contractRevision),
    requestsPerSecond: share.requestsPerSecond,
    runningRequests: share.runningRequests,
    teamId: toId(share.teamId),
    tokensPerSecond: share.tokensPerSecond,
    validForMs: share.validForMs,
  };
}
