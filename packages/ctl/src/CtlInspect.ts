import { CONFIG_HEAD_KEY } from '@laburnumgap/contracts';
import type { Member, Result, Revision } from '@laburnumgap/kernel';
import { failure, success, toNumberId } from '@laburnumgap/kernel';
import { MEMBER_PREFIX, decodeMember } from '@laburnumgap/membership';
import type { ExplainReply__Output, RpcError, StatusReply__Output } from '@laburnumgap/rpc';
import { INSPECT_CONCURRENCY } from './CtlConstants.js';
import type { CtlContext, CtlOutcome } from './CtlContext.js';
import type { CtlError } from './CtlError.js';
import { formatTable } from './CtlTable.js';
import { unavailable } from './CtlUtils.js';

const NO_REVISION = toNumberId<Revision>(0);

/** Asks every daemon what is in force there. */
export async function showStatus(context: CtlContext): Promise<CtlOutcome> {
  const members = await readMembers(context);
  if (!members.ok) {
    return members;
  }
  const head = await context.store.read(CONFIG_HEAD_KEY);
  const newest = head.ok ? (head.value?.modRevision ?? NO_REVISION) : undefined;
  const { deadlineMs } = context.settings.peers;
  const asked = await askAll<StatusReply__Output>(members.value, (member) => {
    const client = context.clients.get('Inspect', member.rpcAddress);
    return context.clients.unary(client.getStatus.bind(client), {}, deadlineMs);
  });
  const daemons = asked.map(([member, reply]) => statusOf(member, reply, newest));
  const titles = ['MEMBER', 'ROLE', 'ENTRY VM', 'FAILURE DOMAIN', 'STATE', 'REVISION', 'AGE MS'];
  const rows = daemons.map((daemon) => [
    daemon.memberId,
    daemon.role,
    daemon.entryVm,
    daemon.failureDomain,
    daemon.state,
    String(daemon.revision ?? '-'),
    String(daemon.ageMs ?? '-'),
  ]);
  const behind = daemons.filter(({ state }) => state === 'behind' || state === 'no answer').length;
  const summary = `${daemons.length} daemons, ${behind} behind or without an answer; newest accepted revision ${newest ?? 'unknown'}`;
  return success({
    hasFailed: behind > 0,
    json: { daemons, newestRevision: newest },
    lines: [...formatTable(titles, rows), summary],
  });
}

/** Asks every daemon why a request was decided as it was. */
export async function explainRequest(context: CtlContext, requestId: string): Promise<CtlOutcome> {
  const members = await readMembers(context);
  if (!members.ok) {
    return members;
  }
  const { deadlineMs } = context.settings.peers;
  const asked = await askAll<ExplainReply__Output>(members.value, (member) => {
    const client = context.clients.get('Inspect', member.rpcAddress);
    return context.clients.unary(client.explain.bind(client), { requestId }, deadlineMs);
  });
  const decisions = asked
    .flatMap(([member, reply]) =>
      reply.ok ? reply.value.decisions.map((each) => ({ ...each, memberId: member.memberId })) : [],
    )
    .sort((a, b) => a.atEpochMs - b.atEpochMs);
  const silent = asked.filter(([, reply]) => !reply.ok).map(([member]) => member.memberId);
  if (decisions.length === 0) {
    const unasked = silent.length > 0 ? `; no answer from ${silent.join(', ')}` : '';
    return failure({ kind: 'notFound', what: `decisions about request ${requestId}${unasked}` });
  }
  const rows = decisions.map((each) => [
    new Date(each.atEpochMs).toISOString(),
    each.memberId,
    each.decision,
    each.line,
  ]);
  const lines = [...formatTable(['TIME', 'MEMBER', 'DECISION', 'WHY'], rows)];
  if (silent.length > 0) {
    lines.push(`no answer from ${silent.join(', ')}`);
  }
  return success({ json: { decisions, withoutAnswer: silent }, lines });
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

function statusOf(
  member: Member,
  reply: Result<StatusReply__Output, RpcError>,
  newest: Revision | undefined,
): DaemonStatus {
  const { entryVm, failureDomain, memberId, role } = member;
  if (!reply.ok) {
    return { entryVm, facts: {}, failureDomain, memberId, role, state: 'no answer' };
  }
  const { configAgeMs, configRevision, draining, facts } = reply.value;
  const isBehind = newest !== undefined && configRevision < newest;
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
    return unavailable(stored.error);
  }
  const members = stored.value.values.flatMap(({ key, value }) => decodeMember(key, value) ?? []);
  return success(members);
}

async function askAll<Reply>(
  members: readonly Member[],
  ask: (member: Member) => Promise<Result<Reply, RpcError>>,
): Promise<readonly (readonly [Member, Result<Reply, RpcError>])[]> {
  const answers: (readonly [Member, Result<Reply, RpcError>])[] = [];
  const waiting = [...members];
  const worker = async (): Promise<void> => {
    for (let member = waiting.shift(); member; member = waiting.shift()) {
      answers.push([member, await ask(member)]);
    }
  };
  await Promise.all(Array.from({ length: INSPECT_CONCURRENCY }, worker));
  return answers.sort(([a], [b]) => (a.memberId < b.memberId ? -1 : 1));
}
