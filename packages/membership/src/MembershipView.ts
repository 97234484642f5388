import { MemberRanking } from '@laburnumgap/dispatch';
import type { Member, MemberId, MemberRole, Revision } from '@laburnumgap/kernel';
import {
  REJOIN_GRACE_MS,
  STORE_OUTAGE_THRESHOLD_MS,
  SUSPECT_DURATION_MS,
} from './MembershipConstants.js';

interface ViewEntry {
  readonly member: Member;
  /** When the member is dropped; set once its key has been deleted. */
  removeAtMs?: number;
}

interface RoleView {
  readonly members: readonly Member[];
  readonly ranking: MemberRanking<Member>;
}

/** A member and the key under which it is registered. */
export interface RegisteredMember {
  readonly key: string;
  readonly member: Member;
}

/**
 * One process's view of the live members. Keys that are deleted right after a store outage belong to
 * leases that expired because they could not be renewed; such members are kept for a grace period in
 * which they can register again.
 */
export class MembershipView {
  readonly #entries = new Map<string, ViewEntry>();
  readonly #roleViews = new Map<MemberRole, RoleView>();
  readonly #suspectedUntilMs = new Map<MemberId, number>();
  #graceUntilMs = -Infinity;
  #lastContactMs: number;
  #revision = 0;

  constructor(nowMs: number) {
    this.#lastContactMs = nowMs;
  }

  /** Records that the store answered; after an outage, starts the grace period. */
  onStoreContact(nowMs: number): void {
    if (nowMs - this.#lastContactMs > STORE_OUTAGE_THRESHOLD_MS) {
      this.#graceUntilMs = nowMs + REJOIN_GRACE_MS;
    }
    this.#lastContactMs = Math.max(this.#lastContactMs, nowMs);
  }

  /** Starts the grace period: this member's lease expired, so other members' may have as well. */
  onLeaseLost(nowMs: number): void {
    this.#graceUntilMs = nowMs + REJOIN_GRACE_MS;
  }

  /** Replaces the view with a range read; one older than the view is ignored. */
  applySnapshot(registered: readonly RegisteredMember[], revision: Revision, nowMs: number): void {
    if (revision < this.#revision) {
      return;
    }
    this.#revision = revision;
    this.onStoreContact(nowMs);
    const keys = new Set(registered.map((entry) => entry.key));
    for (const key of [...this.#entries.keys()].filter((known) => !keys.has(known))) {
      this.#removeOrDefer(key, nowMs);
    }
    for (const { key, member } of registered) {
      this.#entries.set(key, { member });
    }
    this.#roleViews.clear();
  }

  /** Applies one change; one older than the view is ignored. */
  applyChange(key: string, member: Member | undefined, modRevision: Revision, nowMs: number): void {
    if (modRevision < this.#revision) {
      return;
    }
    this.#revision = modRevision;
    if (member) {
      this.#entries.set(key, { member });
      this.#roleViews.clear();
      this.#suspectedUntilMs.delete(member.memberId);
    } else {
      this.#removeOrDefer(key, nowMs);
    }
    this.onStoreContact(nowMs);
  }

  /** Drops members whose grace period has ended; returns whether the view changed. */
  expire(nowMs: number): boolean {
    const due = [...this.#entries].filter(([, entry]) => (entry.removeAtMs ?? Infinity) <= nowMs);
    for (const [key] of due) {
      this.#entries.delete(key);
      this.#roleViews.clear();
    }
    return due.length > 0;
  }

  /** When the next member is due to be dropped; undefined if none is. */
  nextExpiryMs(): number | undefined {
    const times = [...this.#entries.values()].map((entry) => entry.removeAtMs ?? Infinity);
    const next = Math.min(...times);
    return Number.isFinite(next) ? next : undefined;
  }

  /** Live members of a role, sorted by id. */
  members(role: MemberRole): readonly Member[] {
    return this.#roleView(role).members;
  }

  /** Members of a role in rendezvous order for a key, suspected ones last. */
  rank(role: MemberRole, key: string, nowMs: number): readonly Member[] {
    const ranked = this.#roleView(role).ranking.rank(key);
    if (this.#suspectedUntilMs.size === 0) {
      return ranked;
    }
    const isSuspect = (member: Member): boolean =>
      (this.#suspectedUntilMs.get(member.memberId) ?? -Infinity) > nowMs;
    return [
      ...ranked.filter((member) => !isSuspect(member)),
      ...ranked.filter((member) => isSuspect(member)),
    ];
  }

  /** Ranks a member last for {@link SUSPECT_DURATION_MS}. */
  suspect(memberId: MemberId, nowMs: number): void {
    this.#suspectedUntilMs.set(memberId, nowMs + SUSPECT_DURATION_MS);
    for (const [id, untilMs] of this.#suspectedUntilMs) {
      if (untilMs <= nowMs) {
        this.#suspectedUntilMs.delete(id);
      }
    }
  }

  #roleView(role: MemberRole): RoleView {
    const known = this.#roleViews.get(role);
    if (known) {
      return known;
    }
    const members = [...this.#entries.values()]
      .map((entry) => entry.member)
      .filter((member) => member.role === role)
      .sort((a, b) => (a.memberId < b.memberId ? -1 : 1));
    const view = { members, ranking: new MemberRanking(members) };
    this.#roleViews.set(role, view);
    return view;
  }

  /** Drops a member, or defers that to the end of the grace period that follows an outage. */
  #removeOrDefer(key: string, nowMs: number): void {
    const entry = this.#entries.get(key);
    if (!entry) {
      return;
    }
    const wasUnavailable = nowMs - this.#lastContactMs > STORE_OUTAGE_THRESHOLD_MS;
    const graceUntilMs = wasUnavailable ? nowMs + REJOIN_GRACE_MS : this.#graceUntilMs;
    if (graceUntilMs <= nowMs) {
      this.#entries.delete(key);
      this.#roleViews.clear();
      return;
    }
    entry.removeAtMs ??= graceUntilMs;
  }
}
