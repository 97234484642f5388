import type { PlannedStop } from '@laburnumgap/contracts';
import type { KnownServer, ListedServer, ServerId } from '@laburnumgap/kernel';
import { hasStarted, targetsServer } from './StopUtils.js';

/** Time for which the reasons of a server that is no longer listed are kept. */
const ABSENT_RETENTION_MS = 24 * 60 * 60_000;

/** Options of {@link LeavingServerTracker.update}. */
export interface LeavingUpdate {
  /** The newest server list, or undefined if it could not be read. */
  readonly listed?: readonly ListedServer[];
  readonly nowEpochMs: number;
  readonly stops: readonly PlannedStop[];
}

interface LeavingReasons {
  absentSinceEpochMs?: number;
  /** Whether the list or the server itself announced that it leaves. */
  isAnnounced: boolean;
  /** Ids of the planned stops that target the server and still apply. */
  readonly stopIds: Set<string>;
}

/**
 * Tracks which backend servers take no new work, and why. A server is marked as leaving as soon as
 * a planned stop, the server list or the server itself says so. The list lags behind, so an entry
 * that says live does not clear the mark by itself: it does so only after the server was missing
 * from the list, or, for a planned stop, after that stop was cancelled. A planned stop whose
 * deadline has not passed keeps the server marked even after it was missing.
 */
export class LeavingServerTracker {
  private readonly reasonsById = new Map<ServerId, LeavingReasons>();
  private servers: readonly ListedServer[] = [];

  /** Marks a server as leaving because it announced so itself. */
  markLeaving(serverId: ServerId): void {
    this.reasonsOf(serverId).isAnnounced = true;
  }

  /**
   * Applies the newest list and the stops in force.
   *
   * @param update - list, stops and time
   * @returns the listed servers with their marks, sorted by server id
   */
  update(update: LeavingUpdate): readonly KnownServer[] {
    if (update.listed) {
      this.applyList(update.listed, update);
    }
    this.applyStops(update);
    return this.knownServers();
  }

  /** The servers of the newest list with their marks. */
  knownServers(): readonly KnownServer[] {
    return this.servers.map((server) => ({ ...server, leaving: this.isLeaving(server.serverId) }));
  }

  private isLeaving(serverId: ServerId): boolean {
    const reasons = this.reasonsById.get(serverId);
    return reasons !== undefined && (reasons.isAnnounced || reasons.stopIds.size > 0);
  }

  private applyStops({ nowEpochMs, stops }: LeavingUpdate): void {
    for (const stop of stops.filter((candidate) => hasStarted(candidate, nowEpochMs))) {
      for (const server of this.servers) {
        if (targetsServer(stop, server) && !this.isIgnoredStop(stop, server.serverId, nowEpochMs)) {
          this.reasonsOf(server.serverId).stopIds.add(stop.id);
        }
      }
    }
  }

  /**
   * Whether a stop does not apply: its deadline has passed and it has not marked the server before.
   */
  private isIgnoredStop(stop: PlannedStop, serverId: ServerId, nowEpochMs: number): boolean {
    const isAlreadyMarked = this.reasonsById.get(serverId)?.stopIds.has(stop.id) ?? false;
    return !isAlreadyMarked && nowEpochMs >= stop.deadlineEpochMs;
  }

  private reasonsOf(serverId: ServerId): LeavingReasons {
    const existing = this.reasonsById.get(serverId);
    if (existing) {
      return existing;
    }
    const created: LeavingReasons = { isAnnounced: false, stopIds: new Set() };
    this.reasonsById.set(serverId, created);
    return created;
  }

  private applyList(listed: readonly ListedServer[], update: LeavingUpdate): void {
    const byId = new Map(listed.map((server) => [server.serverId, server]));
    for (const [serverId, reasons] of this.reasonsById) {
      const server = byId.get(serverId);
      if (!server) {
        reasons.absentSinceEpochMs ??= update.nowEpochMs;
        this.removeExpired(serverId, reasons, update.nowEpochMs);
      } else if (server.state === 'live') {
        this.clearReasons(serverId, reasons, update);
      }
    }
    for (const server of listed.filter(({ state }) => state === 'leaving')) {
      const reasons = this.reasonsOf(server.serverId);
      reasons.isAnnounced = true;
      reasons.absentSinceEpochMs = undefined;
    }
    this.servers = [...byId.values()].sort((a, b) => (a.serverId < b.serverId ? -1 : 1));
  }

  /** Clears the reasons that no longer apply to a server that is listed as live. */
  private clearReasons(serverId: ServerId, reasons: LeavingReasons, update: LeavingUpdate): void {
    const wasAbsent = reasons.absentSinceEpochMs !== undefined;
    for (const stopId of reasons.stopIds) {
      const stop = update.stops.find(({ id }) => id === stopId);
      const isPastDeadline = stop !== undefined && update.nowEpochMs >= stop.deadlineEpochMs;
      if (!stop || (wasAbsent && isPastDeadline)) {
        reasons.stopIds.delete(stopId);
      }
    }
    reasons.isAnnounced = reasons.isAnnounced && !wasAbsent;
    reasons.absentSinceEpochMs = undefined;
    if (!reasons.isAnnounced && reasons.stopIds.size === 0) {
      this.reasonsById.delete(serverId);
    }
  }

  private removeExpired(serverId: ServerId, reasons: LeavingReasons, nowEpochMs: number): void {
    if (nowEpochMs - (reasons.absentSinceEpochMs ?? nowEpochMs) >= ABSENT_RETENTION_MS) {
      this.reasonsById.delete(serverId);
    }
  }
}
