import type { Refusal, Teardown } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import { ADMIT_FIRST_EVENT_TIMEOUT_MS, NO_ENGINE_RETRY_MS } from './RouterConstants.js';
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
  onPreemptionRequested(listener: () => void): void;
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
    const cleanups: Teardown[] = [];
    let settled = false;
    const preemption = new PreemptionRequest();

    const settle = (outcome: AdmissionOutcome): void => {
      if (settled) {
        return;
      }
      settled = true;
      for (const cleanup of cleanups) {
        cleanup();
      }
      if (outcome.kind !== 'granted') {
        reservation.release();
      }
      resolve(outcome);
    };
    const onEvent = (event: AdmissionEvent): void => {
      stopFirstEventTimer();
      if (event.kind === 'preempt') {
        preemption.request();
        return;
      }
      if (event.kind === 'granted') {
        settle({
          kind: 'granted',
          reservation: toGrantedReservation(event, preemption, () => reservation),
        });
        return;
      }
      if (event.kind !== 'queued') {
        settle(event);
      }
    };
    const onAbort = (): void => {
      settle({ kind: 'aborted' });
    };

    const stopFirstEventTimer = timers.after(ADMIT_FIRST_EVENT_TIMEOUT_MS, () => {
      settle({ detail: 'the scheduler did not answer', kind: 'lost' });
    });
    const stopWaitTimer = timers.after(request.waitBoundMs, () => {
      const detail = `no place within ${request.waitBoundMs} ms`;
      const boundRefusal = refusal('DEADLINE_BEFORE_RUN', detail, NO_ENGINE_RETRY_MS);
      settle({ kind: 'refused', refusal: boundRefusal });
    });
    signal.addEventListener('abort', onAbort, { once: true });
    cleanups.push(stopFirstEventTimer, stopWaitTimer, () => {
      signal.removeEventListener('abort', onAbort);
    });
    const reservation = admission.admit(request, onEvent);
  });
}

/** An order to move, which may come before anybody listens for it. */
class PreemptionRequest {
  #isRequested = false;
  #listener: (() => void) | undefined;

  onRequested(listener: () => void): void {
    this.#listener = listener;
    if (this.#isRequested) {
      listener();
    }
  }

  request(): void {
    this.#isRequested = true;
    this.#listener?.();
  }
}

/** The reservation is asked for when it is released: the grant may come while it is being made. */
function toGrantedReservation(
  event: Extract<AdmissionEvent, { kind: 'granted' }>,
  preemption: PreemptionRequest,
  getReservation: () => Reservation,
): GrantedReservation {
  const { enginePriority, engineUrl } = event;
  return {
    enginePriority,
    engineUrl,
    onPreemptionRequested: (listener) => {
      preemption.onRequested(listener);
    },
    release: () => {
      getReservation().release();
    },
  };
}
