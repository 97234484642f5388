/** What may not happen. */
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

/** One violation of what must always hold. */
export interface Violation {
  readonly detail: string;
  readonly kind: ViolationKind;
}

/** Counts what was checked and collects violations. */
export class FaultsOracle {
  readonly #counts = new Map<string, number>();
  readonly #violations: Violation[] = [];

  /** Counts something that was brought about, seen or checked. */
  count(name: string, by = 1): void {
    this.#counts.set(name, (this.#counts.get(name) ?? 0) + by);
  }

  /** All counts, sorted by name. */
  counts(): readonly (readonly [string, number])[] {
    return [...this.#counts].sort(([a], [b]) => a.localeCompare(b));
  }

  /** Notes a violation. */
  violate(kind: ViolationKind, detail: string): void {
    this.#violations.push({ detail, kind });
  }

  /** All violations in the order in which they were seen. */
  violations(): readonly Violation[] {
    return this.#violations;
  }
}
