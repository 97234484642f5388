import { createHash } from 'node:crypto';
import { z } from 'zod';
import type { StandinAnswer, StandinRequest, StandinServer } from './StandinServer.js';
import { startStandinServer, whole } from './StandinServer.js';
import { FaultSwitches } from './StandinFaults.js';

/** Schema of the list, in a file or the body of `POST /control/vms`. */
export const vmsSchema = z.strictObject({
  vms: z.array(
    z.strictObject({
      address: z.string(),
      backend: z.discriminatedUnion('kind', [
        z.strictObject({ kind: z.literal('model'), pool: z.string() }),
        z.strictObject({ kind: z.literal('service'), service: z.string() }),
      ]),
      failureDomain: z.string(),
      region: z.string(),
      serverId: z.string(),
      state: z.enum(['leaving', 'live']).default('live'),
    }),
  ),
});

/** The list as it is served. */
export type StandinVms = z.infer<typeof vmsSchema>;

/** Options of {@link startVmsStandin}. */
export interface VmsStandinOptions {
  readonly initial?: StandinVms;
  readonly kill?: () => void;
  readonly listen: string;
}

interface TimedList {
  readonly atMs: number;
  readonly list: StandinVms;
}

/**
 * Starts a stand-in of the platform's list of VMs.
 *
 * @param options - address and first list
 * @returns the running stand-in
 * @throws when the address cannot be bound
 */
export async function startVmsStandin(options: VmsStandinOptions): Promise<StandinServer> {
  const faults = new FaultSwitches();
  const history: TimedList[] = [{ atMs: -Infinity, list: options.initial ?? { vms: [] } }];
  return startStandinServer({
    control: (request) => (request.path === '/control/vms' ? replace(request, history) : undefined),
    faults,
    handle: (request) => {
      if (request.path !== '/v1/vms') {
        return whole(404, { error: 'unknownPath' });
      }
      const seenAtMs = performance.now() - faults.lagMs;
      const { list } = history.findLast((timed) => timed.atMs <= seenAtMs) ?? {};
      return answerOf(list, request.headers['if-none-match']);
    },
    kill: options.kill,
    listen: options.listen,
  });
}

/** An unchanged list is not sent again. */
function answerOf(list: StandinVms | undefined, ifNoneMatch: string | undefined): StandinAnswer {
  const etag = `"${createHash('sha256').update(JSON.stringify(list)).digest('hex')}"`;
  const headers = { etag };
  return ifNoneMatch === etag
    ? { headers, kind: 'whole', status: 304 }
    : { headers, json: list, kind: 'whole', status: 200 };
}

function replace(request: StandinRequest, history: TimedList[]): StandinAnswer {
  if (request.method === 'GET') {
    return whole(200, history.at(-1)?.list);
  }
  const list = vmsSchema.safeParse(JSON.parse(request.body));
  if (!list.success) {
    return whole(400, { error: list.error.issues[0]?.message });
  }
  history.push({ atMs: performance.now(), list: list.data });
  return whole(200, {});
}
