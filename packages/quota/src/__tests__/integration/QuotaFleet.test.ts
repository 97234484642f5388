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
  'disconnect',
  'recover',
  'loseReplies',
  'none',
  'pauseRouter',
  'removeRouter',
  'replaceHome',
  'splitHome',
] as const;
type FaultName = (typeof FAULTS)[number];

const injectFault = (fleet: QuotaFleet, fault: FaultName, routerIndex: number): void => {
  const router = fleet.routers[routerIndex % fleet.routers.length];
  const faults: Record<FaultName, () => void> = {
    addRouter: () => {
      fleet.addRouter();
    },
    disconnect: () => {
      if (router) {
        router.isDisconnected = true;
      }
    },
    recover: () => {
      fleet.dropsReplies = false;
      fleet.routers.forEach((each) => {
        each.isDisconnected = false;
        each.isPaused = false;
      });
    },
    loseReplies: () => {
      fleet.dropsReplies = true;
    },
    none: () => undefined,
    pauseRouter: () => {
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
    splitHome: () => {
      fleet.splitHome();
    },
  };
  faults[fault]();
};

test('the total request rate stays within its bound under random faults', (t) => {
  const step = fc.record({ fault: fc.constantFrom(...FAULTS), routerIndex: fc.nat(10) });
  fc.assert(
    fc.property(fc.nat(), fc.array(step, { maxLength: 15 }), (seed, steps) => {
      const { fleet, random } = fleetOf(seed);
      const hotRouterIndex = Math.floor(random() * ROUTERS);
      return steps.every(({ fault, routerIndex }) => {
        injectFault(fleet, fault, routerIndex);
        for (let count = 0; count < 12; count += 1) {
          fleet.step((router) => (router === hotRouterIndex ? 8 : Math.floor(random() * 2)));
          const bound =
            LIMITS.requestsPerSecond * (fleet.activeHomes() + fleet.fractionWithoutShare());
          if (fleet.totalRequestRate() > bound + 1e-6) {
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

/** Requests per step at each router; the even load is ten times the limit in total. */
const LOADS: Record<string, (routerIndex: number, random: () => number) => number> = {
  'even load': () => 5,
  'one hot router': (routerIndex) => (routerIndex === 2 ? 30 : 0),
  'random routers': (_routerIndex, random) => (random() < 0.2 ? 10 : 0),
};

for (const [name, load] of Object.entries(LOADS)) {
  test(`without faults a team gets its limit and no more: ${name}`, (t) => {
    const { fleet, random } = fleetOf(7);
    let mostRunning = 0;
    for (let step = 0; step < SECONDS * STEPS_PER_SECOND; step += 1) {
      fleet.step((routerIndex) => load(routerIndex, random));
      mostRunning = Math.max(mostRunning, fleet.running());
    }
    const ofLimit = fleet.admitted / (LIMITS.requestsPerSecond * SECONDS);
    t.log(`admitted ${(ofLimit * 100).toFixed(1)} % of the limit, most running ${mostRunning}`);
    t.true(ofLimit <= 1.1);
    t.true(ofLimit >= 0.85);
    t.true(mostRunning <= LIMITS.concurrentRequests);
  });
}

test('compared with equal parts per router: as much for an even load, the whole limit for a hot router', (t) => {
  const equalPart = LIMITS.requestsPerSecond / ROUTERS;
  const admittedPerSecond = (
    load: (routerIndex: number) => number,
    usesEqualParts: boolean,
  ): number => {
    const { fleet } = fleetOf(3);
    fleet.routers.forEach((router) => {
      router.isDisconnected = usesEqualParts;
    });
    for (let step = 0; step < SECONDS * STEPS_PER_SECOND; step += 1) {
      fleet.step(load);
    }
    return fleet.admitted / SECONDS;
  };
  const hotRouterLoad = (routerIndex: number): number => (routerIndex === 0 ? 20 : 0);
  const rows = {
    evenLoad: admittedPerSecond(() => 5, false),
    evenLoadEqualParts: admittedPerSecond(() => 5, true),
    hotRouter: admittedPerSecond(hotRouterLoad, false),
    hotRouterEqualParts: admittedPerSecond(hotRouterLoad, true),
  };
  t.log(JSON.stringify(rows));
  t.true(rows.hotRouterEqualParts <= equalPart * 1.1);
  t.true(rows.hotRouter >= equalPart * ROUTERS * 0.85);
  t.true(rows.evenLoad >= rows.evenLoadEqualParts * 0.9);
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
      fleet.step((routerIndex) => (routerIndex === 0 ? 20 : 0));
    }
    perSecond.push(fleet.admitted - before);
  }
  t.log(perSecond.join(' '));
  t.true(Math.min(...perSecond.slice(6)) >= LIMITS.requestsPerSecond * 0.75);
});

test('a load that moves from router to router is kept to the limit over two minutes', (t) => {
  const random = seededRandom(9);
  const fleet = new QuotaFleet({ limits: LIMITS, random, routers: 60 });
  let activeRouterIndex = 0;
  for (let step = 0; step < 2 * SECONDS * STEPS_PER_SECOND; step += 1) {
    activeRouterIndex = step % 2 === 0 ? Math.floor(random() * 60) : activeRouterIndex;
    fleet.step((routerIndex) => (routerIndex === activeRouterIndex ? 20 : 0), 100);
  }
  const ofLimit = fleet.admitted / (LIMITS.requestsPerSecond * SECONDS * 2);
  t.log(`admitted ${(ofLimit * 100).toFixed(1)} % of the limit`);
  t.true(ofLimit <= 1.1);
});

for (const ofLimit of [0.3, 0.5, 0.8]) {
  test(`a team within its contract has at most 2 % of its requests refused: ${ofLimit * 100} % spread over 60 routers`, (t) => {
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
