import { setTimeout as sleep } from 'node:timers/promises';
import { configuration } from './deployment.js';
import type { Fleet } from './fleet.js';
import { IS_CALM, runCase } from './fleet.js';
import { LeavingEngines } from './leavingEngines.js';

/** A lost segment is sent again after 200 ms and more. */
const END_DELAY_MS = 300;
const STREAMS = 6;
const EVENTS = 150;
const CALM_BEFORE_MS = 4_000;
const BEFORE_LEAVING_MS = 500;

void runCase('11', async (fleet) => {
  const engines = new LeavingEngines(fleet, {
    copyMs: 0,
    endDelayMs: IS_CALM ? 0 : END_DELAY_MS,
    isChunked: false,
  });
  try {
    await engines.add('engine-1');
    fleet.store.put('op/config', configuration(7, { usual: ['key-usual'] }));
    await fleet.startAll();
    await sleep(CALM_BEFORE_MS);
    return await leave(fleet, engines);
  } finally {
    engines.stop();
  }
});

async function leave(fleet: Fleet, engines: LeavingEngines): Promise<number> {
  const [leaving] = engines.engines;
  const streams = Array.from({ length: STREAMS }, (_, index) => {
    const id = `stream-${index + 1}`;
    return fleet
      .call({
        body: '{}',
        deadlineMs: 39_000,
        headers: {
          'Length-Hint': String(4 * EVENTS),
          Model: 'm',
          'Prompt-Prefix': `a1:40,${index + 10}:60`,
          'Token-Counts': `100,${4 * EVENTS}`,
        },
        id,
        key: 'key-usual',
        machine: index + 1,
        path: `/draft/${id}`,
      })
      .then((answer) => ({ ...answer, id }));
  });
  await sleep(BEFORE_LEAVING_MS);
  await engines.add('engine-2');
  await engines.add('engine-3');
  await engines.add('engine-4');
  await sleep(BEFORE_LEAVING_MS);
  if (leaving) {
    engines.drain(leaving);
  }
  let broken = 0;
  for (const { body, id, isComplete, status } of await Promise.all(streams)) {
    const received = [...body.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
    const isOrdered = received.every((event, index) => event === index + 1);
    const isShort = received.length < EVENTS;
    const end = isComplete ? 'a complete answer' : 'an answer that was cut off';
    fleet.note(`${id}: ${status}, ${end} with ${received.length} of ${EVENTS} events`);
    if (status === 200 && isComplete && (isShort || !isOrdered)) {
      broken += 1;
      fleet.note(`ORDER: ${id} ends as complete before its last piece`);
    }
  }
  fleet.note(`${broken} of ${STREAMS} streams end as complete too early`);
  return broken;
}
