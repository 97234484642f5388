import type { ConfigurationView, Contract } from '@laburnumgap/contracts';
import type { Member, MemberDirectory, TeamId } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import type { ShareReply, TeamDemand__Output } from '@laburnumgap/rpc';
import test from 'ava';
import { createSchedulerQuota } from '../../index.js';

const memberOf = (id: string, role: Member['role']): Member => ({
  entryVm: toId('vm'),
  failureDomain: toId('zone'),
  incarnation: toId(id),
  memberId: toId(id),
  region: toId('region'),
  role,
  rpcAddress: '127.0.0.1:1',
});

const demandOf = (fields: Partial<TeamDemand__Output> = {}): TeamDemand__Output => ({
  heldRequestsPerSecond: 0,
  heldRunningRequests: 0,
  heldTokensPerSecond: 0,
  inFlightRequests: 0,
  requestsPerSecond: 100,
  runningRequests: 100,
  teamId: 'flags',
  tokensPerSecond: 100,
  usedRequests: 0,
  usedTokens: 0,
  ...fields,
});

const createFixture = (): {
  acquire: (demand: TeamDemand__Output) => ShareReply | string;
  changeSchedulers: (ids: string[]) => void;
  setTime: (nowMs: number) => void;
} => {
  let nowMs = 0;
  let schedulers = ['s-1'];
  const listeners: (() => void)[] = [];
  const limits = { concurrentRequests: 8, requestsPerSecond: 12, tokensPerSecond: 100 };
  const contract = { limits, team: 'flags' } as Contract;
  const contracts = new Map([[toId<TeamId>('flags'), { contract, revision: toNumberId(5) }]]);
  const directory: Pick<MemberDirectory, 'members' | 'onChange'> = {
    members: (role) =>
      (role === 'scheduler' ? schedulers : ['r-1', 'r-2', 'r-3']).map((id) => memberOf(id, role)),
    onChange: (listener) => {
      listeners.push(listener);
      return () => undefined;
    },
  };
  const quota = createSchedulerQuota({
    clock: { nowMs: () => nowMs },
    configuration: { snapshot: () => ({ contracts }) } as unknown as ConfigurationView,
    directory: directory as MemberDirectory,
  });
  return {
    acquire: (demand) => {
      let answer: ShareReply | string = 'no answer';
      const call = { request: { demands: [demand], routerId: 'r-1' } };
      quota.handlers.AcquireShare(call as never, (error, reply) => {
        answer = error ? (error.details ?? '') : (reply ?? 'empty');
      });
      return answer;
    },
    changeSchedulers: (ids) => {
      schedulers = ids;
      listeners.forEach((listener) => {
        listener();
      });
    },
    setTime: (atMs) => {
      nowMs = atMs;
    },
  };
};

const rateOf = (answer: ShareReply | string): unknown =>
  typeof answer === 'string' ? answer : answer.shares?.map((share) => share.requestsPerSecond);

test('a share follows the contract, but is limited while shares of earlier homes may be valid', (t) => {
  const fixture = createFixture();
  t.deepEqual(rateOf(fixture.acquire(demandOf())), [4]);
  fixture.setTime(10_000);
  t.deepEqual(rateOf(fixture.acquire(demandOf())), [12]);
  fixture.changeSchedulers(['s-1']);
  t.deepEqual(rateOf(fixture.acquire(demandOf())), [12], 'the same schedulers');
  fixture.changeSchedulers(['s-1', 's-2']);
  t.deepEqual(rateOf(fixture.acquire(demandOf())), [4], 'another scheduler has joined');
  t.deepEqual(
    rateOf(fixture.acquire(demandOf({ heldRequestsPerSecond: 12 }))),
    [12],
    'the router holds a share',
  );
  t.deepEqual(rateOf(fixture.acquire(demandOf({ teamId: 'unknown' }))), []);
});

test('demands with invalid amounts are rejected', (t) => {
  const fixture = createFixture();
  const invalidFields: Partial<TeamDemand__Output>[] = [
    { requestsPerSecond: Number.NaN },
    { usedTokens: -1 },
    { heldTokensPerSecond: Infinity },
    { teamId: '' },
  ];
  for (const fields of invalidFields) {
    t.is(fixture.acquire(demandOf(fields)), 'demands are not valid');
  }
});
