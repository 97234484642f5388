import type { ListedServer, Result, VmList, VmListError } from '@laburnumgap/kernel';
import { failure, success, toId } from '@laburnumgap/kernel';
import { z } from 'zod';
import { PlatformHttpClient } from './PlatformHttpClient.js';

/** Options of {@link createHttpVmList}. */
export interface HttpVmListOptions {
  readonly connectTimeoutMs?: number;
  readonly deadlineMs?: number;
  /** Base URL of the platform's VM list API. */
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

interface CachedList {
  readonly etag?: string;
  readonly servers: readonly ListedServer[];
}

/**
 * Creates a client of the platform's VM list. A list with any malformed entry is rejected as a
 * whole. If the platform sends ETags, an unchanged list is not transferred again.
 *
 * @param options - URL and timeouts
 * @returns the client
 */
export function createHttpVmList(options: HttpVmListOptions): VmList {
  const httpClient = new PlatformHttpClient({
    connectTimeoutMs: options.connectTimeoutMs ?? DEFAULT_CONNECT_TIMEOUT_MS,
    deadlineMs: options.deadlineMs ?? DEFAULT_DEADLINE_MS,
    maxConnections: MAX_CONNECTIONS,
    url: options.url,
  });
  let cachedList: CachedList | undefined;
  return {
    list: async () => {
      const cached = cachedList;
      const outcome = await httpClient.call({
        ifNoneMatch: cached?.etag,
        method: 'GET',
        path: '/v1/vms',
      });
      if (outcome.kind !== 'answered') {
        return unavailable(outcome.detail);
      }
      if (outcome.status === HTTP_NOT_MODIFIED && cached) {
        return success(cached.servers);
      }
      if (outcome.status !== HTTP_OK) {
        return unavailable(`HTTP status ${outcome.status}`);
      }
      const parsed = parseList(outcome.text);
      cachedList = parsed.ok ? { etag: outcome.etag, servers: parsed.value } : undefined;
      return parsed;
    },
  };
}

function parseList(text: string): Result<readonly ListedServer[], VmListError> {
  let body: unknown;
  try {
    body = JSON.parse(text);
  } catch {
    return unavailable('the response is not JSON');
  }
  const validated = listSchema.safeParse(body);
  if (!validated.success) {
    const [issue] = validated.error.issues;
    const issuePath = issue?.path.join('.') ?? '';
    return unavailable(`the list is malformed: ${issuePath}: ${issue?.message ?? ''}`);
  }
  return success(validated.data.vms);
}

function unavailable(detail: string): Result<never, VmListError> {
  return failure({ detail, kind: 'vmListUnavailable' });
}
