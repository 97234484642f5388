import type { ConfigurationView } from '@laburnumgap/contracts';
import { CONTRACT_PREFIX, formatDocumentProblem } from '@laburnumgap/contracts';
import type { RangeSnapshot, Revision, WatchEvent } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import type { ConfigBatch__Output } from '@laburnumgap/rpc';
import type { ConfigMessage } from './ConfigMessages.js';
import type { ConfigSynchronizerOptions } from './ConfigOptions.js';
import type { ConfigParent } from './ConfigPeerFollower.js';
import { ConfigPeerFollower } from './ConfigPeerFollower.js';
import type { ConfigPeerHandlers } from './ConfigPeerServer.js';
import { ConfigPeerServer } from './ConfigPeerServer.js';
import { parseBatch } from './ConfigPeerUtils.js';
import type { ConfigChange } from './ConfigState.js';
import { ConfigState } from './ConfigState.js';
import { ConfigStoreCalls } from './ConfigStoreCalls.js';
import type { StoreAction } from './ConfigStorePlanner.js';
import { ConfigStorePlanner } from './ConfigStorePlanner.js';
import {
  PARENT_BACKOFF_MS,
  PEER_START_GRACE_MS,
  STORE_FALLBACK_AGE_MS,
} from './ConfigSyncConstants.js';
import type { ConfigTopology } from './ConfigTopology.js';
import { allMembers, planTopology } from './ConfigTopology.js';
import { createConfigView } from './ConfigView.js';

const NO_REVISION = toNumberId<Revision>(0);

/**
 * Keeps the configuration of one daemon up to date: handles the messages of its actor, calls the
 * store when {@link ConfigStorePlanner} says so, follows parents and serves followers.
 */
export class ConfigSynchronizer {
  private confirmedAtMs = -Infinity;
  private readonly follower: ConfigPeerFollower;
  private mustSelectParents = true;
  private readonly parentBackoffUntilMs = new Map<string, number>();
  private readonly publishedView;
  private readonly server: ConfigPeerServer;
  private readonly startedAtMs: number;
  private readonly state = new ConfigState();
  private readonly storeCalls: ConfigStoreCalls;
  private readonly storePlanner: ConfigStorePlanner;
  private topology: ConfigTopology = { isWatcher: false, parents: [] };

  constructor(private readonly options: ConfigSynchronizerOptions) {
    const { clients, clock, member, random, send, store } = options;
    this.startedAtMs = clock.nowMs();
    this.storeCalls = new ConfigStoreCalls(store, send);
    this.publishedView = createConfigView(this.state.snapshot);
    this.storePlanner = new ConfigStorePlanner(random);
    this.server = new ConfigPeerServer({ ageMs: () => this.ageMs(), clock, state: this.state });
    this.follower = new ConfigPeerFollower({
      afterRevision: () => this.followAfterRevision(),
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

  /** Handles one message to the actor. */
  handle(message: ConfigMessage): void {
    switch (message.kind) {
      case 'batch':
        this.onBatch(message.parent, message.batch);
        return;
      case 'head':
        this.onHead(message.headRevision, message.sentAtMs);
        return;
      case 'historyUnknown':
        this.options.log.warn('configHistoryUnknown', { detail: message.detail });
        return;
      case 'lastAccepted':
        this.applyChanges(message.changes, 'history');
        return;
      case 'membersChanged':
        this.mustSelectParents = true;
        return;
      case 'parentLost':
        this.onParentLost(message.parent, message.detail);
        return;
      case 'readFailed':
        this.storePlanner.onReadFailed(this.options.clock.nowMs());
        this.options.log.warn('configReadFailed', { detail: message.detail });
        return;
      case 'snapshot':
        this.onSnapshot(message.snapshot, message.sentAtMs);
        return;
      case 'tick':
        this.onTick();
        return;
      case 'watch':
        if (this.storeCalls.isCurrent(message.watchNumber)) {
          this.onWatch(message.event);
        }
    }
  }

  /** Closes the watch and all streams. */
  stop(): void {
    this.storeCalls.closeWatch();
    this.follower.stop();
    this.server.stop();
  }

  /**
   * Age of the configuration as the store planner sees it. Until the first confirmation it counts
   * up from the start, so that the store is called only after {@link PEER_START_GRACE_MS}.
   */
  private planningAgeMs(nowMs: number): number {
    const sinceStartMs = nowMs - this.startedAtMs;
    return Math.min(this.ageMs(), sinceStartMs + STORE_FALLBACK_AGE_MS - PEER_START_GRACE_MS);
  }

  private applyChanges(changes: readonly ConfigChange[], source: string): void {
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

  private selectParents(): void {
    const { directory, member, watchersPerDomain } = this.options;
    const nowMs = this.options.clock.nowMs();
    const members = allMembers(directory).filter(
      ({ memberId, rpcAddress }) =>
        memberId === member.memberId || !this.isBackedOff(rpcAddress, nowMs),
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
    return seeds
      .filter((address) => !this.isBackedOff(address, nowMs))
      .map((address) => ({ address }));
  }

  private isBackedOff(address: string, nowMs: number): boolean {
    return nowMs < (this.parentBackoffUntilMs.get(address) ?? -Infinity);
  }

  private recordConfirmation(atMs: number): void {
    this.confirmedAtMs = Math.max(this.confirmedAtMs, atMs);
  }

  /**
   * Asks for every document while a key has nothing in force: a parent may know any revision of it.
   */
  private followAfterRevision(): Revision {
    return this.state.missingKeys.length > 0 ? NO_REVISION : this.state.completeRevision;
  }

  private onBatch(parent: ConfigParent, batch: ConfigBatch__Output): void {
    const { changes, detail } = parseBatch(batch);
    if (detail !== undefined) {
      this.options.log.error('configBatchRefused', { detail, parent: parent.address });
      this.follower.abandon(parent, 'refused');
      return;
    }
    this.applyChanges(changes, `peer ${parent.memberId ?? parent.address}`);
    this.state.markComplete(toNumberId<Revision>(batch.revision));
    if (batch.ageMs >= 0) {
      this.recordConfirmation(this.options.clock.nowMs() - batch.ageMs);
    }
  }

  private onHead(headRevision: Revision, sentAtMs: number): void {
    this.storePlanner.onHeadRead(headRevision, this.options.clock.nowMs());
    if (headRevision <= this.state.completeRevision) {
      this.recordConfirmation(sentAtMs);
    }
  }

  private onParentLost(parent: ConfigParent, detail: string): void {
    const nowMs = this.options.clock.nowMs();
    this.parentBackoffUntilMs.set(parent.address, nowMs + PARENT_BACKOFF_MS);
    this.options.log.warn('configParentLost', { detail, parent: parent.address });
    this.mustSelectParents = true;
  }

  private onSnapshot(snapshot: RangeSnapshot, sentAtMs: number): void {
    this.storePlanner.onFullRead(this.options.clock.nowMs());
    this.applyChanges(snapshot.values, 'store');
    if (snapshot.revision >= this.state.completeRevision) {
      this.state.markComplete(snapshot.revision);
      this.recordConfirmation(sentAtMs);
    }
  }

  private onTick(): void {
    const nowMs = this.options.clock.nowMs();
    this.follower.tick(nowMs);
    this.removeExpiredBackoffs(nowMs);
    if (this.mustSelectParents) {
      this.mustSelectParents = false;
      this.selectParents();
    }
    const actions = this.storePlanner.nextActions({
      ageMs: this.planningAgeMs(nowMs),
      completeRevision: this.state.completeRevision,
      isWatcher: this.topology.isWatcher,
      nowMs,
    });
    for (const action of actions) {
      this.performAction(action, nowMs);
    }
    this.server.tick(nowMs);
  }

  private removeExpiredBackoffs(nowMs: number): void {
    const expired = [...this.parentBackoffUntilMs].filter(([, untilMs]) => untilMs <= nowMs);
    for (const [address] of expired) {
      this.parentBackoffUntilMs.delete(address);
    }
    this.mustSelectParents ||= expired.length > 0;
  }

  private onWatch(event: WatchEvent): void {
    if (event.kind !== 'changes') {
      this.storeCalls.closeWatch();
      this.storePlanner.onWatchEnded(this.options.clock.nowMs(), event.kind === 'compacted');
      return;
    }
    this.applyChanges(event.changes, 'store');
    const last = event.changes.at(-1);
    if (last) {
      this.state.markComplete(last.modRevision);
      this.storePlanner.onWatchProgress(last.modRevision);
    }
  }

  private performAction(action: StoreAction, nowMs: number): void {
    switch (action) {
      case 'closeWatch':
        this.options.log.warn('configWatchClosed');
        this.storeCalls.closeWatch();
        return;
      case 'openWatch':
        this.storeCalls.openWatch(this.state.completeRevision);
        return;
      case 'readAll':
        void this.storeCalls.readAll(nowMs);
        return;
      case 'readHead':
        void this.storeCalls.readHead(nowMs);
    }
  }

  /** Reads the version that `laburnumctl` accepted last, for a contract with nothing in force. */
  private recoverLastAccepted(key: string): void {
    if (key.startsWith(CONTRACT_PREFIX) && this.state.missingKeys.includes(key)) {
      void this.storeCalls.readLastAccepted(key);
    }
  }
}
