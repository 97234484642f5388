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
import type { QuotaGrant, RouterQuota } from './RouterQuota.js';
import { isUnreachable } from './RouterRpcUtils.js';
import type { Timers } from './RouterTimers.js';

/** Options of a {@link ShareQuota}. */
export interface ShareQuotaOptions {
  readonly clients: RpcClients;
  readonly clock: MonotonicClock;
  readonly configuration: ConfigurationView;
  readonly directory: MemberDirectory;
  readonly routerId: MemberId;
  readonly timers: Timers;
}

/**
 * Admits requests within this router's shares of team limits. The shares are requested at an
 * interval from the quota home of each team, the scheduler that ranks first for it.
 */
export class ShareQuota implements RouterQuota {
  private readonly options: ShareQuotaOptions;
  private readonly quotaShare: QuotaLimiter;
  private stopTimer: Teardown;

  constructor(options: ShareQuotaOptions) {
    const { configuration, directory } = options;
    this.options = options;
    this.quotaShare = createQuotaLimiter({
      contractOf: (teamId) => {
        const inForce = configuration.snapshot().contracts.get(teamId);
        return inForce && { limits: inForce.contract.limits, revision: inForce.revision };
      },
      liveRouters: () => Math.max(1, directory.members('router').length),
    });
    this.stopTimer = this.schedule();
  }

  tryAdmit(contract: Contract, inputTokens: number): Result<QuotaGrant, Refusal> {
    const { clock } = this.options;
    const teamId = toId<TeamId>(contract.team);
    const admitted = this.quotaShare.tryAdmit(teamId, clock.nowMs());
    if (admitted.kind === 'refusal') {
      return failure(admitted);
    }
    this.quotaShare.chargeTokens(teamId, inputTokens, clock.nowMs());
    let isHeld = true;
    return success({
      charge: (tokens) => {
        this.quotaShare.chargeTokens(teamId, tokens, clock.nowMs());
      },
      release: () => {
        if (isHeld) {
          isHeld = false;
          this.quotaShare.release(teamId);
        }
      },
    });
  }

  stop(): void {
    this.stopTimer();
  }

  private async requestShares(): Promise<void> {
    const { clock, directory } = this.options;
    const demandsByHome = new Map<Member, QuotaDemand[]>();
    for (const demand of this.quotaShare.demands(clock.nowMs())) {
      const [home] = directory.rank('scheduler', `team/${demand.teamId}`);
      if (home) {
        demandsByHome.set(home, [...(demandsByHome.get(home) ?? []), demand]);
      }
    }
    await Promise.all(
      [...demandsByHome].map(([home, demands]) => this.requestSharesFrom(home, demands)),
    );
  }

  private async requestSharesFrom(home: Member, demands: QuotaDemand[]): Promise<void> {
    const { clients, clock, directory, routerId } = this.options;
    const client = clients.get('Quota', home.rpcAddress);
    const reply = await clients.unary<ShareRequest, ShareReply__Output>(
      client.acquireShare.bind(client),
      { demands, routerId },
      RPC_DEADLINE_MS,
    );
    if (reply.ok) {
      this.quotaShare.applyShares(reply.value.shares.map(toTeamShare), clock.nowMs());
      return;
    }
    if (isUnreachable(reply.error)) {
      directory.suspect(home.memberId);
    }
  }

  private schedule(): Teardown {
    return this.options.timers.after(SHARE_INTERVAL_MS, () => {
      this.stopTimer = this.schedule();
      void this.requestShares();
    });
  }
}

function toTeamShare(share: TeamShare__Output): QuotaTeamShare {
  return {
    contractRevision: toNumberId(share.contractRevision),
    requestsPerSecond: share.requestsPerSecond,
    runningRequests: share.runningRequests,
    teamId: toId(share.teamId),
    tokensPerSecond: share.tokensPerSecond,
    validForMs: share.validForMs,
  };
}
