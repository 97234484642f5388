import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { call } from './Caller.js';
import { configuration } from './Configuration.js';
import { Deployment } from './Deployment.js';
import { runCase } from './runCase.js';
import { StandinServer } from './StandinServer.js';

const SERVERS = 1;
const CONFIG_APPLY_MS = 2_000;
const STABLE_WINDOW_MS = 3_000;
/** An answer above 256 KiB is passed on as it arrives. */
const REPORT_BYTES = 520_000;
const ROUNDS = 10;
const BOOKING_AFTER_MS = 100;
const DEADLINE_MS = 4_000;
/** CONFIG counts from so many requests on added routes. */
const MIN_REQUESTS = 20;
const MIN_SERVED_SHARE = 1 / 4;

void runCase(async ({ hasTrouble, onEnd, record, use }) => {
  const deployment = use(await Deployment.start({ zones: ['a', 'b', 'c'] }));
  const report = { prefix: '/report/', routeType: 'safe', service: 'desk' } as const;
  const booking = { prefix: '/book/', routeType: 'unsafe', service: 'desk' } as const;
  const first = [{ ...report, timeoutMs: DEADLINE_MS }];
  const both = [...first, { ...booking, timeoutMs: DEADLINE_MS }];
  deployment.store.put('op/config', configuration(1, hasTrouble ? first : both));
  const ran = new Set<string>();
  for (let index = 0; index < SERVERS; index += 1) {
    const desk = await StandinServer.start({
      name: `s${index}`,
      onRun: ({ id, raw, response, server }) => {
        ran.add(id);
        const isReport = raw.url?.startsWith('/report/') === true;
        const body = Buffer.alloc(isReport ? REPORT_BYTES : 800, 'x');
        response.writeHead(200, { ...server.headers(id), 'Content-Length': body.length });
        response.end(body);
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
  await sleep(STABLE_WINDOW_MS);
  if (hasTrouble) {
    deployment.store.put('op/config', configuration(2, both));
    record.add('version 2 of the configuration adds the route /book/');
  }
  await sleep(CONFIG_APPLY_MS + STABLE_WINDOW_MS);

  const served = { book: 0, report: 0 };
  const sent = { book: 0, report: 0 };
  let ranUnanswered = 0;
  const ask = async (kind: 'book' | 'report', machine: number, agent: Agent): Promise<void> => {
    sent[kind] += 1;
    const id = `${kind}-${machine}-${sent[kind]}`;
    const answer = await call({
      agent,
      ...(kind === 'book' ? { body: '{}' } : {}),
      deadlineMs: DEADLINE_MS,
      id,
      machine: deployment.machine(machine),
      path: `/${kind}/2f`,
    });
    const { bytes, isComplete, status, tookMs } = answer;
    const isServed = status === 200 && isComplete;
    served[kind] += isServed ? 1 : 0;
    ranUnanswered += !isServed && ran.has(id) ? 1 : 0;
    record.add(
      `${id}: ${status}, ${bytes} bytes, ${tookMs} ms, ${ran.has(id) ? 'ran' : 'not run'}`,
    );
  };
  await Promise.all(
    deployment.machines.map(async (_, index) => {
      const agent = new Agent({ keepAlive: true });
      for (let round = 0; round < ROUNDS; round += 1) {
        await ask('report', index + 1, agent);
        await sleep(BOOKING_AFTER_MS);
        await ask('book', index + 1, agent);
      }
      agent.destroy();
    }),
  );
  const share = (kind: 'book' | 'report'): number => served[kind] / sent[kind];
  const text = `served: ${served.report} of ${sent.report} requests on the first route, ${served.book} of ${sent.book} on /book/; ${ranUnanswered} ran and got no answer of the server`;
  record.add(text);
  if (sent.book < MIN_REQUESTS) {
    throw new Error('too few requests were sent');
  }
  const isAdded = hasTrouble;
  return isAdded && share('book') < MIN_SERVED_SHARE * share('report')
    ? `CONFIG: ${text}`
    : undefined;
});
