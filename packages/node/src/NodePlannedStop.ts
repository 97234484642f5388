import type { ConfigurationView, PlannedStop } from '@laburnumgap/contracts';
import type { Teardown, WallClock } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import type { DaemonSettings } from '@laburnumgap/settings';
import { plannedStopOf } from '@laburnumgap/stops';

/** Options of {@link startPlannedStopCheck}. */
export interface PlannedStopCheckOptions {
  readonly clock?: WallClock;
  readonly configuration: ConfigurationView;
  /** Called at most once, when a planned stop that covers this daemon has begun. */
  readonly onStop: (stop: PlannedStop) => void;
  readonly settings: DaemonSettings['member'];
  /** Starts a periodic timer; by default `setInterval`. */
  readonly startInterval?: (intervalMs: number, run: () => void) => Teardown;
}

const CHECK_INTERVAL_MS = 1_000;

/**
 * Checks regularly, and after each configuration change, for a planned stop of this daemon's entry VM
 * or failure domain.
 *
 * @param options - configuration, location of the daemon and callback
 * @returns a function that ends the checks
 */
export function startPlannedStopCheck(options: PlannedStopCheckOptions): Teardown {
  const { configuration, onStop, settings } = options;
  const clock = options.clock ?? { nowEpochMs: () => Date.now() };
  const startInterval = options.startInterval ?? startTimer;
  let isFinished = false;
  const check = (): void => {
    const stop = plannedStopOf(
      configuration.snapshot().stops,
      toId(settings.entryVm),
      toId(settings.failureDomain),
      clock.nowEpochMs(),
    );
    if (stop && !isFinished) {
      isFinished = true;
      onStop(stop);
    }
  };
  const stopTimer = startInterval(CHECK_INTERVAL_MS, check);
  const unsubscribe = configuration.onChange(check);
  return () => {
    isFinished = true;
    stopTimer();
    unsubscribe();
  };
}

function startTimer(intervalMs: number, run: () => void): Teardown {
  const timer = setInterval(run, intervalMs);
  return () => {
    clearInterval(timer);
  };
}
