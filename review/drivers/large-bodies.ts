import { readFileSync } from 'node:fs';
import { runCase } from '../support/case.js';
import { Client } from '../support/client.js';
import type { Daemon } from '../support/deployment.js';
import { BOUNDS, Deployment, MAX_BODY_BYTES, MEMORY_MB, sleep } from '../support/deployment.js';

/** Clients that upload at the same time, as usual and in a burst of 2.5 times. */
const USUAL_UPLOADS = 10;
const BURST_FACTOR = 2.5;
/** Requests in progress at sound servers meanwhile, on kept connections. */
const BOOKINGS = 8;
const BOOKING_MS = 3_000;
const UPLOAD_WORK_MS = 300;
const MEMORY_CHECK_MS = 20;
const BYTES_PER_KB = 1_024;
const BYTES_PER_MB = 1_048_576;
const MAX_LOST = 3;

runCase(async (record, hasTrouble) => {
  const deployment = await Deployment.create(record, { daemons: 2 });
  const runs = new Set<string>();
  deployment.addService('desk');
  deployment.addRoute('/book/', 'unsafe', 'desk');
  deployment.addRoute('/upload/', 'unsafe', 'desk');
  for (const [index, zone] of ['a', 'b', 'c'].entries()) {
    await deployment.addServer(`i-desk-${index}`, 'desk', zone, ({ path, reply, requestId }) => {
      record.line(`server i-desk-${index} runs ${requestId}`);
      runs.add(requestId);
      setTimeout(
        () => {
          reply(200, `done ${requestId}`);
        },
        path.startsWith('/upload/') ? UPLOAD_WORK_MS : BOOKING_MS,
      );
    });
  }
  deployment.publish();
  await deployment.startDaemons();
  const [daemon] = deployment.daemons;
  if (!daemon) {
    throw new Error('no daemon');
  }
  await sleep(BOUNDS.stableWindowMs + 500);

  const clients = Array.from({ length: BOOKINGS }, () => new Client(daemon.host));
  const firsts = clients.map((client, index) =>
    client.send({ body: '{}', id: `first-${index}`, path: '/upload/1' }),
  );
  await Promise.all(firsts);
  const usedBytes = memoryOf(daemon);
  record.line(`${daemon.name} uses ${Math.round(usedBytes / BYTES_PER_MB)} MB`);
  const memory = { isExceeded: false, peakBytes: 0 };
  // The platform: a process that exceeds its memory is killed.
  const timer = setInterval(() => {
    if (!deployment.isAlive(daemon)) {
      return;
    }
    memory.peakBytes = Math.max(memory.peakBytes, memoryOf(daemon));
    if (memory.peakBytes > MEMORY_MB * BYTES_PER_MB && !memory.isExceeded) {
      memory.isExceeded = true;
      record.line(
        `${daemon.name} uses ${Math.round(memory.peakBytes / BYTES_PER_MB)} MB, more than ${MEMORY_MB}: ` +
          'the platform kills it',
      );
      daemon.child.kill('SIGKILL');
    }
  }, MEMORY_CHECK_MS);

  const bookings = clients.map(async (client, index) => {
    const id = `book-${index}`;
    record.line(`client sends ${id} on its kept connection`);
    const answer = await client.send({ body: '{}', id, path: '/book/1' });
    record.line(`client of ${id} gets status ${answer.status}`);
    return { id, status: answer.status };
  });
  await sleep(500);
  const count = hasTrouble ? USUAL_UPLOADS * BURST_FACTOR : USUAL_UPLOADS;
  record.line(`${count} clients upload ${MAX_BODY_BYTES} bytes each`);
  const body = Buffer.alloc(MAX_BODY_BYTES, 'x');
  const uploads = Array.from({ length: count }, async (_, index) => {
    const id = `upload-${index}`;
    const client = new Client(daemon.host);
    const answer = await client.send({ body, id, path: '/upload/1' });
    record.line(`client of ${id} gets status ${answer.status}`);
    client.close();
  });
  const booked = await Promise.all(bookings);
  await Promise.all(uploads);
  clearInterval(timer);
  await deployment.stop();
  const lost = booked.filter(({ id, status }) => status === 0 && runs.has(id)).length;
  record.line(`peak memory: ${Math.round(memory.peakBytes / BYTES_PER_MB)} MB of ${MEMORY_MB}`);
  record.line(`${lost} requests from kept connections that ran were never answered; 3 may be`);
  return memory.isExceeded && lost > MAX_LOST ? 'broken' : 'held';
});

/** Memory that belongs to the process alone, without its program and libraries. */
function memoryOf({ child }: Daemon): number {
  const status = readFileSync(`/proc/${child.pid ?? 0}/status`, 'utf8');
  return Number(/^RssAnon:\s*(\d+) kB$/m.exec(status)?.[1] ?? 0) * BYTES_PER_KB;
}
