import { MemberRanking } from '@laburnumgap/dispatch';
import type { Member, MemberId, MemberRole, Revision } from '@laburnumgap/kernel';
import {
  STORE_OUTAGE_THRESHOLD_MS,
  REJOIN_GRACE_MS,
  SUSPECT_DURATION_MS,
} from './MembershipConstants.js';

interface ViewEntry {
  readonly member: Member;
  /** When the member is dropped, after its key has gone. */
  removeAtMs?: number;
}

interface RoleView {
  readonly members: readonly Member[];
  readonly ranking: MemberRanking<Member>;
}

/** A registered member with the key it is registered under. */
export interface RegisteredMember {
  readonly key: string;
  readonly member: Member;
}

/**
 * The live members as one process knows them. When keys vanish right after the store was away,
 * their leases lapsed because nobody could renew them: such members are kept until they have had
 * the time to register anew.
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

  /** Notes that the store answered. */
  onStoreContact(nowMs: number): void {
    if (nowMs - this.#lastContactMs > STORE_OUTAGE_THRESHOLD_MS) {
      this.#graceUntilMs = nowMs + REJOIN_GRACE_MS;
    }
    this.#lastContactMs = Math.max(this.#lastContactMs, nowMs);
  }

  /** Notes that this member's own lease lapsed, and so perhaps everybody's. */
  onLeaseLost(nowMs: number): void {
    this.#graceUntilMs = nowMs + REJOIN_GRACE_MS;
  }

  /** Replaces the view by a range read; an older one than the view is ignored. */
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

  /** Applies one change; an older one than the view is ignored. */
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

  /** Drops members whose grace has passed; returns whether the view changed. */
  expire(nowMs: number): boolean {
    const due = [...this.#entries].filter(([, entry]) => (entry.removeAtMs ?? Infinity) <= nowMs);
    for (const [key] of due) {
      this.#entries.delete(key);
      this.#roleViews.clear();
    }
    return due.length > 0;
  }

  /** When the next member is to be dropped; undefined when none is. */
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

  /** Ranks a member last for a while. */
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

  #removeOrDefer(key: string, nowMs: number): void {
    const entry = this.#entries.get(key);
    if (!entry) {
      return;
    }
    const wasAway = nowMs - this.#lastContactMs > STORE_OUTAGE_THRESHOLD_MS;
    const graceUntilMs = wasAway ? nowMs + REJOIN_GRACE_MS : this.#graceUntilMs;
    if (graceUntilMs <= nowMs) {
      this.#entries.delete(key);
      this.#roleViews.clear();
      return;
    }
    entry.removeAtMs ??= graceUntilMs;
  }
}
