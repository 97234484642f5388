import { runCase } from '../support/case.js';
import { Client } from '../support/client.js';
import { BOUNDS, Deployment, ENGINE, sleep } from '../support/deployment.js';
import { Engine } from '../support/engines.js';

const DAEMONS = 3;
const ENGINES = 10;
const ZONES = ['a', 'b', 'c'];
/** A part of a prompt that crashes each server that begins to write an answer on it. */
const HARMFUL_PART = 'dead01';
const HARMLESS_PART = '5afe01';
/** An application asks so many questions on one document at a time. */
const QUESTIONS = 5;
const ROUNDS = 6;
const ROUND_MS = 3_500;
const SOUND_INTERVAL_MS = 100;
const CRASHES_BEFORE_RULE = 5;
const MAX_LATE_ARRIVALS = 3;

runCase(async (record, hasTrouble) => {
  const deployment = await Deployment.create(record, { daemons: DAEMONS });
  const harmfulArrivalsMs: number[] = [];
  const crashesMs: number[] = [];
  deployment.addService('llm', { engine: ENGINE });
  deployment.addRoute('/draft/', 'streaming', 'llm', { gapAimMs: 180, targetLatencyMs: 1_800 });
  const part = hasTrouble ? HARMFUL_PART : HARMLESS_PART;
  for (let index = 0; index < ENGINES; index += 1) {
    const zone = ZONES[index % ZONES.length] ?? 'a';
    const engine = new Engine(deployment, record, `i-llm-${index}`, 'llm', zone, {
      crashesOn: ({ headers }) => headers.get('prompt-prefix')?.includes(HARMFUL_PART) ?? false,
      downMs: 2_500,
      eventMs: 30,
      events: 20,
      firstEventMs: 150,
      onArrival: ({ requestId }, atMs) => {
        if (requestId.startsWith('ask-')) {
          harmfulArrivalsMs.push(atMs);
        }
      },
      onCrash: (atMs) => {
        crashesMs.push(atMs);
      },
    });
    await engine.start();
  }
  deployment.publish();
  await deployment.startDaemons();
  await sleep(BOUNDS.stableWindowMs + 500);

  const hosts = deployment.daemons.map(({ host }) => host);
  let soundCount = 0;
  let soundLost = 0;
  const sendSound = async (): Promise<void> => {
    const number = soundCount;
    soundCount += 1;
    const client = new Client(hosts[number % DAEMONS] ?? '');
    const answer = await client.send(generation(`sound-${number}`, `50${number}`, `b0b0${number}`));
    client.close();
    if (!(answer.status === 200 && answer.isComplete)) {
      soundLost += 1;
      record.line(`client of sound-${number} gets status ${answer.status}, not complete`);
    }
  };
  const timer = setInterval(() => void sendSound(), SOUND_INTERVAL_MS);
  for (let round = 0; round < ROUNDS; round += 1) {
    await sleep(ROUND_MS);
    const asked = Array.from({ length: QUESTIONS }, async (_, question) => {
      const id = `ask-${round}-${question}`;
      const client = new Client(hosts[(round + question) % DAEMONS] ?? '');
      const answer = await client.send(generation(id, `c0${round}${question}`, part));
      record.line(`client of ${id} gets status ${answer.status}, complete: ${answer.isComplete}`);
      client.close();
    });
    await Promise.all(asked);
  }
  clearInterval(timer);
  await sleep(1_500);
  await deployment.stop();
  const fifthCrashMs = crashesMs[CRASHES_BEFORE_RULE - 1] ?? Infinity;
  const late = harmfulArrivalsMs.filter((atMs) => atMs > fifthCrashMs + BOUNDS.stableWindowMs);
  record.line(`${crashesMs.length} crashes; ${soundLost} of ${soundCount} sound streams were lost`);
  record.line(
    `${late.length} requests with the part reached servers later than ${BOUNDS.stableWindowMs} ms ` +
      `after the fifth crash; ${MAX_LATE_ARRIVALS} may`,
  );
  return late.length > MAX_LATE_ARRIVALS ? 'broken' : 'held';
});

function generation(
  id: string,
  ownPart: string,
  sharedPart: string,
): Parameters<Client['send']>[0] {
  return {
    body: JSON.stringify({ question: id }),
    headers: {
      'Length-Hint': '80',
      Model: 'm',
      'Prompt-Prefix': `${sharedPart}:400,${ownPart}:100`,
      'Token-Counts': '500,100',
    },
    id,
    path: '/draft/1',
  };
}
