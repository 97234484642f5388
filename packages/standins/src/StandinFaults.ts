import type { Result } from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import { z } from 'zod';

const pathFilterShape = {
  /** Prefix of the paths that the fault applies to; all paths by default. */
  path: z.string().optional(),
};

/** Schema of a fault, the body of `POST /control/fault`. */
export const faultSchema = z.discriminatedUnion('kind', [
  /** Ends every fault, except for processes that were killed and connections that went silent. */
  z.strictObject({ kind: z.literal('clear') }),
  /** Exits immediately or, on an engine, once a running generation has `afterTokens` tokens. */
  z.strictObject({ afterTokens: z.number().int().min(0).optional(), kind: z.literal('kill') }),
  /** Answers nothing but control calls, for `forMs` or until the fault is cleared. */
  z.strictObject({ forMs: z.number().positive().optional(), kind: z.literal('freeze') }),
  /** Nothing more is sent on the connections that are open now; new connections work. */
  z.strictObject({ afterTokens: z.number().int().min(0).optional(), kind: z.literal('silent') }),
  /** Delays the answers of matching calls; a delay of 0 ends the fault. */
  z.strictObject({ delayMs: z.number().min(0), kind: z.literal('slow'), ...pathFilterShape }),
  /** The next `count` matching calls take effect, then their connection is reset unanswered. */
  z.strictObject({
    count: z.number().int().positive().default(1),
    kind: z.literal('loseAnswer'),
    ...pathFilterShape,
  }),
  /** The next `count` matching calls, or all without it, get 503 and have no effect. */
  z.strictObject({
    count: z.number().int().positive().optional(),
    kind: z.literal('refuse'),
    ...pathFilterShape,
  }),
  /**
   * Load reports, cache events and the VM list are `lagMs` old. Ranges of the platform see the state
   * at the time of the fault, whatever `lagMs` is. 0 ends the fault.
   */
  z.strictObject({ kind: z.literal('lag'), lagMs: z.number().min(0) }),
  /** Every n-th cache event is left out; 0 ends the fault. */
  z.strictObject({ everyNth: z.number().int().min(0), kind: z.literal('gap') }),
  /** An engine preempts, for good, the next running generation that has `afterTokens` tokens. */
  z.strictObject({ afterTokens: z.number().int().min(0), kind: z.literal('preempt') }),
  /** An engine reports that it is leaving and refuses new generations. */
  z.strictObject({ kind: z.literal('reclaim'), value: z.boolean().default(true) }),
]);

/** A fault to inject into a stand-in. */
export type Fault = z.infer<typeof faultSchema>;

type SlowFault = Extract<Fault, { kind: 'slow' }>;

interface CountedFault {
  readonly path: string;
  /** Calls that the fault still applies to. */
  remaining: number;
}

/** Applies faults of the kinds that are specific to one stand-in; returns whether it did. */
export type FaultHandler = (fault: Fault) => boolean;

/** Holds the faults that are in effect at a stand-in. */
export class FaultInjector {
  /** Age of published data; 0 for current data. */
  lagMs = 0;
  /** Every n-th cache event is left out; 0 for none. */
  gapEveryNth = 0;
  readonly #lostAnswers: CountedFault[] = [];
  readonly #refusals: CountedFault[] = [];
  #slowFault: SlowFault | undefined;
  /** Resolves when the current freeze ends; undefined while the stand-in is not frozen. */
  #freezeEnd: Promise<void> | undefined;
  #endFreeze: () => void = () => undefined;

  /** Whether the `freeze` fault is in effect. */
  get isFrozen(): boolean {
    return this.#freezeEnd !== undefined;
  }

  /** Delay of the answer to a call on a path, in milliseconds. */
  delayMsOf(path: string): number {
    return this.#slowFault && path.startsWith(this.#slowFault.path ?? '')
      ? this.#slowFault.delayMs
      : 0;
  }

  /** Waits until no `freeze` fault is in effect. */
  async waitWhileFrozen(): Promise<void> {
    while (this.#freezeEnd) {
      await this.#freezeEnd;
    }
  }

  /** Whether the answer to this call is lost; uses up one call of the fault. */
  consumeLostAnswer(path: string): boolean {
    return consumeMatching(this.#lostAnswers, path);
  }

  /** Whether this call is refused; uses up one call of the fault. */
  consumeRefusal(path: string): boolean {
    return consumeMatching(this.#refusals, path);
  }

  /** Applies a fault of a kind that every stand-in supports; returns whether it did. */
  apply(fault: Fault): boolean {
    switch (fault.kind) {
      case 'clear':
        this.#clear();
        return true;
      case 'freeze':
        this.#freeze(fault.forMs);
        return true;
      case 'gap':
        this.gapEveryNth = fault.everyNth;
        return true;
      case 'lag':
        this.lagMs = fault.lagMs;
        return true;
      case 'loseAnswer':
        this.#lostAnswers.push({ path: fault.path ?? '', remaining: fault.count });
        return true;
      case 'refuse':
        this.#refusals.push({ path: fault.path ?? '', remaining: fault.count ?? Infinity });
        return true;
      case 'slow':
        this.#slowFault = fault.delayMs > 0 ? fault : undefined;
        return true;
      default:
        return false;
    }
  }

  #clear(): void {
    this.lagMs = 0;
    this.gapEveryNth = 0;
    this.#lostAnswers.length = 0;
    this.#refusals.length = 0;
    this.#slowFault = undefined;
    this.#endFreeze();
  }

  #freeze(forMs: number | undefined): void {
    this.#endFreeze();
    this.#freezeEnd = new Promise((resolve) => {
      const timer =
        forMs === undefined
          ? undefined
          : setTimeout(() => {
              this.#endFreeze();
            }, forMs);
      this.#endFreeze = () => {
        clearTimeout(timer);
        this.#freezeEnd = undefined;
        this.#endFreeze = () => undefined;
        resolve();
      };
    });
  }
}

/**
 * Parses a fault.
 *
 * @param body - JSON text
 * @returns the fault, or a description of the first problem
 */
export function parseFault(body: string): Result<Fault, string> {
  try {
    const checked = faultSchema.safeParse(JSON.parse(body));
    return checked.success
      ? success(checked.data)
      : failure(checked.error.issues[0]?.message ?? 'malformed');
  } catch {
    return failure('the body is not JSON');
  }
}

function consumeMatching(faults: CountedFault[], path: string): boolean {
  const match = faults.find((fault) => fault.remaining > 0 && path.startsWith(fault.path));
  if (!match) {
    return false;
  }
  match.remaining -= 1;
  return true;
}
