import { runCase } from '../support/case.js';
import { Client } from '../support/client.js';
import { Deployment, sleep } from '../support/deployment.js';

/** Requests in progress at sound servers while the faulty server answers. */
const CALLERS = 8;
const WORK_MS = 1_500;
/** Sound answers of the faulty server before the spoilt one, which so is one in fifty. */
const SOUND_ANSWERS = 49;
/** A sound answer has a space at this place; one bit of it is lost on the way. */
const SPOILT_HEAD = 'Cache-Control: no-store,\0private';
const SOUND_HEAD = 'Cache-Control: no-store, private';

runCase(async (record, hasTrouble) => {
  const deployment = await Deployment.create(record, { daemons: 1 });
  const runs = new Map<string, number>();
  deployment.addService('desk');
  deployment.addService('shelf');
  deployment.addRoute('/book/', 'unsafe', 'desk');
  deployment.addRoute('/look/', 'safe', 'shelf');
  for (const [index, zone] of ['a', 'b'].entries()) {
    await deployment.addServer(`i-desk-${index}`, 'desk', zone, ({ reply, requestId }) => {
      record.line(`server i-desk-${index} runs ${requestId}`);
      runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
      setTimeout(() => {
        reply(200, `booked ${requestId}`);
      }, WORK_MS);
    });
  }
  let answers = 0;
  await deployment.addServer('i-shelf', 'shelf', 'a', ({ requestId, socket }) => {
    record.line(`server i-shelf runs ${requestId}`);
    answers += 1;
    const isSpoilt = hasTrouble && answers > SOUND_ANSWERS;
    const body = `found ${requestId}`;
    const lines = [
      'HTTP/1.1 200 OK',
      `Request-Id: ${requestId}`,
      `Response-Stamp: stamp-${requestId}`,
      isSpoilt ? SPOILT_HEAD : SOUND_HEAD,
      `Content-Length: ${body.length}`,
    ];
    socket.write(`${lines.join('\r\n')}\r\n\r\n${body}`, 'latin1');
  });
  deployment.publish();
  await deployment.startDaemons();
  const [daemon] = deployment.daemons;
  if (!daemon) {
    throw new Error('no daemon');
  }
  await sleep(3_500);

  const looker = new Client(daemon.host);
  for (let number = 1; number <= SOUND_ANSWERS; number += 1) {
    await looker.send({ id: `look-${number}`, path: '/look/1' });
  }
  const clients = Array.from({ length: CALLERS }, () => new Client(daemon.host));
  // The connections are kept: each has carried a request before.
  await Promise.all(
    clients.map((client, index) =>
      client.send({ body: '{}', id: `first-${index}`, path: '/book/1' }),
    ),
  );
  const bookings = clients.map(async (client, index) => {
    const id = `book-${index}`;
    record.line(`client sends ${id}`);
    const answer = await client.send({ body: '{}', id, path: '/book/1' });
    record.line(`client of ${id} gets status ${answer.status}, complete: ${answer.isComplete}`);
    return { answer, id };
  });
  await sleep(300);
  record.line('client sends look-last');
  const looked = await looker.send({ id: 'look-last', path: '/look/1' });
  record.line(`client of look-last gets status ${looked.status}, complete: ${looked.isComplete}`);
  const booked = await Promise.all(bookings);
  await sleep(300);
  const lost = booked.filter(({ answer, id }) => answer.status === 0 && runs.has(id));
  const hasEnded = !deployment.isAlive(daemon);
  record.line(`${lost.length} requests that ran at sound servers were never answered`);
  record.line(`the daemon ended by itself: ${hasEnded}`);
  await deployment.stop();
  return hasEnded || lost.length > 3 ? 'broken' : 'held';
});
