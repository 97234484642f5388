import { createHash } from 'node:crypto';
import { z } from 'zod';
import type { StandinAnswer, StandinRequest, StandinServer } from './StandinServer.js';
import { jsonAnswer, startStandinServer } from './StandinServer.js';
import { FaultInjector } from './StandinFaults.js';

/** Schema of the VM list, in a file or as the body of `POST /control/vms`. */
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

/** The VM list, as `GET /v1/vms` serves it. */
export type StandinVms = z.infer<typeof vmsSchema>;

/** Options of {@link startVmsStandin}. */
export interface VmsStandinOptions {
  /** Initial list; empty by default. */
  readonly initial?: StandinVms;
  /** Ends the process; without it, a kill closes the server and its connections. */
  readonly kill?: () => void;
  /** IP:PORT to listen on; port 0 takes a free port. */
  readonly listen: string;
}

interface ListVersion {
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
  const faults = new FaultInjector();
  const history: ListVersion[] = [{ atMs: -Infinity, list: options.initial ?? { vms: [] } }];
  return startStandinServer({
    control: (call) => (call.path === '/control/vms' ? controlList(call, history) : undefined),
    faults,
    handle: (request) => {
      if (request.path !== '/v1/vms') {
        return jsonAnswer(404, { error: 'unknownPath' });
      }
      const asOfMs = performance.now() - faults.lagMs;
      const { list } = history.findLast((version) => version.atMs <= asOfMs) ?? {};
      return listAnswer(list, request.headers['if-none-match']);
    },
    kill: options.kill,
    listen: options.listen,
  });
}

/** Answers with the list and its ETag, or with 304 when the caller already has it. */
function listAnswer(list: StandinVms | undefined, ifNoneMatch: string | undefined): StandinAnswer {
  const etag = `"${createHash('sha256').update(JSON.stringify(list)).digest('hex')}"`;
  const headers = { etag };
  return ifNoneMatch === etag
    ? { headers, kind: 'json', status: 304 }
    : { headers, json: list, kind: 'json', status: 200 };
}

/** Handles `/control/vms`: GET returns the latest list, POST replaces it. */
function controlList(request: StandinRequest, history: ListVersion[]): StandinAnswer {
  if (request.method === 'GET') {
    return jsonAnswer(200, history.at(-1)?.list);
  }
  const list = vmsSchema.safeParse(JSON.parse(request.body));
  if (!list.success) {
    return jsonAnswer(400, { error: list.error.issues[0]?.message });
  }
  history.push({ atMs: performance.now(), list: list.data });
  return jsonAnswer(200, {});
}
