import type { ConfigurationView } from '@laburnumgap/contracts';
import { CONTRACT_PREFIX, formatDocumentProblem } from '@laburnumgap/contracts';
import type { RangeSnapshot, Revision, WatchEvent } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import type { ConfigBatch__Output } from '@laburnumgap/rpc';
import type { ConfigMessage } from './ConfigMessages.js';
import type { ConfigKeeperOptions } from './ConfigOptions.js';
import type { ConfigParent } from './ConfigPeerFollower.js';
import { ConfigPeerFollower } from './ConfigPeerFollower.js';
import type { ConfigPeerHandlers } from './ConfigPeerServer.js';
import { ConfigPeerServer } from './ConfigPeerServer.js';
import { changesOfBatch } from './ConfigPeerUtils.js';
import type { ConfigChange } from './ConfigState.js';
import { ConfigState } from './ConfigState.js';
import { ConfigStoreCalls } from './ConfigStoreCalls.js';
import type { StoreAction } from './ConfigStorePlan.js';
import { ConfigStorePlan } from './ConfigStorePlan.js';
import { FALLBACK_AGE_MS, PARENT_AVOIDANCE_MS, START_GRACE_MS } from './ConfigSyncConstants.js';
import type { ConfigTopology } from './ConfigTopology.js';
import { allMembers, planTopology } from './ConfigTopology.js';
import { createConfigView } from './ConfigView.js';

const NO_REVISION = toNumberId<Revision>(0);

/** Owns the configuration of one daemon and makes the calls that its decisions ask for. */
export class ConfigKeeper {
  private readonly avoidedUntilMs = new Map<string, number>();
  private readonly calls: ConfigStoreCalls;
  private confirmedAtMs = -Infinity;
  private readonly follower: ConfigPeerFollower;
  private membersChanged = true;
  private readonly publishedView;
  private readonly plan: ConfigStorePlan;
  private readonly server: ConfigPeerServer;
  private readonly startedAtMs: number;
  private readonly state = new ConfigState();
  private topology: ConfigTopology = { parents: [], watches: false };

  constructor(private readonly options: ConfigKeeperOptions) {
    const { clients, clock, member, random, send, store } = options;
    this.startedAtMs = clock.nowMs();
    this.calls = new ConfigStoreCalls(store, send);
    this.publishedView = createConfigView(this.state.snapshot);
    this.plan = new ConfigStorePlan(random);
    this.server = new ConfigPeerServer({ ageMs: () => this.ageMs(), clock, state: this.state });
    this.follower = new ConfigPeerFollower({
      afterRevision: () => this.followAfter(),
      clients,
      clock,
      memberId: member.memberId,
      onBatch: (parent, batch) => {
        send({ batch, kind: 'batch', parent });
      },
      onLost: (parent, detail) => {
        send({ detail, kind: 'parentLost', parent });
      },
    });
  }

  /** Handlers of the ConfigPeer service. */
  get handlers(): ConfigPeerHandlers {
    return this.server.handlers;
  }

  /** The configuration in force. */
  get view(): ConfigurationView {
    return this.publishedView;
  }

  /** Time since the configuration was last confirmed to be the newest. */
  ageMs(): number {
    return this.options.clock.nowMs() - this.confirmedAtMs;
  }

  /** Handles one message of the actor. */
  handle(message: ConfigMessage): void {
    switch (message.kind) {
      case 'batch':
        this.onBatch(message.parent, message.batch);
        return;
      case 'head':
        this.onHead(message.headRevision, message.sentAtMs);
        return;
      case 'lastAccepted':
        this.apply(message.changes, 'history');
        return;
      case 'membersChanged':
        this.membersChanged = true;
        return;
      case 'parentLost':
        this.onParentLost(message.parent, message.detail);
        return;
      case 'readFailed':
        this.plan.noteFailure(this.options.clock.nowMs());
        this.options.log.warn('configReadFailed', { detail: message.detail });
        return;
      case 'snapshot':
        this.onSnapshot(message.snapshot, message.sentAtMs);
        return;
      case 'tick':
        this.onTick();
        return;
      case 'watch':
        if (this.calls.isCurrent(message.watchNumber)) {
          this.onWatch(message.event);
        }
    }
  }

  /** Ends every stream and watch. */
  stop(): void {
    this.calls.closeWatch();
    this.follower.stop();
    this.server.stop();
  }

  /** Without any confirmation yet, peers are given a while from the start on. */
  private ageForPlanMs(nowMs: number): number {
    const sinceStartMs = nowMs - this.startedAtMs;
    return Math.min(this.ageMs(), sinceStartMs + FALLBACK_AGE_MS - START_GRACE_MS);
  }

  private apply(changes: readonly ConfigChange[], source: string): void {
    const { decisions, log } = this.options;
    const outcome = this.state.apply(changes);
    for (const { key, modRevision, problems } of outcome.rejected) {
      const detail = problems.map(formatDocumentProblem).join('; ');
      log.error('configKeptOut', { detail, key, revision: modRevision, source });
      decisions.record({
        decision: 'apply',
        fields: { key, outcome: 'keptOut', revision: modRevision, source },
      });
      this.recoverLastAccepted(key);
    }
    if (outcome.applied.length === 0) {
      return;
    }
    this.publishedView.publish(this.state.snapshot);
    this.server.publish();
    for (const { key, modRevision } of outcome.applied) {
      decisions.record({
        decision: 'apply',
        fields: { key, outcome: 'inForce', revision: modRevision, source },
      });
    }
  }

  private chooseParents(): void {
    const { directory, member, watchersPerDomain } = this.options;
    const nowMs = this.options.clock.nowMs();
    const members = allMembers(directory).filter(
      ({ memberId, rpcAddress }) => memberId === member.memberId || !this.avoids(rpcAddress, nowMs),
    );
    this.topology = planTopology({ members, self: member, watchersPerDomain });
    const parents = this.topology.parents.map(({ memberId, rpcAddress }) => ({
      address: rpcAddress,
      memberId,
    }));
    this.follower.follow(parents.length > 0 ? parents : this.seedParents(nowMs));
  }

  private seedParents(nowMs: number): readonly ConfigParent[] {
    const seeds = this.options.seedAddresses ?? [];
    return seeds.filter((address) => !this.avoids(address, nowMs)).map((address) => ({ address }));
  }

  private avoids(address: string, nowMs: number): boolean {
    return nowMs < (this.avoidedUntilMs.get(address) ?? -Infinity);
  }

  private confirm(atMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
  }

  /** A key with nothing in force may be known to a parent under any revision. */
  private followAfter(): Revision {
    return this.state.missingKeys.length > 0 ? NO_REVISION : this.state.completeRevision;
  }

  private onBatch(parent: ConfigParent, batch: ConfigBatch__Output): void {
    const { changes, detail } = changesOfBatch(batch);
    if (detail !== undefined) {
      this.options.log.error('configBatchRefused', { detail, parent: parent.address });
      this.follower.giveUp(parent, 'refused');
      return;
    }
    this.apply(changes, `peer ${parent.memberId ?? parent.address}`);
    this.state.markComplete(toNumberId<Revision>(batch.revision));
    if (batch.ageMs >= 0) {
      this.confirm(this.options.clock.nowMs() - batch.ageMs);
    }
  }

  private onHead(headRevision: Revision, sentAtMs: number): void {
    this.plan.noteHead(headRevision, this.options.clock.nowMs());
    if (headRevision <= this.state.completeRevision) {
      this.confirm(sentAtMs);
    }
  }

  private onParentLost(parent: ConfigParent, detail: string): void {
    const nowMs = this.options.clock.nowMs();
    this.avoidedUntilMs.set(parent.address, nowMs + PARENT_AVOIDANCE_MS);
    this.options.log.warn('configParentLost', { detail, parent: parent.address });
    this.membersChanged = true;
  }

  private onSnapshot(snapshot: RangeSnapshot, sentAtMs: number): void {
    this.plan.noteFullRead(this.options.clock.nowMs());
    this.apply(snapshot.values, 'store');
    if (snapshot.revision >= this.state.completeRevision) {
      this.state.markComplete(snapshot.revision);
      this.confirm(sentAtMs);
    }
  }

  private onTick(): void {
    const nowMs = this.options.clock.nowMs();
    this.follower.tick(nowMs);
    this.forgetAvoided(nowMs);
    if (this.membersChanged) {
      this.membersChanged = false;
      this.chooseParents();
    }
    const actions = this.plan.next({
      ageMs: this.ageForPlanMs(nowMs),
      completeRevision: this.state.completeRevision,
      nowMs,
      watches: this.topology.watches,
    });
    for (const action of actions) {
      this.perform(action, nowMs);
    }
    this.server.tick(nowMs);
  }

  private forgetAvoided(nowMs: number): void {
    const over = [...this.avoidedUntilMs].filter(([, untilMs]) => untilMs <= nowMs);
    for (const [address] of over) {
      this.avoidedUntilMs.delete(address);
    }
    this.membersChanged ||= over.length > 0;
  }

  private onWatch(event: WatchEvent): void {
    if (event.kind !== 'changes') {
      this.calls.closeWatch();
      this.plan.noteWatchEnded(this.options.clock.nowMs(), event.kind === 'compacted');
      return;
    }
    this.apply(event.changes, 'store');
    const last = event.changes.at(-1);
    if (last) {
      this.state.markComplete(last.modRevision);
      this.plan.noteWatchProgress(last.modRevision);
    }
  }

  private perform(action: StoreAction, nowMs: number): void {
    switch (action) {
      case 'closeWatch':
        this.options.log.warn('configWatchClosed');
        this.calls.closeWatch();
        return;
      case 'openWatch':
        this.calls.openWatch(this.state.completeRevision);
        return;
      case 'readAll':
        void this.calls.readAll(nowMs);
        return;
      case 'readHead':
        void this.calls.readHead(nowMs);
    }
  }

  /** Nothing is in force for the key, so the version that the tool accepted last is looked up. */
  private recoverLastAccepted(key: string): void {
    if (key.startsWith(CONTRACT_PREFIX) && this.state.missingKeys.includes(key)) {
      void this.calls.readLastAccepted(key);
    }
  }
}
