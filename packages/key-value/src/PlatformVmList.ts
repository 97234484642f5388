import type { ListedServer, Result, VmList, VmListError } from '@laburnumgap/kernel';
import { failure, success, toId } from '@laburnumgap/kernel';
import { z } from 'zod';
import { PlatformConnections } from './PlatformConnections.js';

/** Options of {@link createHttpVmList}. */
export interface HttpVmListOptions {
  readonly connectTimeoutMs?: number;
  readonly deadlineMs?: number;
  /** Base URL of the list. */
  readonly url: string;
}

const DEFAULT_CONNECT_TIMEOUT_MS = 1000;
const DEFAULT_DEADLINE_MS = 2000;
const HTTP_NOT_MODIFIED = 304;
const HTTP_OK = 200;
const MAX_CONNECTIONS = 2;

const idSchema = z.string().min(1).max(200);

const listedServerSchema = z
  .object({
    address: z.string().regex(/^https?:\/\/[^/\s]+/),
    backend: z.discriminatedUnion('kind', [
      z.object({ kind: z.literal('model'), pool: idSchema }),
      z.object({ kind: z.literal('service'), service: idSchema }),
    ]),
    failureDomain: idSchema,
    region: idSchema,
    serverId: idSchema,
    state: z.enum(['leaving', 'live']),
  })
  .transform((server): ListedServer => ({
    address: server.address,
    backend:
      server.backend.kind === 'model'
        ? { kind: 'model', pool: toId(server.backend.pool) }
        : { kind: 'service', service: toId(server.backend.service) },
    failureDomain: toId(server.failureDomain),
    region: toId(server.region),
    serverId: toId(server.serverId),
    state: server.state,
  }));

const listSchema = z.object({ vms: z.array(listedServerSchema) });

interface ReadList {
  readonly etag?: string;
  readonly servers: readonly ListedServer[];
}

/**
 * Creates a client of the platform's list of VMs. A list that does not read as a whole is refused.
 * Where the platform gives an ETag, an unchanged list is not sent again.
 *
 * @param options - URL and deadline
 * @returns the list
 */
export function createHttpVmList(options: HttpVmListOptions): VmList {
  const connections = new PlatformConnections({
    connectTimeoutMs: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
    deadlineMs: options.deadlineMs ?? DEFAULT_DEADLINE_MS,
    maxConnections: MAX_CONNECTIONS,
    url: options.url,
  });
  let last: ReadList | undefined;
  return {
    list: async () => {
      const known = last;
      const outcome = await connections.call({
        ifNoneMatch: known?.etag,
        method: 'GET',
        path: '/v1/vms',
      });
      if (outcome.kind !== 'answered') {
        return unavailable(outcome.detail);
      }
      if (outcome.status === HTTP_NOT_MODIFIED && known) {
        return success(known.servers);
      }
      if (outcome.status !== HTTP_OK) {
        return unavailable(`HTTP status ${outcome.status}`);
      }
      const read = readList(outcome.text);
      last = read.ok ? { etag: outcome.etag, servers: read.value } : undefined;
      return read;
    },
  };
}

function readList(text: string): Result<readonly ListedServer[], VmListError> {
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    return unavailable('the answer is not JSON');
  }
  const checked = listSchema.safeParse(body);
  if (!checked.success) {
    const [issue] = checked.error.issues;
    const place = issue?.path.join('.') ?? '';
    return unavailable(`the list is malformed: ${place}: ${issue?.message ?? ''}`);
  }
  return success(checked.data.vms);
}

function unavailable(detail: string): Result<never, VmListError> {
  return failure({ detail, kind: 'vmListUnavailable' });
}
