import type { EngineRefusal } from './EngineStandinCore.js';
import type { OrderOutcome } from './EngineStandinOrders.js';
import type { StandinAnswer } from './StandinServer.js';
import { jsonAnswer } from './StandinServer.js';

const REFUSAL_STATUS: Readonly<Record<EngineRefusal, number>> = {
  cannotContinue: 422,
  leaving: 503,
  queueFull: 429,
  superseded: 409,
  unknownGeneration: 404,
  unknownModel: 404,
};

/** HTTP status of each outcome of an order. */
export const ORDER_STATUS: Readonly<Record<OrderOutcome, number>> = {
  inForce: 200,
  staleFencingNumber: 409,
  weightsUnavailable: 503,
};

/**
 * Builds the answer of a call that the engine refuses.
 *
 * @param refusal - the reason
 * @returns the answer
 */
export function refusalAnswer(refusal: EngineRefusal): StandinAnswer {
  return jsonAnswer(REFUSAL_STATUS[refusal], { error: refusal });
}

/**
 * Parses a request body.
 *
 * @param text - JSON text
 * @returns the value, or undefined when it is not JSON
 */
export function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
