import type { StandinAnswer, StandinRequest, StandinServer } from './StandinServer.js';
import { startStandinServer, whole } from './StandinServer.js';

/** Options of {@link startServiceStandin}. */
export interface ServiceStandinOptions {
  readonly kill?: () => void;
  readonly listen: string;
}

/** Effects since the start: how often each call took effect. */
export interface ServiceEffects {
  /** By method and path. */
  readonly byCall: Readonly<Record<string, number>>;
  /** By Idempotency-Key, for calls that carry one. */
  readonly byKey: Readonly<Record<string, number>>;
}

/**
 * Starts a stand-in of a plain service. Each call takes effect; nothing is deduplicated.
 *
 * @param options - address
 * @returns the running stand-in
 * @throws when the address cannot be bound
 */
export async function startServiceStandin(options: ServiceStandinOptions): Promise<StandinServer> {
  const byCall: Record<string, number> = {};
  const byKey: Record<string, number> = {};
  return startStandinServer({
    control: (request) =>
      request.path === '/control/effects' ? whole(200, { byCall, byKey }) : undefined,
    handle: (request) => takeEffect(request, byCall, byKey),
    kill: options.kill,
    listen: options.listen,
  });
}

function takeEffect(
  request: StandinRequest,
  byCall: Record<string, number>,
  byKey: Record<string, number>,
): StandinAnswer {
  const call = `${request.method} ${request.path}`;
  const effect = (byCall[call] ?? 0) + 1;
  byCall[call] = effect;
  const key = request.headers['idempotency-key'];
  if (typeof key === 'string') {
    byKey[key] = (byKey[key] ?? 0) + 1;
  }
  const body = request.body === '' ? null : request.body;
  return whole(200, { body, call, effect, key: key ?? null });
}
