import type { StandinAnswer, StandinRequest, StandinServer } from './StandinServer.js';
import { jsonAnswer, startStandinServer } from './StandinServer.js';

/** Options of {@link startServiceStandin}. */
export interface ServiceStandinOptions {
  /** Ends the process; without it, a kill closes the server and its connections. */
  readonly kill?: () => void;
  /** IP:PORT to listen on; port 0 takes a free port. */
  readonly listen: string;
}

/** How often each call took effect since the start. */
export interface ServiceEffects {
  /** Number of effects by method and path. */
  readonly byCall: Readonly<Record<string, number>>;
  /** Number of effects by Idempotency-Key, for calls that carry one. */
  readonly byKey: Readonly<Record<string, number>>;
}

/**
 * Starts a stand-in of a plain service. Every call takes effect, also one with a repeated key.
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
      request.path === '/control/effects' ? jsonAnswer(200, { byCall, byKey }) : undefined,
    handle: (request) => recordEffect(request, byCall, byKey),
    kill: options.kill,
    listen: options.listen,
  });
}

function recordEffect(
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
  return jsonAnswer(200, { body, call, effect, key: key ?? null });
}
