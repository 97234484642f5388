import { request } from 'undici';

const READY_POLL_MS = 50;
const READY_POLLS = 400;

/**
 * Polls the readiness check of a daemon until it succeeds.
 *
 * @param address - HOST:PORT of its HTTP server
 * @throws when it does not become ready in time
 */
export async function waitUntilDaemonReady(address: string): Promise<void> {
  for (let poll = 0; poll < READY_POLLS; poll += 1) {
    const response = await request(`http://${address}/readyz`).catch(() => undefined);
    await response?.body.dump();
    if (response?.statusCode === 200) {
      return;
    }
    await new Promise((resolve) => setTimeout(resolve, READY_POLL_MS));
  }
  throw new Error(`${address} does not become ready`);
}
