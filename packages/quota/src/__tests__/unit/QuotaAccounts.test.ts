import test from 'ava';
import * as fc from 'fast-check';
import { QuotaAccounts, SHARE_TTL_MS, SILENT_ROUTER_RETENTION_MS } from '../../index.js';

const step = fc.record({
  inFlight: fc.nat(5),
  isWithdrawal: fc.boolean(),
  rate: fc.nat(20),
  router: fc.constantFrom('a', 'b', 'c', 'd'),
  waitMs: fc.oneof(fc.nat(1_500), fc.nat(20_000)),
});

test('totals updated with each change equal totals computed from the shares', (t) => {
  fc.assert(
    fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
      const accounts = new QuotaAccounts();
      const lastDemandByRouter = new Map<
        string,
        { atMs: number; inFlight: number; rate: number }
      >();
      let nowMs = 0;
      return steps.every(({ inFlight, isWithdrawal, rate, router, waitMs }) => {
        nowMs += waitMs;
        accounts.expire(nowMs);
        if (isWithdrawal) {
          accounts.withdraw(router);
        }
        const amounts = {
          requestsPerSecond: rate,
          runningRequests: rate,
          tokensPerSecond: rate,
        };
        const grant = { amounts, expiresAtMs: nowMs + SHARE_TTL_MS };
        accounts.record(router, { demand: amounts, grant, inFlight, nowMs });
        lastDemandByRouter.set(router, { atMs: nowMs, inFlight, rate });
        const holders = [...lastDemandByRouter.values()].filter(
          ({ atMs }) => atMs + SHARE_TTL_MS > nowMs,
        );
        const known = [...lastDemandByRouter.values()].filter(
          ({ atMs }) => atMs + SILENT_ROUTER_RETENTION_MS > nowMs,
        );
        const { shareHolders, demand, held, inFlight: running } = accounts.totals;
        return (
          shareHolders === holders.length &&
          demand.tokensPerSecond === holders.reduce((total, each) => total + each.rate, 0) &&
          held.requestsPerSecond === accounts.outstanding('requestsPerSecond', nowMs) &&
          held.runningRequests === accounts.outstanding('runningRequests', nowMs) &&
          running >= known.reduce((total, each) => total + each.inFlight, 0)
        );
      });
    }),
    { numRuns: 500 },
  );
  t.pass();
});

test('a router that has been silent for the retention time is removed', (t) => {
  const accounts = new QuotaAccounts();
  const amounts = { requestsPerSecond: 1, runningRequests: 1, tokensPerSecond: 1 };
  for (const nowMs of [0, 1_000]) {
    const grant = { amounts, expiresAtMs: nowMs + SHARE_TTL_MS };
    accounts.record('a', { demand: amounts, grant, inFlight: 2, nowMs });
  }
  accounts.expire(SILENT_ROUTER_RETENTION_MS);
  t.deepEqual([accounts.size, accounts.totals.inFlight], [1, 2]);
  accounts.expire(SILENT_ROUTER_RETENTION_MS + 1_000);
  t.deepEqual([accounts.size, accounts.totals.inFlight], [0, 0]);
});
