import type { Refusal, Teardown } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import { ADMIT_FIRST_EVENT_MS, NO_ENGINE_RETRY_MS } from './RouterConstants.js';
import type {
  AdmissionEvent,
  AdmissionPort,
  AdmissionRequest,
  Reservation,
} from './RouterPorts.js';
import type { Timers } from './RouterTimers.js';

/** A granted place at an engine. */
export interface GrantedReservation extends Reservation {
  readonly enginePriority: number;
  readonly engineUrl: string;
  /** Calls the listener when the scheduler wants the memory back; at once if it did already. */
  onMoveOrdered(listener: () => void): void;
}

/** How a wait for admission ended. */
export type AdmissionOutcome =
  | { readonly kind: 'aborted' }
  | { readonly kind: 'granted'; readonly reservation: GrantedReservation }
  /** The scheduler is gone; another one may be asked. */
  | { readonly detail: string; readonly kind: 'lost' }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** What a wait for admission is made with. */
export interface AdmissionWaitOptions {
  readonly admission: AdmissionPort;
  readonly request: AdmissionRequest;
  readonly signal: AbortSignal;
  readonly timers: Timers;
}

/**
 * Asks for admission and waits until it is granted or refused, the scheduler is lost, the waiting
 * bound passes or the caller goes away.
 *
 * @param options - the request and what it is made with
 * @returns how the wait ended; only a granted one leaves a reservation behind
 */
export function waitForAdmission(options: AdmissionWaitOptions): Promise<AdmissionOutcome> {
  const { admission, request, signal, timers } = options;
  if (signal.aborted) {
    return Promise.resolve({ kind: 'aborted' });
  }
  return new Promise((resolve) => {
    const stops: Teardown[] = [];
    let settled = false;
    const move = new MoveOrder();

    const settle = (outcome: AdmissionOutcome): void => {
      if (settled) {
        return;
      }
      settled = true;
      for (const stop of stops) {
        stop();
      }
      if (outcome.kind !== 'granted') {
        reservation.release();
      }
      resolve(outcome);
    };
    const onEvent = (event: AdmissionEvent): void => {
      stopFirstEvent();
      if (event.kind === 'preempt') {
        move.order();
        return;
      }
      if (event.kind === 'granted') {
        settle({ kind: 'granted', reservation: grantedOf(event, move, () => reservation) });
        return;
      }
      if (event.kind !== 'queued') {
        settle(event);
      }
    };
    const onAbort = (): void => {
      settle({ kind: 'aborted' });
    };

    const stopFirstEvent = timers.after(ADMIT_FIRST_EVENT_MS, () => {
      settle({ detail: 'the scheduler did not answer', kind: 'lost' });
    });
    const stopBound = timers.after(request.waitBoundMs, () => {
      const detail = `no place within ${request.waitBoundMs} ms`;
      const refused = refusal('DEADLINE_BEFORE_RUN', detail, NO_ENGINE_RETRY_MS);
      settle({ kind: 'refused', refusal: refused });
    });
    signal.addEventListener('abort', onAbort, { once: true });
    stops.push(stopFirstEvent, stopBound, () => {
      signal.removeEventListener('abort', onAbort);
    });
    const reservation = admission.admit(request, onEvent);
  });
}

/** An order to move, which may come before anybody listens for it. */
class MoveOrder {
  #isOrdered = false;
  #listener: (() => void) | undefined;

  onOrdered(listener: () => void): void {
    this.#listener = listener;
    if (this.#isOrdered) {
      listener();
    }
  }

  order(): void {
    this.#isOrdered = true;
    this.#listener?.();
  }
}

/** The reservation is asked for when it is released: the grant may come while it is being made. */
function grantedOf(
  event: Extract<AdmissionEvent, { kind: 'granted' }>,
  move: MoveOrder,
  reservationOf: () => Reservation,
): GrantedReservation {
  const { enginePriority, engineUrl } = event;
  return {
    enginePriority,
    engineUrl,
    onMoveOrdered: (listener) => {
      move.onOrdered(listener);
    },
    release: () => {
      reservationOf().release();
    },
  };
}
