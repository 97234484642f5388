import { CONFIG_HEAD_KEY } from '@laburnumgap/contracts';
import type { Member, Result, Revision } from '@laburnumgap/kernel';
import { failure, success, toNumberId } from '@laburnumgap/kernel';
import { MEMBER_PREFIX, decodeMember } from '@laburnumgap/membership';
import type { ExplainReply__Output, RpcError, StatusReply__Output } from '@laburnumgap/rpc';
import { INSPECT_CONCURRENCY } from './CtlConstants.js';
import type { CtlContext, CtlOutcome } from './CtlContext.js';
import type { CtlError } from './CtlError.js';
import { formatTable } from './CtlTable.js';
import { storeUnavailable } from './CtlUtils.js';

const NO_REVISION = toNumberId<Revision>(0);

/** Queries every daemon for its status and its configuration revision. */
export async function showStatus(context: CtlContext): Promise<CtlOutcome> {
  const members = await readMembers(context);
  if (!members.ok) {
    return members;
  }
  const head = await context.store.read(CONFIG_HEAD_KEY);
  const newest = head.ok ? (head.value?.modRevision ?? NO_REVISION) : undefined;
  const { deadlineMs } = context.settings.peers;
  const replies = await queryAll<StatusReply__Output>(members.value, (member) => {
    const client = context.clients.get('Inspect', member.rpcAddress);
    return context.clients.unary(client.getStatus.bind(client), {}, deadlineMs);
  });
  const daemons = replies.map(([member, reply]) => toDaemonStatus(member, reply, newest));
  const columns = ['MEMBER', 'ROLE', 'ENTRY VM', 'FAILURE DOMAIN', 'STATE', 'REVISION', 'AGE MS'];
  const rows = daemons.map((daemon) => [
    daemon.memberId,
    daemon.role,
    daemon.entryVm,
    daemon.failureDomain,
    daemon.state,
    String(daemon.revision ?? '-'),
    String(daemon.ageMs ?? '-'),
  ]);
  const unhealthyCount = daemons.filter(
    ({ state }) => state === 'behind' || state === 'no answer',
  ).length;
  const summary = `${daemons.length} daemons, ${unhealthyCount} behind or without an answer; newest accepted revision ${newest ?? 'unknown'}`;
  return success({
    hasFailed: unhealthyCount > 0,
    json: { daemons, newestRevision: newest },
    lines: [...formatTable(columns, rows), summary],
  });
}

/** Queries every daemon for its decisions about a request. */
export async function explainRequest(context: CtlContext, requestId: string): Promise<CtlOutcome> {
  const members = await readMembers(context);
  if (!members.ok) {
    return members;
  }
  const { deadlineMs } = context.settings.peers;
  const replies = await queryAll<ExplainReply__Output>(members.value, (member) => {
    const client = context.clients.get('Inspect', member.rpcAddress);
    return context.clients.unary(client.explain.bind(client), { requestId }, deadlineMs);
  });
  const decisions = replies
    .flatMap(([member, reply]) =>
      reply.ok
        ? reply.value.decisions.map((record) => ({ ...record, memberId: member.memberId }))
        : [],
    )
    .sort((a, b) => a.atEpochMs - b.atEpochMs);
  const unresponsiveIds = replies
    .filter(([, reply]) => !reply.ok)
    .map(([member]) => member.memberId);
  if (decisions.length === 0) {
    const unresponsiveNote =
      unresponsiveIds.length > 0 ? `; no answer from ${unresponsiveIds.join(', ')}` : '';
    return failure({
      kind: 'notFound',
      what: `decisions about request ${requestId}${unresponsiveNote}`,
    });
  }
  const rows = decisions.map((record) => [
    new Date(record.atEpochMs).toISOString(),
    record.memberId,
    record.decision,
    record.line,
  ]);
  const lines = [...formatTable(['TIME', 'MEMBER', 'DECISION', 'WHY'], rows)];
  if (unresponsiveIds.length > 0) {
    lines.push(`no answer from ${unresponsiveIds.join(', ')}`);
  }
  return success({ json: { decisions, withoutAnswer: unresponsiveIds }, lines });
}

interface DaemonStatus {
  readonly ageMs?: number;
  readonly entryVm: string;
  readonly facts: Readonly<Record<string, string>>;
  readonly failureDomain: string;
  readonly memberId: string;
  readonly revision?: number;
  readonly role: string;
  readonly state: 'behind' | 'draining' | 'in force' | 'no answer';
}

function toDaemonStatus(
  member: Member,
  reply: Result<StatusReply__Output, RpcError>,
  newestRevision: Revision | undefined,
): DaemonStatus {
  const { entryVm, failureDomain, memberId, role } = member;
  if (!reply.ok) {
    return { entryVm, facts: {}, failureDomain, memberId, role, state: 'no answer' };
  }
  const { configAgeMs, configRevision, draining, facts } = reply.value;
  const isBehind = newestRevision !== undefined && configRevision < newestRevision;
  return {
    ageMs: Math.round(configAgeMs),
    entryVm,
    facts: Object.fromEntries(facts.map(({ name, value }) => [name, value])),
    failureDomain,
    memberId,
    revision: configRevision,
    role,
    state: draining ? 'draining' : isBehind ? 'behind' : 'in force',
  };
}

async function readMembers(context: CtlContext): Promise<Result<readonly Member[], CtlError>> {
  const stored = await context.store.range(MEMBER_PREFIX);
  if (!stored.ok) {
    return storeUnavailable(stored.error);
  }
  const members = stored.value.values.flatMap(({ key, value }) => decodeMember(key, value) ?? []);
  return success(members);
}

async function queryAll<Reply>(
  members: readonly Member[],
  query: (member: Member) => Promise<Result<Reply, RpcError>>,
): Promise<readonly (readonly [Member, Result<Reply, RpcError>])[]> {
  const results: (readonly [Member, Result<Reply, RpcError>])[] = [];
  const pending = [...members];
  const worker = async (): Promise<void> => {
    for (let member = pending.shift(); member; member = pending.shift()) {
      results.push([member, await query(member)]);
    }
  };
  await Promise.all(Array.from({ length: INSPECT_CONCURRENCY }, worker));
  return results.sort(([a], [b]) => (a.memberId < b.memberId ? -1 : 1));
}
