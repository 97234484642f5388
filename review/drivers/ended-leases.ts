import { runCase } from '../support/case.js';
import { Client } from '../support/client.js';
import { BOUNDS, Deployment, sleep } from '../support/deployment.js';

const DAEMONS = 9;
const ZONES = ['a', 'b', 'c'];
const SERVERS = 4;
/** Requests a second that each server takes from all machines together. */
const LIMIT_PER_S = 20;
const WORK_MS = 20;
/** The store may apply from `ttlMinMs` (one second) to ten minutes. */
const APPLIED_TTL_MS = 20_000;
/** The store removes the keys of ended leases together, so often. */
const SWEEP_MS = 1_000;
/** Far longer than stableWindowMs. */
const QUIET_MS = 8_000;
/** Clients send twice as much as the servers take. */
const REQUESTS_PER_S = 2 * SERVERS * LIMIT_PER_S;
const MEASURED_MS = 15_000;
const WINDOW_MS = 4_000;
const MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * (WINDOW_MS / 1_000) + 5;

runCase(async (record, hasTrouble) => {
  const deployment = await Deployment.create(record, { daemons: DAEMONS });
  const arrivalsMs = new Map<string, number[]>();
  let isLimited = false;
  deployment.addService('desk');
  const route = { priority: 2, targetLatencyMs: 121, timeoutMs: 1_500 };
  deployment.addRoute('/book/', 'unsafe', 'desk', route);
  for (let index = 0; index < SERVERS; index += 1) {
    const id = `i-desk-${index}`;
    const zone = ZONES[index % ZONES.length] ?? 'a';
    await deployment.addServer(id, 'desk', zone, ({ reply, requestId }) => {
      if (isLimited) {
        arrivalsMs.set(id, [...(arrivalsMs.get(id) ?? []), performance.now()]);
      }
      setTimeout(() => {
        const headers: Record<string, string> = isLimited
          ? { 'Server-Limit': String(LIMIT_PER_S) }
          : {};
        reply(200, `done ${requestId}`, headers);
      }, WORK_MS);
    });
  }
  if (hasTrouble) {
    deployment.store.maxTtlMs = APPLIED_TTL_MS;
    deployment.store.sweepMs = SWEEP_MS;
    record.line(`the ttlMs that applies to a lease is ${APPLIED_TTL_MS} at most`);
  }
  deployment.store.onLeaseEnd = (key) => {
    record.line(`the lease of ${key} ends`);
  };
  deployment.publish();
  await sleep(SWEEP_MS - (performance.now() % SWEEP_MS));
  await deployment.startDaemons();
  await sleep(APPLIED_TTL_MS + QUIET_MS);
  record.line(`keys of the system in the store: ${deployment.store.keys('laburnumgap/').length}`);

  let isOver = false;
  const statuses = new Map<number, number>();
  const sendOne = async (number: number): Promise<void> => {
    const client = new Client(deployment.daemons[number % DAEMONS]?.host ?? '');
    const id = `call-${number}`;
    const answer = await client.send({ body: '{}', deadlineMs: 1_500, id, path: '/book/1' });
    client.close();
    statuses.set(answer.status, (statuses.get(answer.status) ?? 0) + 1);
  };
  const sendAll = async (): Promise<void> => {
    let dueMs = performance.now();
    for (let number = 0; !isOver; number += 1) {
      void sendOne(number);
      dueMs += 1_000 / REQUESTS_PER_S;
      await sleep(Math.max(0, dueMs - performance.now()));
    }
  };
  const load = sendAll();
  await sleep(1_000);
  record.line(`each server names Server-Limit: ${LIMIT_PER_S} from now on`);
  isLimited = true;
  const limitedMs = performance.now();
  await sleep(BOUNDS.stableWindowMs + MEASURED_MS);
  isOver = true;
  await load;
  await sleep(2_000);
  await deployment.stop();
  record.line(`answers by status: ${JSON.stringify([...statuses])}`);
  let isBroken = false;
  for (const [id, times] of arrivalsMs) {
    const counted = times.filter((atMs) => atMs >= limitedMs + BOUNDS.stableWindowMs);
    const most = mostInWindow(counted);
    isBroken ||= most > MAX_IN_WINDOW;
    record.line(
      `server ${id} got up to ${most} requests in ${WINDOW_MS} ms; ${MAX_IN_WINDOW} may be`,
    );
  }
  return isBroken ? 'broken' : 'held';
});

function mostInWindow(times: readonly number[]): number {
  let most = 0;
  for (const [index, startMs] of times.entries()) {
    const end = times.findIndex((atMs) => atMs >= startMs + WINDOW_MS);
    most = Math.max(most, (end < 0 ? times.length : end) - index);
  }
  return most;
}
