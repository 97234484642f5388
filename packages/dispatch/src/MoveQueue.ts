import type { MemberId, RequestId, ServerId } from '@laburnumgap/kernel';

/** A daemon wants to copy a stream's memory from one engine to another. */
export interface MoveRequest {
  /** The stream may well end before its engine does. */
  readonly endsSoon: boolean;
  readonly memberId: MemberId;
  readonly requestId: RequestId;
  readonly sourceId: ServerId;
  /** Engines that would take it, best first. */
  readonly targetIds: readonly ServerId[];
  /** Size of the copy. */
  readonly usedTokens: number;
}

/** A wish whose turn has come. */
export interface MoveAssignment {
  readonly targetId: ServerId;
  readonly request: MoveRequest;
}

interface GivenTurn extends MoveAssignment {
  readonly givenMs: number;
}

/** A turn whose end was not told is over by then: longer than any copy in one region. */
const TURN_TIMEOUT_MS = 1_500;
/** A wish that waited this long is forgotten; its daemon goes ahead by itself. */
const WISH_TIMEOUT_MS = 3_000;
/** Turns given lately count against a target, because reports don't show them yet. */
const RECENT_MS = 1_000;
/** Places in the ranking that a recent turn costs a target. */
const RECENT_TURN_COST = 1.5;

/**
 * Gives out turns on the engines' links. Answers an engine that leaves with many streams of many
 * daemons: on a shared link the last piece of one stream queues behind whole copies of others, and
 * its caller sees a pause. Here one copy at a time uses a source, and one a target.
 */
export class MoveQueue {
  private given: GivenTurn[] = [];
  private recent: { readonly atMs: number; readonly targetId: ServerId }[] = [];
  private waiting: { readonly sinceMs: number; readonly wish: MoveRequest }[] = [];

  /** Takes a wish. A repeated one replaces the earlier. */
  enqueue(wish: MoveRequest, nowMs: number): void {
    const known = this.waiting.findIndex(({ wish: other }) => other.requestId === wish.requestId);
    if (known >= 0) {
      this.waiting[known] = { sinceMs: nowMs, wish };
      return;
    }
    this.waiting.push({ sinceMs: nowMs, wish });
  }

  /** A turn is over, or its wish is withdrawn. */
  finish(requestId: RequestId): void {
    this.given = this.given.filter(({ request: wish }) => wish.requestId !== requestId);
    this.waiting = this.waiting.filter(({ wish }) => wish.requestId !== requestId);
  }

  /** Whether a turn is given or waited for. */
  hasMoves(): boolean {
    return this.given.length > 0 || this.waiting.length > 0;
  }

  /**
   * Gives the turns that are possible now. The time is short, so that streams which end by
   * themselves come last, and of the others the smaller copies first.
   */
  assignReady(nowMs: number): readonly MoveAssignment[] {
    this.given = this.given.filter(({ givenMs }) => nowMs - givenMs < TURN_TIMEOUT_MS);
    this.recent = this.recent.filter(({ atMs }) => nowMs - atMs < RECENT_MS);
    this.waiting = this.waiting.filter(({ sinceMs }) => nowMs - sinceMs < WISH_TIMEOUT_MS);
    this.waiting.sort((a, b) => compareWishes(a.wish, b.wish));
    const turns: MoveAssignment[] = [];
    const stillWaiting: typeof this.waiting = [];
    for (const waiting of this.waiting) {
      const targetId = this.freeTarget(waiting.wish);
      if (targetId === undefined) {
        stillWaiting.push(waiting);
        continue;
      }
      const turn = { request: waiting.wish, targetId };
      turns.push(turn);
      this.given.push({ ...turn, givenMs: nowMs });
      this.recent.push({ atMs: nowMs, targetId });
    }
    this.waiting = stillWaiting;
    return turns;
  }

  private freeTarget(wish: MoveRequest): ServerId | undefined {
    if (this.given.some((turn) => turn.request.sourceId === wish.sourceId)) {
      return undefined;
    }
    let best: ServerId | undefined;
    let bestCost = Infinity;
    wish.targetIds.forEach((targetId, order) => {
      const isBusy = this.given.some((turn) => turn.targetId === targetId);
      const recentTurns = this.recent.filter((turn) => turn.targetId === targetId).length;
      const cost = order + recentTurns * RECENT_TURN_COST;
      if (!isBusy && cost < bestCost) {
        best = targetId;
        bestCost = cost;
      }
    });
    return best;
  }
}

function compareWishes(a: MoveRequest, b: MoveRequest): number {
  return Number(a.endsSoon) - Number(b.endsSoon) || a.usedTokens - b.usedTokens;
}
