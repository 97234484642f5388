import { setTimeout as sleep } from 'node:timers/promises';
import { call } from './Caller.js';
import { configuration } from './Configuration.js';
import { Deployment } from './Deployment.js';
import { runCase } from './runCase.js';
import { StandinServer } from './StandinServer.js';

const SERVERS = 3;
const REQUESTS = 120;
const INTERVAL_MS = 100;
const LONGEST_MS = 3_000;
const EVENTS = 10;
const EVENT_INTERVAL_MS = 20;
/** Dose of the disruption: one server in three, since 0.15 of three servers is rounded up. */
const FAILING_SHARE = 0.4;
const FAILS_EVERY = Math.round(1 / FAILING_SHARE);
/** Statuses by which a caller is told that its request has not run and never will. */
const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

void runCase(async ({ hasTrouble, onEnd, record, use }) => {
  const deployment = use(await Deployment.start({ zones: ['a', 'b', 'c'] }));
  // A streaming route without sessionAffinity: its requests name no model and no tokens.
  deployment.store.put(
    'op/config',
    configuration(1, [
      { prefix: '/feed/', routeType: 'streaming', service: 'desk', timeoutMs: 8_000 },
      { prefix: '/book/', routeType: 'unsafe', service: 'desk', timeoutMs: 8_000 },
    ]),
  );
  const ran = new Map<string, string>();
  const counts = { book: 0, feed: 0 };
  for (let index = 0; index < SERVERS; index += 1) {
    const isFailing = hasTrouble && index === 0;
    const desk = await StandinServer.start({
      name: `s${index}`,
      onRun: ({ id, raw, response, server }) => {
        ran.set(id, server.id);
        const kind = raw.url?.startsWith('/feed/') === true ? 'feed' : 'book';
        counts[kind] += isFailing ? 1 : 0;
        if (isFailing && counts[kind] % FAILS_EVERY === 0) {
          // It has worked on the request and failed. Nothing says that it was not executed.
          setTimeout(() => {
            record.add(`server ${server.id} has run ${id}, and answers 503 without Not-Executed`);
            response.writeHead(503, server.headers(id));
            response.end('failed');
          }, EVENT_INTERVAL_MS);
          return;
        }
        if (kind === 'book') {
          response.writeHead(200, server.headers(id));
          response.end('booked');
          return;
        }
        response.writeHead(200, { ...server.headers(id), 'Content-Type': 'text/event-stream' });
        let count = 0;
        const timer = setInterval(() => {
          count += 1;
          response.write(`id: ${count}\ndata: x\n\n`);
          if (count === EVENTS) {
            clearInterval(timer);
            response.end();
          }
        }, EVENT_INTERVAL_MS);
      },
      service: 'desk',
      slots: 6,
      store: deployment.store,
      zone: ['a', 'b', 'c'][index] ?? 'a',
    });
    onEnd(() => {
      desk.stop();
    });
  }
  await deployment.startMachines();
  await sleep(LONGEST_MS);

  const broken: string[] = [];
  const open: Promise<void>[] = [];
  for (let number = 1; number <= REQUESTS; number += 1) {
    const path = number % 2 === 0 ? '/feed/2f' : '/book/2f';
    const id = `${path.slice(1, 5)}-${number}`;
    const machine = deployment.machine(1 + (number % 3));
    const answered = call({ body: `{"number":${number}}`, deadlineMs: 8_000, id, machine, path });
    open.push(
      answered.then(({ stamp, status }) => {
        const server = ran.get(id);
        record.add(`${id}: ${status}, stamp ${stamp ?? 'none'}, ran at ${server ?? 'no server'}`);
        if (NOT_RUN_STATUSES.has(status) && server !== undefined) {
          broken.push(`${id} got ${status} and ran at ${server}`);
        }
      }),
    );
    await sleep(INTERVAL_MS);
  }
  await Promise.race([Promise.all(open), sleep(LONGEST_MS)]);
  const bookings = broken.filter((text) => text.startsWith('book')).length;
  const text = `${broken.length} requests that may not be repeated were answered as not run and had run, ${bookings} of them bookings`;
  record.add(text);
  return broken.length > 0 ? `REFUSED: ${text}; first: ${broken[0] ?? ''}` : undefined;
});
