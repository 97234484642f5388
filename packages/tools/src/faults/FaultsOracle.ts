/** Kinds of violated invariants. */
export type ViolationKind =
  | 'answerEndedEarly'
  | 'answerLost'
  | 'bothOperatorsAccepted'
  | 'configurationBehind'
  | 'configurationReverted'
  | 'crossedAnswer'
  | 'exitCode'
  | 'moreThanOneEffect'
  | 'refusalRan'
  | 'tokenGap'
  | 'tokenRepeated'
  | 'tokenWrong'
  | 'unanswered'
  | 'workAfterStop';

/** A violation of an invariant. */
export interface Violation {
  readonly detail: string;
  readonly kind: ViolationKind;
}

/** Counts checks and other events and collects violations. */
export class FaultsOracle {
  readonly #counts = new Map<string, number>();
  readonly #violations: Violation[] = [];

  /** Adds to a counter of checks, answers or injected faults. */
  count(name: string, by = 1): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + by);
  }

  /** Returns all counters, sorted by name. */
  counts(): readonly (readonly [string, number])[] {
    return [...this.#counts].sort(([a], [b]) => a.localeCompare(b));
  }

  /** Records a violation. */
  recordViolation(kind: ViolationKind, detail: string): void {
    this.#violations.push({ detail, kind });
  }

  /** Returns all violations in order of detection. */
  violations(): readonly Violation[] {
    return this.#violations;
  }
}
