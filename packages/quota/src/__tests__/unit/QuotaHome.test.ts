import type { Revision, TeamId } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import * as fc from 'fast-check';
import type { QuotaAmounts, QuotaDemand, QuotaHome } from '../../index.js';
import { QuotaHomeTeam, SHARE_TTL_MS, createQuotaHome, createQuotaLimiter } from '../../index.js';

const TEAM = toId<TeamId>('drafts');
const LIMITS = { concurrentRequests: 10, requestsPerSecond: 12, tokensPerSecond: 1_000 };
const CONTRACT = { limits: LIMITS, revision: toNumberId<Revision>(3) };
const ROUTERS = 4;

const demandOf = (fields: Partial<QuotaDemand> = {}): QuotaDemand => ({
  heldRequestsPerSecond: 0,
  heldRunningRequests: 0,
  heldTokensPerSecond: 0,
  inFlightRequests: 0,
  requestsPerSecond: 100,
  runningRequests: 100,
  teamId: TEAM,
  tokensPerSecond: 10_000,
  usedRequests: 0,
  usedTokens: 0,
  ...fields,
});

const homeAt = (startedAtMs: number): QuotaHome =>
  createQuotaHome({ contractOf: () => CONTRACT, liveRouters: () => ROUTERS, startedAtMs });

const shareOf = (
  home: QuotaHome,
  router: string,
  demand: QuotaDemand,
  nowMs: number,
): QuotaAmounts => {
  const [share] = home.acquire(router, [demand], nowMs);
  return share ?? { requestsPerSecond: -1, runningRequests: -1, tokensPerSecond: -1 };
};

test('a new home grants at most what a router holds or an equal part, until earlier shares have expired', (t) => {
  const rows: [
    name: string,
    demand: QuotaDemand,
    atMs: number,
    requests: number,
    running: number,
  ][] = [
    ['nothing held', demandOf(), 1, 3, 3],
    ['much held', demandOf({ heldRequestsPerSecond: 9, heldRunningRequests: 7 }), 1, 9, 7],
    ['more in flight than held', demandOf({ inFlightRequests: 8 }), 1, 3, 8],
    ['earlier shares have expired', demandOf(), SHARE_TTL_MS, 12, 10],
  ];
  for (const [name, demand, atMs, requests, running] of rows) {
    const share = shareOf(homeAt(0), 'a', demand, atMs);
    t.deepEqual([share.requestsPerSecond, share.runningRequests], [requests, running], name);
  }
});

test('an unknown team gets no share', (t) => {
  const home = createQuotaHome({
    contractOf: () => undefined,
    liveRouters: () => 1,
    startedAtMs: 0,
  });
  t.deepEqual(home.acquire('a', [demandOf()], 5_000), []);
});

test('use beyond the contract is paid back by smaller shares', (t) => {
  const home = homeAt(0);
  const rates = [0, 30, 60, 200].map((usedRequests, index) =>
    shareOf(home, 'a', demandOf({ usedRequests }), SHARE_TTL_MS + index),
  );
  const rounded = rates.map(({ requestsPerSecond }) => Math.round(requestsPerSecond));
  t.deepEqual(rounded, [12, 12, 0, 0]);
  t.is(Math.round(shareOf(home, 'a', demandOf(), SHARE_TTL_MS + 60_000).requestsPerSecond), 12);
});

test('the sum of the shares that may be in use never exceeds the contract', (t) => {
  const demandArbitrary = fc.record({
    inFlight: fc.nat(3),
    requests: fc.nat(20),
    router: fc.constantFrom('a', 'b', 'c', 'd', 'e'),
    waitMs: fc.nat(2_000),
  });
  fc.assert(
    fc.property(
      fc.array(demandArbitrary, { maxLength: 40 }),
      fc.boolean(),
      (demands, isWarmingUp) => {
        const team = new QuotaHomeTeam();
        let nowMs = 0;
        return demands.every(({ inFlight, requests, router, waitMs }) => {
          nowMs += waitMs;
          const demand = demandOf({
            inFlightRequests: inFlight,
            requestsPerSecond: requests,
            runningRequests: requests,
            tokensPerSecond: requests * 90,
          });
          team.acquire(router, demand, {
            isWarmingUp,
            limits: LIMITS,
            liveRouters: ROUTERS,
            nowMs,
            paybackWindowMs: 5_000,
            shareTtlMs: SHARE_TTL_MS,
          });
          return (
            team.outstanding('requestsPerSecond', nowMs) <= LIMITS.requestsPerSecond + 1e-9 &&
            team.outstanding('tokensPerSecond', nowMs) <= LIMITS.tokensPerSecond + 1e-9
          );
        });
      },
    ),
    { numRuns: 500 },
  );
  t.pass();
});

test('a share counts until it expires even if a smaller one follows, because the later answer may be lost', (t) => {
  const home = homeAt(0);
  const smallDemand = demandOf({ requestsPerSecond: 0, runningRequests: 0 });
  const rateOf = (router: string, demand: QuotaDemand, atMs: number): number =>
    shareOf(home, router, demand, SHARE_TTL_MS + atMs).requestsPerSecond;
  t.is(rateOf('a', demandOf(), 0), 12);
  t.is(rateOf('a', smallDemand, 1_000), 3);
  t.is(rateOf('b', demandOf(), 2_999), 0);
  t.is(rateOf('b', demandOf(), 3_000), 9);
});

test('the share of a removed router is available to the others once it has expired', (t) => {
  const home = homeAt(0);
  const rateOf = (router: string, atMs: number): number =>
    shareOf(home, router, demandOf(), SHARE_TTL_MS + atMs).requestsPerSecond;
  for (const atMs of [0, 1_000, 2_000, 3_000, 4_000, 5_000]) {
    rateOf('a', atMs);
    rateOf('b', atMs);
  }
  t.deepEqual([rateOf('a', 6_000), rateOf('b', 6_000)], [6, 6]);
  t.deepEqual([rateOf('b', 8_999), rateOf('b', 9_000)], [6, 12]);
});

test('a limit that becomes contended and then free again is recorded once each', (t) => {
  const recorded: string[] = [];
  const home = createQuotaHome({
    contractOf: () => CONTRACT,
    decisions: {
      record: ({ decision, fields }) =>
        recorded.push([decision, fields.limit, fields.outcome, fields.teamId].join(' ')),
    },
    liveRouters: () => ROUTERS,
    startedAtMs: 0,
  });
  for (const [index, requestsPerSecond] of [6, 14, 11.5, 13, 11.5, 6].entries()) {
    const demand = { requestsPerSecond, runningRequests: 1, tokensPerSecond: 1 };
    home.acquire('a', [demandOf(demand)], SHARE_TTL_MS + index * 1_000);
  }
  t.deepEqual(recorded, [
    'limit requestsPerSecond divided drafts',
    'limit requestsPerSecond free drafts',
  ]);
});

test('a refusal names the limit and the time after which to retry', (t) => {
  const limiter = createQuotaLimiter({ contractOf: () => CONTRACT, liveRouters: () => ROUTERS });
  const outcomes: string[] = [];
  const attempt = (nowMs: number): void => {
    const outcome = limiter.tryAdmit(TEAM, nowMs);
    outcomes.push(
      outcome.kind === 'admitted' ? 'admitted' : `${outcome.code} ${outcome.retryAfterMs ?? 0}`,
    );
  };
  attempt(0);
  attempt(0);
  attempt(0);
  limiter.release(TEAM);
  attempt(0);
  attempt(0);
  attempt(333);
  limiter.chargeTokens(TEAM, 300, 333);
  limiter.release(TEAM);
  attempt(333);
  t.deepEqual(outcomes, [
    'admitted',
    'admitted',
    'CONCURRENCY_LIMITED 1000',
    'admitted',
    'CONCURRENCY_LIMITED 1000',
    'CONCURRENCY_LIMITED 1000',
    'TOKEN_BUDGET_EXHAUSTED 200',
  ]);
  limiter.release(TEAM);
  t.throws(
    () => {
      limiter.release(TEAM);
      limiter.release(TEAM);
      limiter.release(TEAM);
    },
    { message: /invariant 1301/ },
  );
});

test('the validity of a share counts from when it was requested', (t) => {
  const limiter = createQuotaLimiter({ contractOf: () => CONTRACT, liveRouters: () => ROUTERS });
  limiter.tryAdmit(TEAM, 0);
  limiter.demands(0);
  const granted = { requestsPerSecond: 9, runningRequests: 9, tokensPerSecond: 900 };
  limiter.applyShares(
    [{ ...granted, contractRevision: CONTRACT.revision, teamId: TEAM, validForMs: 3_000 }],
    2_500,
  );
  t.is(limiter.currentAmounts(TEAM, 2_999)?.requestsPerSecond, 9);
  t.is(limiter.currentAmounts(TEAM, 3_000)?.requestsPerSecond, 3);
});

test('the validity of a late answer counts from the earliest unanswered demand', (t) => {
  const limiter = createQuotaLimiter({ contractOf: () => CONTRACT, liveRouters: () => ROUTERS });
  const granted = {
    contractRevision: CONTRACT.revision,
    requestsPerSecond: 9,
    runningRequests: 9,
    teamId: TEAM,
    tokensPerSecond: 900,
    validForMs: 3_000,
  };
  limiter.tryAdmit(TEAM, 0);
  limiter.demands(0);
  limiter.demands(1_000);
  limiter.applyShares([granted], 1_001);
  t.is(limiter.currentAmounts(TEAM, 2_999)?.requestsPerSecond, 9);
  t.is(limiter.currentAmounts(TEAM, 3_000)?.requestsPerSecond, 3);
  limiter.applyShares([granted], 3_000);
  t.is(limiter.currentAmounts(TEAM, 3_999)?.requestsPerSecond, 9);
  t.is(limiter.currentAmounts(TEAM, 4_000)?.requestsPerSecond, 3);
});
