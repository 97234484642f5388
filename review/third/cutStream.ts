import { setTimeout as sleep } from 'node:timers/promises';
import { configuration } from './deployment.js';
import type { Fleet } from './fleet.js';
import { IS_CALM, runCase } from './fleet.js';
import { LeavingEngines } from './leavingEngines.js';

const STREAMS = 12;
const PROMPT_TOKENS = 3_000;
/** By the configuration: 18,432 bytes a token over 2,700 Mbit/s. */
const COPY_MS = (PROMPT_TOKENS * 18_432 * 8) / 2_700_000;
/** Every 20 ms, so that a stream takes 2.2 s. */
const EVENTS = 110;
const CALM_BEFORE_MS = 4_000;
const STOPPED_MACHINE = 1;
/** Times after the streams were sent. */
const STOP_AT_MS = 250;
const DRAIN_AT_MS = 450;

void runCase('13', async (fleet) => {
  const engines = new LeavingEngines(fleet, { copyMs: COPY_MS, endDelayMs: 0, isChunked: true });
  try {
    await engines.add('engine-1');
    fleet.store.put('op/config', configuration(7, { usual: ['key-usual'] }));
    await fleet.startAll();
    await sleep(CALM_BEFORE_MS);
    return await stop(fleet, engines);
  } finally {
    engines.stop();
  }
});

async function stop(fleet: Fleet, engines: LeavingEngines): Promise<number> {
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
          'Prompt-Prefix': `a1:40,${index + 10}:${PROMPT_TOKENS - 40}`,
          'Token-Counts': `${PROMPT_TOKENS},${4 * EVENTS}`,
        },
        id,
        key: 'key-usual',
        machine: STOPPED_MACHINE,
        path: `/draft/${id}`,
      })
      .then((answer) => ({ ...answer, id }));
  });
  await sleep(STOP_AT_MS);
  await engines.add('engine-2');
  await engines.add('engine-3');
  await engines.add('engine-4');
  fleet.signal(STOPPED_MACHINE, 'SIGTERM');
  await sleep(DRAIN_AT_MS - STOP_AT_MS);
  if (leaving && !IS_CALM) {
    engines.drain(leaving);
  }
  let lost = 0;
  for (const { body, id, isComplete, status } of await Promise.all(streams)) {
    const received = body.match(/^id: /gm)?.length ?? 0;
    const end = isComplete ? 'complete' : 'cut off';
    fleet.note(`${id}: ${status}, ${end} with ${received} of ${EVENTS} events`);
    if (!isComplete) {
      lost += 1;
      fleet.note(`LOST: ${id} was passed on and ends without a complete answer`);
    }
  }
  fleet.note(`${lost} of ${STREAMS} streams are cut off`);
  return lost;
}
