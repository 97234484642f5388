import { createServer } from 'node:http';

/**
 * Server process that answers bookings with neither a length nor chunks: the first half at once, the rest
 * later. Tells its parent on standard output what it does.
 */
const [, , serverId = '', port = '0'] = process.argv;
const REST_AFTER_MS = 1_200;

/** Halves of the answer to a request. */
function halvesOf(id: string): readonly [string, string] {
  return [`booking ${id}: crew 7, `, 'Tuesday 9 o’clock, confirmed'];
}

function tell(text: string): void {
  process.stdout.write(`${text}\n`);
}

const server = createServer((request, response) => {
  request.resume();
  request.on('end', () => {
    const { headers } = request;
    const id = String(headers['request-id']);
    if (headers['expect-instance'] !== serverId) {
      response.writeHead(421, { 'Instance-Id': serverId }).end();
      return;
    }
    const [first, rest] = halvesOf(id);
    tell(`${serverId} runs ${id}`);
    response.useChunkedEncodingByDefault = false;
    response.writeHead(200, {
      Connection: 'close',
      'Content-Type': 'text/plain',
      'Request-Id': id,
      'Response-Stamp': `stamp-${serverId}`,
    });
    response.write(first);
    tell(`${serverId} has sent the first half of its answer to ${id}`);
    setTimeout(() => {
      response.end(rest);
      tell(`${serverId} has sent its whole answer to ${id}`);
    }, REST_AFTER_MS);
  });
});
server.listen(Number(port), '127.0.0.1', () => {
  tell(`${serverId} listens`);
});
