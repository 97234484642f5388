import { setTimeout as sleep } from 'node:timers/promises';
import { call } from './Caller.js';
import { configuration } from './Configuration.js';
import { Deployment } from './Deployment.js';
import { runCase } from './runCase.js';
import { StandinServer } from './StandinServer.js';

/** Bound of the deployment. */
const STABLE_WINDOW_MS = 3_000;
const ENGINES = 8;
const ENGINE_DOWN_MS = 2_500;
const CRASHES = 5;
/** LOST counts with so many requests of either time. */
const MIN_COUNTED = 20;
const SOUND_INTERVAL_MS = 300;
const HARMFUL_INTERVAL_MS = 200;
const CALM_MS = 12_000;
/** The callers of this first part pause; the other traffic plays no part. */
const PAUSE_MS = 11_500;
/** From the fifth crash on. */
const SOUND_AGAIN_MS = 5_000;
const HARMFUL_END_MS = 28_000;
const LAST_ANSWERS_MS = 3_000;
const EVENTS = 8;
const EVENT_INTERVAL_MS = 20;
const HARMFUL_PART = 'bad0';

interface SentRequest {
  readonly id: string;
  readonly isSound: boolean;
  readonly sentMs: number;
  status: number;
}

void runCase(async ({ hasTrouble, onEnd, record, use }) => {
  const deployment = use(await Deployment.start({ zones: ['a', 'b', 'c'] }));
  const route = { prefix: '/draft/', routeType: 'streaming', service: 'engines' } as const;
  deployment.store.put(
    'op/config',
    configuration(1, [{ ...route, targetLatencyMs: 1_800, timeoutMs: 39_000 }]),
  );
  const begun = new Set<string>();
  const crashesMs: number[] = [];
  for (let index = 0; index < ENGINES; index += 1) {
    const engine = await StandinServer.start({
      name: `e${index}`,
      onRun: ({ id, raw, response, server }) => {
        begun.add(id);
        response.writeHead(200, { ...server.headers(id), 'Content-Type': 'text/event-stream' });
        if (String(raw.headers['prompt-prefix']).includes(HARMFUL_PART)) {
          response.write('id: 1\ndata: x\n\n');
          setTimeout(() => {
            if (server.isUp()) {
              crashesMs.push(record.nowMs());
              record.add(`engine ${server.id} crashes on ${id}`);
              server.crash(ENGINE_DOWN_MS);
            }
          }, EVENT_INTERVAL_MS);
          return;
        }
        let count = 0;
        const timer = setInterval(() => {
          count += 1;
          response.write(`id: ${count}\ndata: x\n\n`);
          if (count === EVENTS) {
            clearInterval(timer);
            response.end();
          }
        }, EVENT_INTERVAL_MS);
        response.once('close', () => {
          clearInterval(timer);
        });
      },
      service: 'engines',
      slots: 24,
      store: deployment.store,
      zone: ['a', 'b', 'c'][index % 3] ?? 'a',
    });
    onEnd(() => {
      engine.stop();
    });
  }
  await deployment.startMachines();
  await sleep(STABLE_WINDOW_MS);

  const sent: SentRequest[] = [];
  const open: Promise<void>[] = [];
  const send = (isSound: boolean): void => {
    const number = sent.length + 1;
    const request: SentRequest = {
      id: `${isSound ? 'sound' : 'harmful'}-${number}`,
      isSound,
      sentMs: record.nowMs(),
      status: 0,
    };
    sent.push(request);
    const second = isSound ? `c${number % 3}` : HARMFUL_PART;
    const answered = call({
      body: `{"number":${number}}`,
      deadlineMs: 39_000,
      headers: {
        'Length-Hint': '32',
        Model: 'm',
        'Prompt-Prefix': `aa11:79,${second}:400,f${number}:800`,
        'Token-Counts': '1279,40',
      },
      id: request.id,
      machine: deployment.machine(1 + (number % 3)),
      path: '/draft/2f',
    });
    open.push(
      answered.then(({ isComplete, status }) => {
        request.status = status;
        const ran = begun.has(request.id) ? 'ran' : 'not run';
        const end = isComplete ? 'whole' : 'not whole';
        record.add(`${request.id} sent at ${request.sentMs}: ${status}, ${end}, ${ran}`);
      }),
    );
  };
  const repeat = (isSound: boolean): NodeJS.Timeout =>
    setInterval(
      () => {
        send(isSound);
      },
      isSound ? SOUND_INTERVAL_MS : HARMFUL_INTERVAL_MS,
    );

  const calm = repeat(true);
  await sleep(CALM_MS);
  clearInterval(calm);
  await sleep(PAUSE_MS);
  const troubleMs = record.nowMs();
  record.add('requests with the harmful part begin');
  const harmful = hasTrouble ? repeat(false) : undefined;
  while (hasTrouble && crashesMs.length < CRASHES) {
    await sleep(5);
  }
  const fifthMs = hasTrouble ? (crashesMs[CRASHES - 1] ?? 0) : troubleMs;
  await sleep(SOUND_AGAIN_MS);
  const later = repeat(true);
  await sleep(fifthMs + HARMFUL_END_MS - record.nowMs());
  clearInterval(later);
  clearInterval(harmful);
  await Promise.race([Promise.all(open), sleep(LAST_ANSWERS_MS)]);

  const shareOf = (requests: readonly SentRequest[]): number =>
    requests.filter(({ id }) => begun.has(id)).length / requests.length;
  const sound = sent.filter(({ isSound }) => isSound);
  const before = sound.filter(({ sentMs }) => sentMs < troubleMs);
  const after = sound.filter(({ sentMs }) => sentMs > fifthMs + 2 * STABLE_WINDOW_MS);
  if (before.length < MIN_COUNTED || after.length < MIN_COUNTED) {
    throw new Error('too few sound requests were sent');
  }
  const refused = after.filter(({ status }) => status === 400).length;
  const text = `sound requests began at the first attempt: ${percent(shareOf(before))} of ${before.length} before, ${percent(shareOf(after))} of ${after.length} later; ${refused} got 400`;
  record.add(text);
  return shareOf(after) < shareOf(before) / 2 ? `LOST: ${text}` : undefined;
});

function percent(share: number): string {
  return `${Math.round(100 * share)} in 100`;
}
