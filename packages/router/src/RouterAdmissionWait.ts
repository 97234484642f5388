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

/** A granted reservation at an engine. */
export interface GrantedReservation extends Reservation {
  readonly enginePriority: number;
  readonly engineUrl: string;
  /** Calls the listener when the scheduler reclaims the memory; at once if it already has. */
  onPreemptionRequested(listener: () => void): void;
}

/** How a wait for admission ended. */
export type AdmissionOutcome =
  | { readonly kind: 'aborted' }
  | { readonly kind: 'granted'; readonly reservation: GrantedReservation }
  /** The scheduler did not answer or the call broke; another scheduler may be asked. */
  | { readonly detail: string; readonly kind: 'lost' }
  | { readonly kind: 'refused'; readonly refusal: Refusal };

/** Options of {@link waitForAdmission}. */
export interface AdmissionWaitOptions {
  readonly admission: AdmissionPort;
  readonly request: AdmissionRequest;
  readonly signal: AbortSignal;
  readonly timers: Timers;
}

/**
 * Requests admission and waits until it is granted or refused, the scheduler is lost, the waiting
 * bound passes or the signal aborts.
 *
 * @param options - the request and its dependencies
 * @returns the outcome; only a grant leaves a reservation, which the caller must release
 */
export function waitForAdmission(options: AdmissionWaitOptions): Promise<AdmissionOutcome> {
  const { admission, request, signal, timers } = options;
  if (signal.aborted) {
    return Promise.resolve({ kind: 'aborted' });
  }
  return new Promise((resolve) => {
    const cleanups: Teardown[] = [];
    let isSettled = false;
    const preemption = new PreemptionRequest();

    const settle = (outcome: AdmissionOutcome): void => {
      if (isSettled) {
        return;
      }
      isSettled = true;
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
        preemption.markRequested();
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
      const detail = `not admitted within ${request.waitBoundMs} ms`;
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

/** A preemption request of the scheduler, which may arrive before a listener is set. */
class PreemptionRequest {
  #isRequested = false;
  #listener: (() => void) | undefined;

  onRequested(listener: () => void): void {
    this.#listener = listener;
    if (this.#isRequested) {
      listener();
    }
  }

  markRequested(): void {
    this.#isRequested = true;
    this.#listener?.();
  }
}

/** The reservation is read only on release: the grant may arrive before `admit` has returned it. */
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
