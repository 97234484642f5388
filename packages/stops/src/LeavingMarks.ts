import type { PlannedStop } from '@laburnumgap/contracts';
import type { KnownServer, ListedServer, ServerId } from '@laburnumgap/kernel';
import { isStarted, namesServer } from './StopUtils.js';

/** Time for which the marks of a server that is off the list are remembered. */
const ABSENT_MEMORY_MS = 24 * 60 * 60_000;

/** Options of {@link LeavingMarks.update}. */
export interface LeavingUpdate {
  /** The newest list, or undefined when it could not be read. */
  readonly listed?: readonly ListedServer[];
  readonly nowEpochMs: number;
  readonly stops: readonly PlannedStop[];
}

interface ServerMarks {
  absentSinceEpochMs?: number;
  /** The list or the server itself said that it leaves. */
  isGiven: boolean;
  /** Stops that named it and have not been lifted. */
  readonly stopIds: Set<string>;
}

/**
 * Which backend servers take no new work, and why. A server is marked as soon as a planned stop,
 * the list, or the server itself says that it leaves. The list lags, so a list that still says live
 * lifts no mark: it lifts one only after the server has been off the list, or, for a planned stop,
 * after that stop was cancelled.
 */
export class LeavingMarks {
  private readonly marks = new Map<ServerId, ServerMarks>();
  private servers: readonly ListedServer[] = [];

  /** Marks a server on its own notice. */
  noteLeaving(serverId: ServerId): void {
    this.marksOf(serverId).isGiven = true;
  }

  /**
   * Takes the newest list and the stops in force.
   *
   * @param update - list, stops and time
   * @returns the servers as they are known now, sorted by server id
   */
  update(update: LeavingUpdate): readonly KnownServer[] {
    if (update.listed) {
      this.takeList(update.listed, update);
    }
    this.markByStops(update);
    return this.known();
  }

  /** The servers as they are known now. */
  known(): readonly KnownServer[] {
    return this.servers.map((server) => ({ ...server, leaving: this.isLeaving(server.serverId) }));
  }

  private isLeaving(serverId: ServerId): boolean {
    const marks = this.marks.get(serverId);
    return marks !== undefined && (marks.isGiven || marks.stopIds.size > 0);
  }

  private markByStops({ nowEpochMs, stops }: LeavingUpdate): void {
    for (const stop of stops.filter((candidate) => isStarted(candidate, nowEpochMs))) {
      for (const server of this.servers) {
        if (namesServer(stop, server) && !this.isOver(stop, server.serverId, nowEpochMs)) {
          this.marksOf(server.serverId).stopIds.add(stop.id);
        }
      }
    }
  }

  /** A stop past its deadline marks no server that was not marked before. */
  private isOver(stop: PlannedStop, serverId: ServerId, nowEpochMs: number): boolean {
    const isKnown = this.marks.get(serverId)?.stopIds.has(stop.id) ?? false;
    return !isKnown && nowEpochMs >= stop.deadlineEpochMs;
  }

  private marksOf(serverId: ServerId): ServerMarks {
    const known = this.marks.get(serverId);
    if (known) {
      return known;
    }
    const created: ServerMarks = { isGiven: false, stopIds: new Set() };
    this.marks.set(serverId, created);
    return created;
  }

  private takeList(listed: readonly ListedServer[], update: LeavingUpdate): void {
    const byId = new Map(listed.map((server) => [server.serverId, server]));
    for (const [serverId, marks] of this.marks) {
      const server = byId.get(serverId);
      if (!server) {
        marks.absentSinceEpochMs ??= update.nowEpochMs;
        this.forgetOld(serverId, marks, update.nowEpochMs);
      } else if (server.state === 'live') {
        this.liftMarks(serverId, marks, update);
      }
    }
    for (const server of listed.filter(({ state }) => state === 'leaving')) {
      const marks = this.marksOf(server.serverId);
      marks.isGiven = true;
      marks.absentSinceEpochMs = undefined;
    }
    this.servers = [...byId.values()].sort((a, b) => (a.serverId < b.serverId ? -1 : 1));
  }

  /** The server is listed as live: lifts what the server's absence or a cancelled stop allows. */
  private liftMarks(serverId: ServerId, marks: ServerMarks, update: LeavingUpdate): void {
    const wasAbsent = marks.absentSinceEpochMs !== undefined;
    for (const stopId of marks.stopIds) {
      const stop = update.stops.find(({ id }) => id === stopId);
      const isOver = stop !== undefined && update.nowEpochMs >= stop.deadlineEpochMs;
      if (!stop || (wasAbsent && isOver)) {
        marks.stopIds.delete(stopId);
      }
    }
    marks.isGiven = marks.isGiven && !wasAbsent;
    marks.absentSinceEpochMs = undefined;
    if (!marks.isGiven && marks.stopIds.size === 0) {
      this.marks.delete(serverId);
    }
  }

  private forgetOld(serverId: ServerId, marks: ServerMarks, nowEpochMs: number): void {
    if (nowEpochMs - (marks.absentSinceEpochMs ?? nowEpochMs) >= ABSENT_MEMORY_MS) {
      this.marks.delete(serverId);
    }
  }
}
