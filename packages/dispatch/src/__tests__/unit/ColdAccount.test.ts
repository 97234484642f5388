import test from 'ava';
import type { ColdBudgetOptions, InFlightLease } from '../../index.js';
import {
  COLD_PERMIT_VALID_MS,
  COLD_WINDOW_MS,
  ColdAccount,
  coldShare,
  divideColdBudget,
} from '../../index.js';

const FLEET_SIZES = [6, 80, 195];
/** The bound of docs/OVERLOAD.md, part 2, holds in any one second. */
const BOUND_WINDOW_MS = 1_000;
/** Rates with the example settings of docs/OVERLOAD.md; 5 a second gives 12.5, 30 gives 50. */
const BUDGETS: readonly ColdBudgetOptions[] = [1, 2, 5, 30, 100].map((requestsPerS) => ({
  overageFactor: 1.5,
  requestsPerS,
  slackRequests: 5,
}));
const TIGHT_BUDGETS: readonly ColdBudgetOptions[] = [
  { overageFactor: 1, requestsPerS: 30, slackRequests: 0 },
  { overageFactor: 1, requestsPerS: 1, slackRequests: 0 },
  { overageFactor: 1.5, requestsPerS: 0.5, slackRequests: 0 },
  { overageFactor: 4, requestsPerS: 7.5, slackRequests: 1 },
];

function boundOf({ overageFactor, requestsPerS, slackRequests }: ColdBudgetOptions): number {
  return requestsPerS * overageFactor + slackRequests;
}

function lease(requestNumber: number, holder = 'm1'): InFlightLease {
  return { holder, requestNumber };
}

/** Most times in any sliding second. */
function maxInOneSecond(timesMs: readonly number[]): number {
  const times = [...timesMs].sort((a, b) => a - b);
  let first = 0;
  let most = 0;
  times.forEach((ms, index) => {
    while ((times[first] ?? 0) <= ms - BOUND_WINDOW_MS) {
      first += 1;
    }
    most = Math.max(most, index - first + 1);
  });
  return most;
}

function seededUnit(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2 ** 31;
    return state / 2 ** 31;
  };
}

for (const budget of [...BUDGETS, ...TIGHT_BUDGETS]) {
  const { overageFactor, requestsPerS, slackRequests } = budget;
  test(`two owners, all daemons alone and one that is not known yet are within ${requestsPerS} x ${overageFactor} + ${slackRequests}`, (t) => {
    const { aloneRequests, ownerRequests } = divideColdBudget(budget);
    for (const size of FLEET_SIZES) {
      const ranks = Array.from({ length: size }, (_, rank) => rank);
      const shares = ranks.map((rank) => coldShare(aloneRequests, rank, size));
      const unknownShare = coldShare(aloneRequests, 0, size + 1);
      const total = 2 * ownerRequests + shares.reduce((a, b) => a + b, 0) + unknownShare;
      t.true(total <= boundOf(budget), `${total} with ${size} daemons`);
      t.true([...shares, unknownShare].every(Number.isInteger));
    }
  });
}

test('parts of the bound', (t) => {
  t.snapshot(
    [...BUDGETS, ...TIGHT_BUDGETS].map((budget) => ({
      ...budget,
      ...divideColdBudget(budget),
      bound: boundOf(budget),
    })),
  );
});

test('an account starts without saved requests', (t) => {
  const account = new ColdAccount(0);
  t.deepEqual(account.take(lease(1), 5, 0, 0), {
    kind: 'declined',
    retryAfterMs: COLD_WINDOW_MS / 5,
  });
  t.is(account.take(lease(2), 5, 0, COLD_WINDOW_MS / 5).kind, 'granted');
  t.is(account.take(lease(3), 5, 0, COLD_WINDOW_MS / 5).kind, 'declined');
});

test('a request that is asked for again counts once, one that is given back not at all', (t) => {
  const account = new ColdAccount(-COLD_WINDOW_MS);
  t.is(account.take(lease(1), 2, 0, 0).kind, 'granted');
  t.is(account.take(lease(1), 2, 0, 40).kind, 'granted');
  t.is(account.take(lease(2), 2, 0, 50).kind, 'granted');
  t.is(account.take(lease(3), 2, 0, 60).kind, 'declined');
  account.giveBack(lease(1));
  account.giveBack(lease(1));
  t.is(account.take(lease(3), 2, 0, 70).kind, 'granted');
  t.is(account.take(lease(4), 2, 0, 80).kind, 'declined');
});

test('a request that can wait reserves the next place', (t) => {
  const account = new ColdAccount(-COLD_WINDOW_MS);
  account.take(lease(1), 1, 0, 0);
  t.deepEqual(account.take(lease(2), 1, 2_000, 200), {
    kind: 'granted',
    waitMs: COLD_WINDOW_MS - 200,
  });
  t.is(account.take(lease(3), 1, 0, COLD_WINDOW_MS + 1).kind, 'declined');
  t.is(account.take(lease(3), 1, 0, 2 * COLD_WINDOW_MS).kind, 'granted');
});

test('a request that has to wait for another reason counts when it is sent', (t) => {
  const account = new ColdAccount(-COLD_WINDOW_MS);
  account.take(lease(1), 1, 0, 0);
  account.defer(lease(1), 500);
  t.is(account.take(lease(2), 1, 0, COLD_WINDOW_MS).kind, 'declined');
  t.is(account.take(lease(2), 1, 0, COLD_WINDOW_MS + 500).kind, 'granted');
});

test('a share of nothing is declined', (t) => {
  t.is(new ColdAccount(-COLD_WINDOW_MS).take(lease(1), 0, 5_000, 0).kind, 'declined');
});

test('load pattern: daemons that ask all at once are told to come back one after the other', (t) => {
  const account = new ColdAccount(0);
  const hintsMs = Array.from({ length: 20 }, (_, index) => {
    const decision = account.take(lease(index, `m${index}`), 20, 0, 0);
    return decision.kind === 'declined' ? decision.retryAfterMs : 0;
  });
  t.deepEqual(
    hintsMs,
    hintsMs.map((_, index) => (index + 1) * (COLD_WINDOW_MS / 20)),
  );
  const again = account.take(lease(100, 'm0'), 20, 0, 1);
  t.is(again.kind === 'declined' && again.retryAfterMs, COLD_WINDOW_MS / 20 - 1);
  const granted = hintsMs.filter(
    (atMs, index) => account.take(lease(200 + index, `m${index}`), 20, 0, atMs).kind === 'granted',
  );
  t.is(granted.length, 20, 'each finds a place when it comes back');
});

/** One daemon of the simulated fleet: which owner it believes in, and how far that is away. */
interface SimulatedDaemon {
  readonly alone: ColdAccount;
  readonly domain: number;
  readonly owner: number;
  readonly shareRequests: number;
}

interface SimulatedArrivals {
  /** Requests as they arrive without permits. */
  readonly baselineMs: readonly number[];
  readonly arrivalsMs: readonly number[];
}

/**
 * A burst at one cold server from a fleet whose daemons believe in two owners. Messages take 10 to 50 ms
 * within a failure domain and up to 500 ms between domains; a daemon that gets no answer in time uses its
 * own share, and drops the late grant.
 */
function simulateTwoOwners(
  budget: ColdBudgetOptions,
  size: number,
  seed: number,
): SimulatedArrivals {
  const randomUnit = seededUnit(seed);
  const { aloneRequests, ownerRequests } = divideColdBudget(budget);
  const owners = [0, 1].map(() => new ColdAccount(-COLD_WINDOW_MS));
  const daemons = Array.from({ length: size }, (_, rank): SimulatedDaemon => ({
    alone: new ColdAccount(-COLD_WINDOW_MS),
    domain: rank % 3,
    owner: randomUnit() < 0.5 ? 0 : 1,
    shareRequests: coldShare(aloneRequests, rank, size),
  }));
  const delayMs = (domain: number): number => {
    const maxMs = domain === 0 ? 50 : 500;
    return 10 + randomUnit() * (maxMs - 10);
  };
  interface Ask {
    readonly answerMs: number;
    readonly atOwnerMs: number;
    readonly daemon: SimulatedDaemon;
    readonly number: number;
    readonly sentMs: number;
  }
  const asks: Ask[] = [];
  const demandPerS = 4 * boundOf(budget) + size;
  for (let number = 0; number < 4 * demandPerS; number += 1) {
    const sentMs = randomUnit() * 4_000;
    const daemon = daemons[Math.floor(randomUnit() * size)];
    if (daemon) {
      const atOwnerMs = sentMs + delayMs(daemon.domain);
      const answerMs = atOwnerMs + delayMs(daemon.domain);
      asks.push({ answerMs, atOwnerMs, daemon, number, sentMs });
    }
  }
  const arrivalsMs: number[] = [];
  /** The request is written at any time while the permit is valid, and is up to 80 ms on its way. */
  const arrive = (fromMs: number, validUntilMs: number): void => {
    const writtenMs = fromMs + randomUnit() * (validUntilMs - fromMs);
    arrivalsMs.push(writtenMs + randomUnit() * (COLD_WINDOW_MS - 1_000 - COLD_PERMIT_VALID_MS));
  };
  for (const ask of [...asks].sort((a, b) => a.atOwnerMs - b.atOwnerMs)) {
    const { answerMs, atOwnerMs, daemon, number, sentMs } = ask;
    const decision = owners[daemon.owner]?.take(lease(number), ownerRequests, 0, atOwnerMs);
    if (decision?.kind === 'granted' && answerMs <= sentMs + COLD_PERMIT_VALID_MS) {
      arrive(answerMs, sentMs + COLD_PERMIT_VALID_MS);
    }
  }
  const unanswered = asks.filter(
    ({ answerMs, sentMs }) => answerMs > sentMs + COLD_PERMIT_VALID_MS,
  );
  for (const { daemon, number, sentMs } of unanswered.sort((a, b) => a.sentMs - b.sentMs)) {
    const nowMs = sentMs + COLD_PERMIT_VALID_MS;
    if (daemon.alone.take(lease(number), daemon.shareRequests, 0, nowMs).kind === 'granted') {
      arrive(nowMs, nowMs + COLD_PERMIT_VALID_MS);
    }
  }
  return { arrivalsMs, baselineMs: asks.map(({ sentMs }) => sentMs) };
}

for (const budget of BUDGETS) {
  for (const size of FLEET_SIZES) {
    test(`load pattern: a burst of ${size} daemons with two owners and late grants keeps to the bound of ${budget.requestsPerS} a second`, (t) => {
      for (let seed = 1; seed <= 5; seed += 1) {
        const { arrivalsMs, baselineMs } = simulateTwoOwners(budget, size, seed);
        const most = maxInOneSecond(arrivalsMs);
        t.true(most <= boundOf(budget), `${most} in one second, seed ${seed}`);
        t.true(arrivalsMs.length > 0, 'the server is used');
        t.true(maxInOneSecond(baselineMs) > boundOf(budget), 'without permits there are more');
      }
    });
  }
}
