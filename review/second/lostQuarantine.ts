import { setTimeout as sleep } from 'node:timers/promises';
import { call } from './Caller.js';
import { configuration } from './Configuration.js';
import { Deployment } from './Deployment.js';
import { runCase } from './runCase.js';
import { StandinServer } from './StandinServer.js';

const STABLE_WINDOW_MS = 3_000;
const SERVERS = 6;
const SERVER_DOWN_MS = 2_500;
const CRASH_DELAY_MS = 20;
const HARMFUL_INTERVAL_MS = 300;
const LATER_INTERVAL_MS = 500;
const SOUND_INTERVAL_MS = 500;
/** From the third crash to the loss of the store's newest writes. */
const RESTORE_AFTER_MS = 2_500;
const AWAY_MS = 500;
const KILL_AFTER_MS = 4_000;
const POWER_OFF_MS = 1_000;
const LATER_MS = 40_000;
const CRASHES = 3;
/** BUDGET allows so many retries. */
const MAX_RETRIES = 3;

void runCase(async ({ hasTrouble, onEnd, record, use }) => {
  const deployment = use(await Deployment.start({ zones: ['a', 'b', 'c'] }));
  const { store } = deployment;
  const operator = configuration(1, [
    { prefix: '/book/', routeType: 'unsafe', service: 'desk', timeoutMs: 4_000 },
  ]);
  store.put('op/config', operator);
  const arrivalsMs: number[] = [];
  const crashesMs: number[] = [];
  const servers: StandinServer[] = [];
  for (let index = 0; index < SERVERS; index += 1) {
    const server = await StandinServer.start({
      name: `s${index}`,
      onRun: ({ body, id, response, server: running }) => {
        if (body.toString() !== 'harmful') {
          response.writeHead(200, running.headers(id));
          response.end('booked');
          return;
        }
        arrivalsMs.push(record.nowMs());
        record.add(`server ${running.id} begins to run ${id}`);
        setTimeout(() => {
          if (running.isUp()) {
            crashesMs.push(record.nowMs());
            record.add(`server ${running.id} crashes`);
            running.crash(SERVER_DOWN_MS);
          }
        }, CRASH_DELAY_MS);
      },
      service: 'desk',
      slots: 6,
      store,
      zone: ['a', 'b', 'c'][index % 3] ?? 'a',
    });
    servers.push(server);
    onEnd(() => {
      server.stop();
    });
  }
  await deployment.startMachines();
  await sleep(STABLE_WINDOW_MS);

  let count = 0;
  const send = (body: string): void => {
    count += 1;
    const id = `${body}-${count}`;
    const machine = deployment.machine(1 + (count % 3));
    const sentMs = record.nowMs();
    void call({ body, deadlineMs: 4_000, id, machine, path: '/book/2f' }).then(({ status }) => {
      record.add(`${id} sent at ${sentMs}: ${status}`);
    });
  };
  const sound = setInterval(() => {
    send('sound');
  }, SOUND_INTERVAL_MS);
  const copy = store.copy();
  record.add('the store is copied');
  while (crashesMs.length < CRASHES) {
    send('harmful');
    await sleep(HARMFUL_INTERVAL_MS);
  }
  const thirdMs = crashesMs[CRASHES - 1] ?? 0;
  await sleep(RESTORE_AFTER_MS);
  const kept = (): string => store.keys('laburnumgap/').join(', ');
  record.add(`keys of the system: ${kept()}`);
  if (hasTrouble) {
    store.mode = 'silent';
    store.closeConnections();
    await sleep(AWAY_MS);
    store.restore(copy);
    store.mode = 'answers';
    record.add('the store is back from the copy; operator and servers write again');
    store.put('op/config', operator);
    servers.forEach((server) => {
      server.register();
    });
  }
  await sleep(KILL_AFTER_MS);
  record.add(`keys of the system: ${kept()}`);
  if (hasTrouble) {
    await Promise.all(deployment.machines.map((machine) => machine.kill()));
    record.add('all processes are killed');
    await sleep(POWER_OFF_MS);
    await deployment.startMachines();
    record.add('all machines are ready again');
  }
  await sleep(STABLE_WINDOW_MS + LATER_INTERVAL_MS);
  const touchMs = record.nowMs();
  record.add('the harmful request comes again');
  while (record.nowMs() < touchMs + LATER_MS) {
    send('harmful');
    await sleep(LATER_INTERVAL_MS);
  }
  clearInterval(sound);
  const lateMs = Math.max(touchMs, thirdMs + STABLE_WINDOW_MS);
  const late = arrivalsMs.filter((arrivalMs) => arrivalMs >= lateMs).length;
  const text = `${late} retries reached servers later than ${STABLE_WINDOW_MS} ms after the third crash, from machines in touch; ${MAX_RETRIES} are allowed`;
  record.add(text);
  return late > MAX_RETRIES ? `BUDGET: ${text}` : undefined;
});
