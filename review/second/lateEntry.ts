import { setTimeout as sleep } from 'node:timers/promises';
import { call } from './Caller.js';
import { configuration } from './Configuration.js';
import { Deployment } from './Deployment.js';
import { runCase } from './runCase.js';
import { StandinServer } from './StandinServer.js';

const STABLE_WINDOW_MS = 3_000;
const DRAIN_MS = 2_000;
/** From the entry with `draining` to the earlier one: a lost call is done 1 to 6 s later. */
const LATE_MS = 3_000;
const REQUEST_INTERVAL_MS = 25;
const WORK_MS = 60;

void runCase(async ({ hasTrouble, onEnd, record, use }) => {
  const deployment = use(await Deployment.start({ zones: ['a', 'b', 'c'] }));
  deployment.store.put(
    'op/config',
    configuration(1, [
      { prefix: '/book/', routeType: 'unsafe', service: 'desk', timeoutMs: 4_000 },
    ]),
  );
  let drainingMs = Infinity;
  let lateCount = 0;
  const servers: StandinServer[] = [];
  for (const zone of ['a', 'b', 'c']) {
    const desk = await StandinServer.start({
      name: `s-${zone}`,
      onRun: ({ id, response, server }) => {
        const sinceMs = record.nowMs() - drainingMs;
        const isLeaving = server === servers[0] && sinceMs >= 0;
        if (isLeaving && sinceMs > DRAIN_MS) {
          lateCount += 1;
          record.add(`${id} reaches ${server.id} ${sinceMs} ms after it said that it leaves`);
        }
        setTimeout(() => {
          const leaving = isLeaving ? { 'Server-Leaving': '1' } : {};
          response.writeHead(200, { ...server.headers(id), ...leaving });
          response.end('booked');
        }, WORK_MS);
      },
      service: 'desk',
      slots: 6,
      store: deployment.store,
      zone,
    });
    servers.push(desk);
    onEnd(() => {
      desk.stop();
    });
  }
  await deployment.startMachines();
  await sleep(STABLE_WINDOW_MS);
  let count = 0;
  const timer = setInterval(() => {
    count += 1;
    const machine = deployment.machine(1 + (count % 3));
    const id = `book-${count}`;
    void call({ body: '{}', deadlineMs: 4_000, id, machine, path: '/book/2f' });
  }, REQUEST_INTERVAL_MS);
  await sleep(DRAIN_MS);
  const [leaving] = servers;
  // The heartbeat before the last: its answer is lost, and the store carries it out later.
  const heartbeat = leaving?.entry('ready');
  await sleep(WORK_MS);
  leaving?.write(leaving.entry('draining'));
  drainingMs = record.nowMs();
  record.add('the store has accepted the entry with draining');
  await sleep(LATE_MS);
  if (hasTrouble && heartbeat) {
    leaving?.write(heartbeat);
    record.add('the store carries out the heartbeat that was sent before');
  }
  await sleep(LATE_MS);
  clearInterval(timer);
  const text = `${lateCount} requests reached the server later than ${DRAIN_MS} ms after the store had acknowledged that it drains`;
  record.add(text);
  return lateCount > 0 ? `DRAIN: ${text}` : undefined;
});
