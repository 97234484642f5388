import type { Result } from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import { z } from 'zod';

const matchShape = {
  /** Only calls whose path starts so. */
  path: z.string().optional(),
};

/** Schema of a fault order, the body of `POST /control/fault`. */
export const faultSchema = z.discriminatedUnion('kind', [
  /** Ends every fault and knob. */
  z.strictObject({ kind: z.literal('clear') }),
  /** Exits at once; an engine can wait until a generation has made that many tokens. */
  z.strictObject({ afterTokens: z.number().int().min(0).optional(), kind: z.literal('kill') }),
  /** Answers nothing but control calls, for a time or for good. */
  z.strictObject({ forMs: z.number().positive().optional(), kind: z.literal('freeze') }),
  /** Connections open now go silent for good; new ones work. */
  z.strictObject({ afterTokens: z.number().int().min(0).optional(), kind: z.literal('silent') }),
  /** Delays every matching answer; 0 ends it. */
  z.strictObject({ delayMs: z.number().min(0), kind: z.literal('slow'), ...matchShape }),
  /** The next matching calls take effect and their connection is reset without an answer. */
  z.strictObject({
    count: z.number().int().positive().default(1),
    kind: z.literal('loseAnswer'),
    ...matchShape,
  }),
  /** The next matching calls, or all without a count, are refused with 503 and have no effect. */
  z.strictObject({
    count: z.number().int().positive().optional(),
    kind: z.literal('refuse'),
    ...matchShape,
  }),
  /** Published figures and lists are this old. */
  z.strictObject({ kind: z.literal('lag'), lagMs: z.number().min(0) }),
  /** Of published events, every n-th is left out; 0 ends it. */
  z.strictObject({ everyNth: z.number().int().min(0), kind: z.literal('gap') }),
  /** An engine gives up running generations that have made that many tokens, once each. */
  z.strictObject({ afterTokens: z.number().int().min(0), kind: z.literal('preempt') }),
  /** An engine tells that it will be reclaimed. */
  z.strictObject({ kind: z.literal('reclaim'), value: z.boolean().default(true) }),
]);

/** A fault order. */
export type Fault = z.infer<typeof faultSchema>;

type Slow = Extract<Fault, { kind: 'slow' }>;

interface CountedFault {
  left: number;
  readonly path: string;
}

/** Handles faults of a kind that only one stand-in has; returns whether it took the fault. */
export type FaultHandler = (fault: Fault) => boolean;

/** The fault switches of one stand-in. */
export class FaultSwitches {
  lagMs = 0;
  gapEveryNth = 0;
  readonly #lost: CountedFault[] = [];
  readonly #refused: CountedFault[] = [];
  #slow: Slow | undefined;
  #thaw: Promise<void> | undefined;
  #endFreeze: () => void = () => undefined;

  /** Whether the stand-in is frozen. */
  get frozen(): boolean {
    return this.#thaw !== undefined;
  }

  /** Delay of an answer. */
  delayMsOf(path: string): number {
    return this.#slow && path.startsWith(this.#slow.path ?? '') ? this.#slow.delayMs : 0;
  }

  /** Waits until the stand-in is not frozen. */
  async thawed(): Promise<void> {
    while (this.#thaw) {
      await this.#thaw;
    }
  }

  /** Whether this call's answer is to be lost; counts it. */
  takeLost(path: string): boolean {
    return takeCounted(this.#lost, path);
  }

  /** Whether this call is to be refused; counts it. */
  takeRefused(path: string): boolean {
    return takeCounted(this.#refused, path);
  }

  /** Applies a fault of a kind that every stand-in has; returns whether it was one. */
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
        this.#lost.push({ left: fault.count, path: fault.path ?? '' });
        return true;
      case 'refuse':
        this.#refused.push({ left: fault.count ?? Infinity, path: fault.path ?? '' });
        return true;
      case 'slow':
        this.#slow = fault.delayMs > 0 ? fault : undefined;
        return true;
      default:
        return false;
    }
  }

  #clear(): void {
    this.lagMs = 0;
    this.gapEveryNth = 0;
    this.#lost.length = 0;
    this.#refused.length = 0;
    this.#slow = undefined;
    this.#endFreeze();
  }

  #freeze(forMs: number | undefined): void {
    this.#endFreeze();
    this.#thaw = new Promise((resolve) => {
      const timer =
        forMs === undefined
          ? undefined
          : setTimeout(() => {
              this.#endFreeze();
            }, forMs);
      this.#endFreeze = () => {
        clearTimeout(timer);
        this.#thaw = undefined;
        this.#endFreeze = () => undefined;
        resolve();
      };
    });
  }
}

/**
 * Reads a fault order.
 *
 * @param body - JSON text
 * @returns the fault, or what is wrong with it
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

function takeCounted(faults: CountedFault[], path: string): boolean {
  const match = faults.find((fault) => fault.left > 0 && path.startsWith(fault.path));
  if (!match) {
    return false;
  }
  match.left -= 1;
  return true;
}
