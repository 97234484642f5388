import type {
  AttemptNumber,
  GenerationHomeRecord,
  Member,
  MemberDirectory,
  MemberId,
  RequestId,
  Result,
  TeamId,
} from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import type {
  GenerationRecord,
  RecordReply__Output,
  RpcClients,
  RpcError,
  TakeOverReply__Output,
  TakeOverRequest,
} from '@laburnumgap/rpc';
import { toGenerationHomeRecord } from '@laburnumgap/rpc';
import { HOME_DEADLINE_MS } from './RouterConstants.js';
import type {
  HomeRecordOutcome,
  HomeTakeOverOutcome,
  HomeTakeOverRequest,
  HomesUnreachable,
  RequestHomesPort,
} from './RouterPorts.js';
import { isUnreachable } from './RouterRpcUtils.js';

type FoundRecord = Extract<HomeTakeOverOutcome, { outcome: 'found' }>;

/** Options of {@link RpcRequestHomes}. */
export interface RpcRequestHomesOptions {
  readonly clients: RpcClients;
  readonly deadlineMs?: number;
  readonly directory: MemberDirectory;
  readonly routerId: MemberId;
}

/** Homes of a request, one per failure domain: survives losing two domains and a router at once. */
const MAX_HOMES = 3;
/** Homes of a request when all schedulers are in one failure domain. */
const MIN_HOMES = 2;
/** Further schedulers asked for a record that a router with another view of members has written. */
const MAX_FALLBACK_SCHEDULERS = 6;

/**
 * Calls the homes of a request: the schedulers that rank first for it, each in a failure domain of
 * its own. During membership changes routers may disagree on which schedulers these are. A caller
 * that already has tokens is therefore told that its generation is unknown only after the next
 * schedulers in rank were asked too and every scheduler asked has answered.
 */
export class RpcRequestHomes implements RequestHomesPort {
  private readonly clients: RpcClients;
  private readonly deadlineMs: number;
  private readonly directory: MemberDirectory;
  private directoryVersion = 0;
  private readonly routerId: MemberId;

  constructor(options: RpcRequestHomesOptions) {
    this.clients = options.clients;
    this.deadlineMs = options.deadlineMs ?? HOME_DEADLINE_MS;
    this.directory = options.directory;
    this.routerId = options.routerId;
    this.directory.onChange(() => {
      this.directoryVersion += 1;
    });
  }

  forget(teamId: TeamId, requestId: RequestId, attempt: AttemptNumber): void {
    for (const home of this.homesOf(teamId, requestId)) {
      const client = this.clients.get('RequestHome', home.rpcAddress);
      const message = { attempt, requestId, teamId };
      void this.clients.unary(client.forget.bind(client), message, this.deadlineMs);
    }
  }

  async record(record: GenerationHomeRecord): Promise<HomeRecordOutcome> {
    const { model, ...fields } = record;
    const message = { ...fields, modelId: model, routerId: this.routerId };
    const homes = this.homesOf(record.teamId, record.requestId);
    const outcomes = await Promise.all(
      homes.map(async (home): Promise<HomeRecordOutcome> => {
        const client = this.clients.get('RequestHome', home.rpcAddress);
        const reply = await this.clients.unary<GenerationRecord, RecordReply__Output>(
          client.recordGeneration.bind(client),
          message,
          this.deadlineMs,
        );
        if (!reply.ok) {
          this.suspectIfUnreachable(home, reply.error);
          return 'unreachable';
        }
        return reply.value.accepted ? 'recorded' : 'superseded';
      }),
    );
    if (outcomes.includes('superseded')) {
      return 'superseded';
    }
    return outcomes.includes('recorded') ? 'recorded' : 'unreachable';
  }

  async takeOver(
    takeOver: HomeTakeOverRequest,
  ): Promise<Result<HomeTakeOverOutcome, HomesUnreachable>> {
    const homes = this.homesOf(takeOver.teamId, takeOver.requestId);
    const replies = await this.takeOverAtAll(homes, takeOver);
    if (takeOver.isResume && !replies.some(isKnown)) {
      const fallbacks = this.rankedSchedulers(takeOver.teamId, takeOver.requestId)
        .filter((member) => !homes.includes(member))
        .slice(0, MAX_FALLBACK_SCHEDULERS);
      replies.push(...(await this.takeOverAtAll(fallbacks, takeOver)));
    }
    const reached = replies.filter((reply) => reply !== undefined);
    const mayBeMissed = takeOver.isResume && !replies.some(isKnown) && replies.includes(undefined);
    if (reached.length === 0 || mayBeMissed) {
      return failure({ kind: 'homesUnreachable' });
    }
    return success(latestReply(reached));
  }

  version(): number {
    return this.directoryVersion;
  }

  private rankedSchedulers(teamId: TeamId, requestId: RequestId): readonly Member[] {
    return this.directory.rank('scheduler', `request/${teamId}/${requestId}`);
  }

  private takeOverAtAll(
    homes: readonly Member[],
    takeOver: HomeTakeOverRequest,
  ): Promise<(HomeTakeOverOutcome | undefined)[]> {
    return Promise.all(homes.map((home) => this.takeOverAt(home, takeOver)));
  }

  /** The first scheduler in rank of each failure domain, up to {@link MAX_HOMES}. */
  private homesOf(teamId: TeamId, requestId: RequestId): readonly Member[] {
    const ranked = this.rankedSchedulers(teamId, requestId);
    const homes: Member[] = [];
    for (const member of ranked) {
      const isNewDomain = homes.every((home) => home.failureDomain !== member.failureDomain);
      if (isNewDomain && homes.length < MAX_HOMES) {
        homes.push(member);
      }
    }
    return homes.length > 1 ? homes : ranked.slice(0, MIN_HOMES);
  }

  private suspectIfUnreachable(home: Member, error: RpcError): void {
    if (isUnreachable(error)) {
      this.directory.suspect(home.memberId);
    }
  }

  private async takeOverAt(
    home: Member,
    takeOver: HomeTakeOverRequest,
  ): Promise<HomeTakeOverOutcome | undefined> {
    const client = this.clients.get('RequestHome', home.rpcAddress);
    const { bodyHash, requestId, teamId } = takeOver;
    const message = { bodyHash, requestId, routerId: this.routerId, teamId };
    const reply = await this.clients.unary<TakeOverRequest, TakeOverReply__Output>(
      client.takeOver.bind(client),
      message,
      this.deadlineMs,
    );
    if (!reply.ok) {
      this.suspectIfUnreachable(home, reply.error);
      return undefined;
    }
    return toTakeOverOutcome(reply.value);
  }
}

function isKnown(reply: HomeTakeOverOutcome | undefined): boolean {
  return reply !== undefined && reply.outcome !== 'unknown';
}

function latestReply(replies: readonly HomeTakeOverOutcome[]): HomeTakeOverOutcome {
  let newest: HomeTakeOverOutcome = { outcome: 'unknown' };
  for (const reply of replies) {
    if (reply.outcome === 'found') {
      newest = higherAttempt(newest, reply);
    } else if (newest.outcome === 'unknown') {
      newest = reply;
    }
  }
  return newest;
}

function higherAttempt(known: HomeTakeOverOutcome, next: FoundRecord): HomeTakeOverOutcome {
  if (known.outcome === 'found' && known.record.attempt >= next.record.attempt) {
    return known;
  }
  return next;
}

function toTakeOverOutcome(reply: TakeOverReply__Output): HomeTakeOverOutcome {
  if (reply.outcome === 'found' && reply.record) {
    return { outcome: 'found', record: toGenerationHomeRecord(reply.record) };
  }
  if (reply.outcome === 'otherBody' || reply.outcome === 'otherTeam') {
    return { outcome: reply.outcome };
  }
  return { outcome: 'unknown' };
}
