import type { ConfigurationView } from '@laburnumgap/contracts';
import type { MemberId, TeamId } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import { createRpcClients } from '@laburnumgap/rpc';
import test from 'ava';
import { ShareQuota } from '../../RouterShareQuota.js';
import { FakeDirectory, FakeSchedulerServer, SECRET } from '../utils/FakeSchedulerServer.js';
import { FakeTimers, settleMicrotasks } from '../utils/FakeTimers.js';
import { CONTRACT, TEAM } from '../utils/FakeCluster.js';

const CONFIGURATION: ConfigurationView = {
  contractOfKey: () => 'unknown',
  onChange: () => () => undefined,
  snapshot: () => ({
    contracts: new Map([[toId<TeamId>(TEAM), { contract: CONTRACT, revision: toNumberId(4) }]]),
    revision: toNumberId(4),
    stops: [],
  }),
};

test('demands are sent to the quota home of the team, and its share limits admissions', async (t) => {
  const home = new FakeSchedulerServer('s-1', 'a');
  await home.start();
  const clients = createRpcClients(SECRET);
  t.teardown(() => {
    clients.close();
    home.close();
  });
  const timers = new FakeTimers();
  const quota = new ShareQuota({
    clients,
    clock: timers,
    configuration: CONFIGURATION,
    directory: new FakeDirectory([home.member]),
    routerId: toId<MemberId>('router-1'),
    timers,
  });
  const first = quota.tryAdmit(CONTRACT, 10);
  t.true(first.ok, 'without a share, the limit is divided by the number of live routers');
  home.shares = {
    shares: [
      {
        contractRevision: 4,
        requestsPerSecond: 10,
        runningRequests: 1,
        teamId: TEAM,
        tokensPerSecond: 100,
        validForMs: 3_000,
      },
    ],
  };
  timers.runNextTimer();
  while (home.shareRequests.length === 0) {
    await settleMicrotasks();
  }
  t.like(home.shareRequests[0], {
    demands: [{ inFlightRequests: 1, teamId: TEAM, usedRequests: 1, usedTokens: 10 }],
    routerId: 'router-1',
  });
  while (home.shareRequests.at(-1)?.demands[0]?.heldRunningRequests !== 1) {
    timers.runNextTimer();
    await settleMicrotasks();
  }
  t.like(quota.tryAdmit(CONTRACT, 0), { error: { code: 'CONCURRENCY_LIMITED' }, ok: false });
  if (first.ok) {
    first.value.release();
    first.value.release();
  }
  t.true(quota.tryAdmit(CONTRACT, 0).ok, 'a second release has no effect');
  t.false(quota.tryAdmit(CONTRACT, 0).ok);
  quota.stop();
});
