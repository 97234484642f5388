import test from 'ava';
import * as fc from 'fast-check';
import { QuotaFleet, STEP_MS, seededRandom } from '../helpers/QuotaFleet.js';

const LIMITS = { concurrentRequests: 40, requestsPerSecond: 30, tokensPerSecond: 1e9 };
const ROUTERS = 6;
const SECONDS = 60;
const STEPS_PER_SECOND = 1_000 / STEP_MS;

const fleetOf = (seed: number): { fleet: QuotaFleet; random: () => number } => {
  const random = seededRandom(seed);
  return { fleet: new QuotaFleet({ limits: LIMITS, random, routers: ROUTERS }), random };
};

const FAULTS = [
  'addRouter',
  'cut',
  'heal',
  'lose',
  'none',
  'pause',
  'removeRouter',
  'replaceHome',
  'split',
] as const;
type FaultName = (typeof FAULTS)[number];

const bringAbout = (fleet: QuotaFleet, fault: FaultName, place: number): void => {
  const router = fleet.routers[place % fleet.routers.length];
  const faults: Record<FaultName, () => void> = {
    addRouter: () => {
      fleet.addRouter();
    },
    cut: () => {
      if (router) {
        router.isCutOff = true;
      }
    },
    heal: () => {
      fleet.losesReplies = false;
      fleet.routers.forEach((each) => {
        each.isCutOff = false;
        each.isPaused = false;
      });
    },
    lose: () => {
      fleet.losesReplies = true;
    },
    none: () => undefined,
    pause: () => {
      if (router) {
        router.isPaused = true;
      }
    },
    removeRouter: () => {
      fleet.removeRouter();
    },
    replaceHome: () => {
      fleet.replaceHome();
    },
    split: () => {
      fleet.splitHome();
    },
  };
  faults[fault]();
};

test('the rate in force stays within the stated bound under random faults', (t) => {
  const step = fc.record({ fault: fc.constantFrom(...FAULTS), place: fc.nat(10) });
  fc.assert(
    fc.property(fc.nat(), fc.array(step, { maxLength: 15 }), (seed, steps) => {
      const { fleet, random } = fleetOf(seed);
      const hot = Math.floor(random() * ROUTERS);
      return steps.every(({ fault, place }) => {
        bringAbout(fleet, fault, place);
        for (let count = 0; count < 12; count += 1) {
          fleet.step((router) => (router === hot ? 8 : Math.floor(random() * 2)));
          const bound = LIMITS.requestsPerSecond * (fleet.actingHomes() + fleet.withoutShare());
          if (fleet.rateInForce() > bound + 1e-6) {
            return false;
          }
        }
        return true;
      });
    }),
    { numRuns: 150 },
  );
  t.pass();
});

/** Attempts a second at each router, ten times the limit in all where it is even. */
const LOADS: Record<string, (place: number, random: () => number) => number> = {
  'even load': () => 5,
  'one hot router': (place) => (place === 2 ? 30 : 0),
  'random routers': (_place, random) => (random() < 0.2 ? 10 : 0),
};

for (const [name, load] of Object.entries(LOADS)) {
  test(`without faults a team gets its limit and no more: ${name}`, (t) => {
    const { fleet, random } = fleetOf(7);
    let mostRunning = 0;
    for (let step = 0; step < SECONDS * STEPS_PER_SECOND; step += 1) {
      fleet.step((place) => load(place, random));
      mostRunning = Math.max(mostRunning, fleet.running());
    }
    const ofLimit = fleet.admitted / (LIMITS.requestsPerSecond * SECONDS);
    t.log(`admitted ${(ofLimit * 100).toFixed(1)} % of the limit, most running ${mostRunning}`);
    t.true(ofLimit <= 1.1);
    t.true(ofLimit >= 0.85);
    t.true(mostRunning <= LIMITS.concurrentRequests);
  });
}

test('against equal parts for each router: the same for an even load, all of it for a hot one', (t) => {
  const naive = LIMITS.requestsPerSecond / ROUTERS;
  const admittedOf = (load: (place: number) => number, isNaive: boolean): number => {
    const { fleet } = fleetOf(3);
    fleet.routers.forEach((router) => {
      router.isCutOff = isNaive;
    });
    for (let step = 0; step < SECONDS * STEPS_PER_SECOND; step += 1) {
      fleet.step(load);
    }
    return fleet.admitted / SECONDS;
  };
  const hot = (place: number): number => (place === 0 ? 20 : 0);
  const rows = {
    evenLoad: admittedOf(() => 5, false),
    evenLoadNaive: admittedOf(() => 5, true),
    hotRouter: admittedOf(hot, false),
    hotRouterNaive: admittedOf(hot, true),
  };
  t.log(JSON.stringify(rows));
  t.true(rows.hotRouterNaive <= naive * 1.1);
  t.true(rows.hotRouter >= naive * ROUTERS * 0.85);
  t.true(rows.evenLoad >= rows.evenLoadNaive * 0.9);
});

test('a new home honours the shares that routers hold: a hot router keeps its rate', (t) => {
  const { fleet } = fleetOf(5);
  const perSecond: number[] = [];
  for (let second = 0; second < 12; second += 1) {
    const before = fleet.admitted;
    if (second === 6) {
      fleet.replaceHome();
    }
    for (let step = 0; step < STEPS_PER_SECOND; step += 1) {
      fleet.step((place) => (place === 0 ? 20 : 0));
    }
    perSecond.push(fleet.admitted - before);
  }
  t.log(perSecond.join(' '));
  t.true(Math.min(...perSecond.slice(6)) >= LIMITS.requestsPerSecond * 0.75);
});

test('a load that hops from router to router is held to the limit in the long run', (t) => {
  const random = seededRandom(9);
  const fleet = new QuotaFleet({ limits: LIMITS, random, routers: 60 });
  let hop = 0;
  for (let step = 0; step < 2 * SECONDS * STEPS_PER_SECOND; step += 1) {
    hop = step % 2 === 0 ? Math.floor(random() * 60) : hop;
    fleet.step((place) => (place === hop ? 20 : 0), 100);
  }
  const ofLimit = fleet.admitted / (LIMITS.requestsPerSecond * SECONDS * 2);
  t.log(`admitted ${(ofLimit * 100).toFixed(1)} % of the limit`);
  t.true(ofLimit <= 1.1);
});

for (const ofLimit of [0.3, 0.5, 0.8]) {
  test(`a team within its contract is hardly refused: ${ofLimit * 100} % spread over 60 routers`, (t) => {
    const random = seededRandom(11);
    const fleet = new QuotaFleet({ limits: LIMITS, random, routers: 60 });
    const perStep = (LIMITS.requestsPerSecond * ofLimit) / STEPS_PER_SECOND;
    let attempts = 0;
    for (let step = 0; step < SECONDS * STEPS_PER_SECOND; step += 1) {
      fleet.step(() => {
        const arrives = random() < perStep / 60 ? 1 : 0;
        attempts += arrives;
        return arrives;
      });
    }
    const refused = 1 - fleet.admitted / attempts;
    t.log(`refused ${(refused * 100).toFixed(2)} % of ${attempts}`, JSON.stringify(fleet.refusals));
    t.true(refused <= 0.02);
  });
}
