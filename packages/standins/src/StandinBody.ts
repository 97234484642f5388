import type { IncomingMessage } from 'node:http';

const MAX_BODY_BYTES = 4 * 1024 * 1024;

/**
 * Reads the body of a request.
 *
 * @param request - the request
 * @returns the text; undefined when it is larger than 4 MiB, empty when the caller disconnected
 */
export async function readBody(request: IncomingMessage): Promise<string | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request) {
      size += (chunk as Buffer).length;
      if (size > MAX_BODY_BYTES) {
        return undefined;
      }
      chunks.push(chunk as Buffer);
    }
  } catch {
    return '';
  }
  return Buffer.concat(chunks).toString('utf8');
}
