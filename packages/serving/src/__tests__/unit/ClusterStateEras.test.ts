import type { BackendServer, ServerChange, ServingConfiguration } from '@laburnumgap/dispatch';
import { ServerRegistry } from '@laburnumgap/dispatch';
import type {
  FailureDomainId,
  MemberId,
  Revision,
  ServerId,
  ServiceId,
  StoreEra,
} from '@laburnumgap/kernel';
import { failure, success, toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import { REGISTRATION } from '../SimulatedStore.js';
import fc from 'fast-check';
import type { ChangesMessage, FollowedChanges, PeerSnapshot } from '../../index.js';
import { ClusterState } from '../../index.js';

const DAEMONS = 2;
const SERVERS = 2;
const SERVICE = toId<ServiceId>('desk');
const MAX_WAIT_MS = 1_500;

interface ModelEntry {
  readonly revision: number;
  readonly server: BackendServer;
}

interface ModelProcess {
  readonly isGone: boolean;
  readonly leaving: boolean;
  readonly startedEpochMs: number;
}

interface ModelContents {
  readonly entries: ReadonlyMap<number, ModelEntry>;
  /** Changes of the entries, oldest first. */
  readonly history: readonly ServerChange[];
  readonly revision: number;
  readonly version: number;
}

/** The store and the processes that write to it. */
class ModelStore {
  contents: ModelContents = { entries: new Map(), history: [], revision: 1, version: 1 };
  era = 1;
  newestVersion = 1;
  private copied: ModelContents = this.contents;
  private readonly processes = new Map<number, ModelProcess>();

  /** A server writes its state, unless its process has ended. */
  write(index: number): void {
    const { isGone, leaving, startedEpochMs } = this.process(index);
    if (!isGone) {
      this.change(index, (entries, revision) => {
        entries.set(index, { revision, server: serverOf(index, startedEpochMs, leaving) });
      });
    }
  }

  drain(index: number): void {
    this.processes.set(index, { ...this.process(index), leaving: true });
    this.write(index);
  }

  /** A server ends and its entry is removed, with or without an announcement. */
  end(index: number): void {
    this.processes.set(index, { ...this.process(index), isGone: true });
    this.change(index, (entries) => {
      entries.delete(index);
    });
  }

  restart(index: number): void {
    const startedEpochMs = this.process(index).startedEpochMs + 1;
    this.processes.set(index, { isGone: false, leaving: false, startedEpochMs });
    this.write(index);
  }

  /** Whether a server drains, has ended or was replaced by a restart. */
  isEnding(index: number, startedEpochMs: number): boolean {
    const process = this.process(index);
    return process.isGone || process.leaving || process.startedEpochMs !== startedEpochMs;
  }

  /** The operator writes a version; also the newest one again after a restore. */
  publish(isNew: boolean): void {
    this.newestVersion += isNew ? 1 : 0;
    this.contents = {
      ...this.contents,
      revision: this.contents.revision + 1,
      version: this.newestVersion,
    };
  }

  copy(): void {
    this.copied = this.contents;
  }

  restore(): void {
    this.era += 1;
    this.contents = this.copied;
  }

  fullRead(): FollowedChanges {
    const { entries } = this.contents;
    return this.changes(
      [...entries].map(([index, entry]) => toChange(index, entry.revision, entry)),
    );
  }

  /** Changes since a revision of the current era. */
  watch(after: number): FollowedChanges {
    return this.changes(this.contents.history.filter(({ revision }) => revision > after));
  }

  private changes(servers: readonly ServerChange[]): FollowedChanges {
    const { revision, version } = this.contents;
    return {
      configuration: configurationOf(version),
      era: toNumberId<StoreEra>(this.era),
      members: [],
      membersGone: [],
      revision: toNumberId<Revision>(revision),
      servers,
      unreadable: [],
    };
  }

  private process(index: number): ModelProcess {
    return this.processes.get(index) ?? { isGone: false, leaving: false, startedEpochMs: 1 };
  }

  private change(
    index: number,
    change: (entries: Map<number, ModelEntry>, revision: number) => void,
  ): void {
    const entries = new Map(this.contents.entries);
    const revision = this.contents.revision + 1;
    change(entries, revision);
    const history = [...this.contents.history, toChange(index, revision, entries.get(index))];
    this.contents = { ...this.contents, entries, history, revision };
  }
}

function toChange(index: number, revision: number, entry: ModelEntry | undefined): ServerChange {
  return {
    revision: toNumberId<Revision>(revision),
    server: entry?.server,
    serverId: toId<ServerId>(`s${index}`),
  };
}

function serverOf(index: number, startedEpochMs: number, leaving: boolean): BackendServer {
  return {
    failureDomain: toId<FailureDomainId>('a'),
    host: '10.0.0.1',
    leaving,
    port: 80 + index,
    serverId: toId<ServerId>(`s${index}`),
    service: SERVICE,
    slots: 1,
    startedEpochMs,
  };
}

function configurationOf(version: number): ServingConfiguration {
  const limits = { headerTimeoutMs: 1, idleTimeoutMs: 1, maxBodyBytes: 1, maxHeaderBytes: 1 };
  const teams = [{ apiKeys: [`key-${version}`], rank: undefined, teamId: toId('team') }];
  return { limits, routes: [], services: [], teams, version } as unknown as ServingConfiguration;
}

/** One daemon, with what it has seen. */
class ModelDaemon {
  readonly endedServers = new Set<string>();
  highestVersion = 0;
  readonly leavingBefore = new Set<string>();
  readonly registry = new ServerRegistry();
  readonly sent: ChangesMessage[] = [];
  readonly state: ClusterState;
  private nextSnapshot: PeerSnapshot | undefined;

  constructor(index: number, clock: { readonly nowMs: () => number }) {
    const { registry } = this;
    this.state = new ClusterState({
      advanceStorePosition: () => undefined,
      clock,
      directory: {
        cancelPendingCalls: () => undefined,
        ping: () => Promise.resolve({ isReachable: false }),
        readAll: () => Promise.resolve(failure({ kind: 'unreachable', reason: 'test' })),
        readConfiguration: () => Promise.resolve(failure({ kind: 'unreachable', reason: 'test' })),
        register: () => Promise.resolve(success(REGISTRATION)),
        renewLease: () => Promise.resolve(success('renewed')),
        watch: () => Promise.resolve(failure({ kind: 'unreachable', reason: 'test' })),
      },
      failureDomain: toId<FailureDomainId>('a'),
      host: `10.0.0.${index}`,
      log: { info: () => undefined, warn: () => undefined },
      limits: () => [],
      memberId: toId<MemberId>(`m${index}`),
      onConfiguration: () => undefined,
      onLimits: () => undefined,
      onNewEra: () => undefined,
      onServerLeaving: () => undefined,
      peers: () => ({
        announceConfiguration: () => undefined,
        broadcastChanges: (message) => {
          this.sent.push(message);
        },
        fetchConfiguration: () => Promise.resolve(undefined),
        fetchSnapshot: () => Promise.resolve(this.nextSnapshot),
        randomHost: () => undefined,
        removeMember: () => undefined,
        scheduleHeartbeat: () => undefined,
        scheduleHeartbeatToAll: () => undefined,
        table: { add: () => undefined, members: () => [] },
      }),
      randomUnit: () => 0.5,
      registry,
    });
  }

  async fetchFrom(other: ModelDaemon): Promise<void> {
    this.nextSnapshot = JSON.parse(JSON.stringify(other.state.snapshot(0))) as PeerSnapshot;
    await this.state.syncFromPeer('10.0.0.9');
  }

  usable(): readonly string[] {
    return this.registry.usableServers(SERVICE, 0).map(incarnationOf);
  }

  /** Remembers what this daemon has seen so far; returns what contradicts it. */
  check(store: ModelStore, hasWaited: boolean): readonly string[] {
    const problems = this.usable()
      .filter((incarnation) => this.endedServers.has(incarnation))
      .map((incarnation) => `${incarnation} was brought back`);
    const { configurationVersion } = this.state.position();
    if (configurationVersion < this.highestVersion) {
      problems.push(`version ${configurationVersion} after ${this.highestVersion}`);
    }
    const withdrawn = `key-${this.highestVersion - 1}`;
    if (this.state.routes()?.findTeam(withdrawn)) {
      problems.push(`${withdrawn} was accepted again`);
    }
    this.highestVersion = Math.max(this.highestVersion, configurationVersion);
    for (const { leaving, server } of this.registry.all()) {
      const index = Number(server.serverId.slice(1));
      const incarnation = incarnationOf(server);
      // A lapse says only that an entry is missing: a later entry, though outdated, is better known.
      const hasBegunToLeave = leaving && !hasWaited && !this.leavingBefore.has(incarnation);
      if (hasBegunToLeave && store.isEnding(index, server.startedEpochMs)) {
        this.endedServers.add(incarnation);
      }
      if (leaving) {
        this.leavingBefore.add(incarnation);
      } else {
        this.leavingBefore.delete(incarnation);
      }
    }
    return problems;
  }
}

function incarnationOf({ serverId, startedEpochMs }: BackendServer): string {
  return `${serverId}/${startedEpochMs}`;
}

/** Throws when something outdated changed the servers in use. */
function assertUnchanged(
  isOutdated: boolean,
  before: readonly string[],
  after: readonly string[],
): void {
  if (isOutdated && before.join(' ') !== after.join(' ')) {
    throw new Error(`[${before.join(' ')}] became [${after.join(' ')}] by an earlier era`);
  }
}

const daemonIndex = fc.nat({ max: DAEMONS - 1 });
const serverIndex = fc.nat({ max: SERVERS - 1 });
const step = fc.oneof(
  fc.record({ index: serverIndex, kind: fc.constant('writes' as const) }),
  fc.record({ index: serverIndex, kind: fc.constant('drains' as const) }),
  fc.record({ index: serverIndex, kind: fc.constant('ends' as const) }),
  fc.record({ index: serverIndex, kind: fc.constant('restarts' as const) }),
  fc.record({ isNew: fc.boolean(), kind: fc.constant('published' as const) }),
  fc.record({ kind: fc.constant('copied' as const) }),
  fc.record({ kind: fc.constant('restored' as const) }),
  fc.record({ kind: fc.constant('waited' as const), ms: fc.nat({ max: MAX_WAIT_MS }) }),
  fc.record({ daemon: daemonIndex, kind: fc.constant('readsStore' as const) }),
  fc.record({ daemon: daemonIndex, kind: fc.constant('watches' as const) }),
  fc.record({ daemon: daemonIndex, kind: fc.constant('answerDelayed' as const) }),
  fc.record({ daemon: daemonIndex, kind: fc.constant('answerArrives' as const) }),
  fc.record({ daemon: daemonIndex, from: daemonIndex, kind: fc.constant('fetches' as const) }),
  fc.record({ daemon: daemonIndex, from: daemonIndex, kind: fc.constant('hears' as const) }),
);

test('eras, listings, late answers and peers in any order bring nothing back', async (t) => {
  await fc.assert(
    fc.asyncProperty(
      fc.array(step, { maxLength: 80, minLength: 40, size: 'max' }),
      async (steps) => {
        let nowMs = 0;
        const store = new ModelStore();
        for (let index = 0; index < SERVERS; index += 1) {
          store.write(index);
        }
        const daemons = Array.from(
          { length: DAEMONS },
          (_, index) => new ModelDaemon(index, { nowMs: () => nowMs }),
        );
        const delayed = new Map<number, FollowedChanges>();
        for (const one of steps) {
          const daemon = 'daemon' in one ? daemons[one.daemon] : undefined;
          const from = 'from' in one ? daemons[one.from] : undefined;
          switch (one.kind) {
            case 'writes':
              store.write(one.index);
              break;
            case 'drains':
              store.drain(one.index);
              break;
            case 'ends':
              store.end(one.index);
              break;
            case 'restarts':
              store.restart(one.index);
              break;
            case 'published':
              store.publish(one.isNew);
              break;
            case 'copied':
              store.copy();
              break;
            case 'restored':
              store.restore();
              break;
            case 'waited':
              nowMs += one.ms;
              daemons.forEach(({ state }) => {
                state.removeExpiredServers();
              });
              break;
            case 'readsStore':
              daemon?.state.applyStoreChanges(store.fullRead(), 'full');
              break;
            case 'watches': {
              const position = daemon?.state.position();
              if (position?.era === toNumberId<StoreEra>(store.era)) {
                daemon?.state.applyStoreChanges(store.watch(position.revision), 'watch');
              }
              break;
            }
            case 'answerDelayed':
              delayed.set(one.daemon, store.fullRead());
              break;
            case 'answerArrives': {
              const answer = delayed.get(one.daemon);
              if (answer && daemon) {
                const isOutdated = answer.era < daemon.state.position().era;
                const before = daemon.usable();
                daemon.state.applyStoreChanges(answer, 'full');
                assertUnchanged(isOutdated, before, daemon.usable());
              }
              break;
            }
            case 'fetches':
              if (daemon && from) {
                await daemon.fetchFrom(from);
              }
              break;
            case 'hears':
              if (daemon && from) {
                daemon.state.markLeaving(from.registry.serversMarkedLeaving(), 'peer');
                for (const message of from.sent) {
                  const isOutdated = message.era < daemon.state.position().era;
                  const before = daemon.usable();
                  daemon.state.onChangesMessage(message);
                  assertUnchanged(isOutdated, before, daemon.usable());
                }
              }
          }
          const problems = daemons.flatMap((each) => [...each.check(store, one.kind === 'waited')]);
          if (problems.length > 0) {
            throw new Error(problems.join('; '));
          }
        }
      },
    ),
    { includeErrorInReport: true, numRuns: 1_000, seed: 20 },
  );
  t.pass();
});
