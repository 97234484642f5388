import type { MemberId, RequestId, ServerId } from '@laburnumgap/kernel';

/** Request of a daemon to copy the KV cache of a stream from one engine to another. */
export interface MoveRequest {
  /** Whether the stream is likely to end before its engine stops. */
  readonly endsSoon: boolean;
  readonly memberId: MemberId;
  readonly requestId: RequestId;
  readonly sourceId: ServerId;
  /** Candidate target engines, best first. */
  readonly targetIds: readonly ServerId[];
  /** Size of the copy in tokens. */
  readonly usedTokens: number;
}

/** A move that may start now, with its target. */
export interface MoveAssignment {
  readonly request: MoveRequest;
  readonly targetId: ServerId;
}

interface ActiveMove extends MoveAssignment {
  readonly assignedAtMs: number;
}

/** A move whose end was not reported counts as over by then: longer than any copy in one region. */
const MOVE_TIMEOUT_MS = 1_500;
/** A request that waited this long is dropped; its daemon then moves the stream unscheduled. */
const REQUEST_TIMEOUT_MS = 3_000;
/** Assignments this recent count against a target, because load reports don't show them yet. */
const RECENT_ASSIGNMENT_MS = 1_000;
/** Ranks by which each recent assignment lowers a target. */
const RECENT_ASSIGNMENT_COST = 1.5;

/**
 * Queue of KV cache copies between engines; each source and each target takes part in one copy at a
 * time. When an engine leaves with streams of many daemons, parallel copies would share its link:
 * the last piece of one stream would wait behind whole copies of others, and its caller would see a
 * pause.
 */
export class MoveQueue {
  private activeMoves: ActiveMove[] = [];
  private recentAssignments: { readonly atMs: number; readonly targetId: ServerId }[] = [];
  private waitingRequests: { readonly request: MoveRequest; readonly sinceMs: number }[] = [];

  /**
   * Queues a request. A repeated request replaces the earlier one; if its move is active, the message
   * with its assignment was lost.
   *
   * @param request - the request
   * @param nowMs - monotonic time
   * @returns the assignment of an active move, to be sent again
   */
  enqueue(request: MoveRequest, nowMs: number): MoveAssignment | undefined {
    const active = this.activeMoves.find((move) => move.request.requestId === request.requestId);
    if (active) {
      return active;
    }
    const queuedAt = this.waitingRequests.findIndex(
      ({ request: other }) => other.requestId === request.requestId,
    );
    if (queuedAt >= 0) {
      this.waitingRequests[queuedAt] = { request, sinceMs: nowMs };
      return undefined;
    }
    this.waitingRequests.push({ request, sinceMs: nowMs });
    return undefined;
  }

  /** Removes a move that is over, or a request that is withdrawn. */
  finish(requestId: RequestId): void {
    this.activeMoves = this.activeMoves.filter(({ request }) => request.requestId !== requestId);
    this.waitingRequests = this.waitingRequests.filter(
      ({ request }) => request.requestId !== requestId,
    );
  }

  /** Whether any move is active or waiting. */
  hasMoves(): boolean {
    return this.activeMoves.length > 0 || this.waitingRequests.length > 0;
  }

  /**
   * Assigns targets to the moves that can start now. Time is short before the source stops, so
   * streams that end soon come last, and smaller copies come first among the others.
   */
  assignReady(nowMs: number): readonly MoveAssignment[] {
    this.activeMoves = this.activeMoves.filter(
      ({ assignedAtMs }) => nowMs - assignedAtMs < MOVE_TIMEOUT_MS,
    );
    this.recentAssignments = this.recentAssignments.filter(
      ({ atMs }) => nowMs - atMs < RECENT_ASSIGNMENT_MS,
    );
    this.waitingRequests = this.waitingRequests.filter(
      ({ sinceMs }) => nowMs - sinceMs < REQUEST_TIMEOUT_MS,
    );
    this.waitingRequests.sort((a, b) => compareRequests(a.request, b.request));
    const assignments: MoveAssignment[] = [];
    const stillWaiting: typeof this.waitingRequests = [];
    for (const waiting of this.waitingRequests) {
      const targetId = this.chooseIdleTarget(waiting.request);
      if (targetId === undefined) {
        stillWaiting.push(waiting);
        continue;
      }
      const assignment = { request: waiting.request, targetId };
      assignments.push(assignment);
      this.activeMoves.push({ ...assignment, assignedAtMs: nowMs });
      this.recentAssignments.push({ atMs: nowMs, targetId });
    }
    this.waitingRequests = stillWaiting;
    return assignments;
  }

  private chooseIdleTarget(request: MoveRequest): ServerId | undefined {
    if (this.activeMoves.some((move) => move.request.sourceId === request.sourceId)) {
      return undefined;
    }
    let best: ServerId | undefined;
    let bestCost = Infinity;
    request.targetIds.forEach((targetId, order) => {
      const isBusy = this.activeMoves.some((move) => move.targetId === targetId);
      const recentCount = this.recentAssignments.filter(
        (recent) => recent.targetId === targetId,
      ).length;
      const cost = order + recentCount * RECENT_ASSIGNMENT_COST;
      if (!isBusy && cost < bestCost) {
        best = targetId;
        bestCost = cost;
      }
    });
    return best;
  }
}

function compareRequests(a: MoveRequest, b: MoveRequest): number {
  return Number(a.endsSoon) - Number(b.endsSoon) || a.usedTokens - b.usedTokens;
}
