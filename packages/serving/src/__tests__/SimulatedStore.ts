import type {
  EvacuationChange,
  QuarantineReport,
  ServerChange,
  ServingConfiguration,
} from '@laburnumgap/dispatch';
import type {
  FailureDomainId,
  FingerprintId,
  LeaseId,
  Result,
  Revision,
  StoreEra,
} from '@laburnumgap/kernel';
import { failure, success, toId, toNumberId } from '@laburnumgap/kernel';
import type {
  DirectoryChanges,
  DirectoryError,
  DirectoryPing,
  MemberAddress,
  PlatformDirectory,
  QuarantineStore,
  Registration,
} from '../index.js';

/** How the store treats one daemon: it answers, refuses every call, or does not respond. */
export type StoreAccess = 'answers' | 'refuses' | 'silent';

type Item = EvacuationChange | ServerChange | ServingConfiguration;

/** Contents of the store at one time. */
export interface SimulatedStoreCopy {
  readonly evacuations: ReadonlyMap<FailureDomainId, EvacuationChange>;
  readonly revision: number;
}

interface HistoryEntry {
  readonly item: Item;
  readonly revision: number;
}

/** Registration of a daemon in a store that names no era. */
export const REGISTRATION: Registration = { leaseId: toId<LeaseId>('7'), leaseMs: 600_000 };

const LATENCY_MS = 4;
const CALL_TIMEOUT_MS = 1_500;
const PING_TIMEOUT_MS = 400;
const WATCH_TIMEOUT_MARGIN_MS = 700;
const REFUSED: DirectoryError = { kind: 'refused', status: 503 };
const TIMEOUT: DirectoryError = { kind: 'unreachable', reason: 'timeout' };
const CANCELLED: DirectoryError = { kind: 'unreachable', reason: 'ECONNRESET' };

/** The platform's store on a fake clock. */
export class SimulatedStore {
  era = 1;
  private configuration: ServingConfiguration | undefined;
  private history: HistoryEntry[] = [];
  private oldestRevision = 0;
  private revision = 1;
  private evacuations = new Map<FailureDomainId, EvacuationChange>();
  readonly quarantines = new Map<FingerprintId, QuarantineReport>();
  private readonly servers = new Map<string, ServerChange>();
  private readonly watches = new Set<() => void>();

  constructor(readonly members: readonly MemberAddress[]) {}

  /** Writes a configuration; the time of the return is the time of its acknowledgement. */
  publish(configuration: ServingConfiguration): void {
    this.configuration = configuration;
    this.append(configuration);
  }

  writeServer(change: Omit<ServerChange, 'revision'>): void {
    const written = { ...change, revision: toNumberId<Revision>(this.revision + 1) };
    this.servers.set(change.serverId, written);
    this.append(written);
  }

  /** The operator writes or removes the key of a failure domain. */
  writeEvacuation(failureDomain: FailureDomainId, isEvacuated: boolean): void {
    const revision = toNumberId<Revision>(this.revision + 1);
    const change = { failureDomain, isEvacuated, revision };
    if (isEvacuated) {
      this.evacuations.set(failureDomain, change);
    } else {
      this.evacuations.delete(failureDomain);
    }
    this.append(change);
  }

  /** Copies evacuations and revision, for {@link restore}. */
  copy(): SimulatedStoreCopy {
    return { evacuations: new Map(this.evacuations), revision: this.revision };
  }

  /** Comes back from a copy: a new era begins, and revisions after the copy are given out again. */
  restore({ evacuations, revision }: SimulatedStoreCopy): void {
    this.era += 1;
    this.evacuations = new Map(evacuations);
    this.revision = revision;
    this.compactHistory();
  }

  /** Discards the history and ends all watches. */
  compactHistory(): void {
    this.history = [];
    this.oldestRevision = this.revision;
    this.wakeWatches();
  }

  currentConfiguration(): ServingConfiguration | undefined {
    return this.configuration;
  }

  readAll(): DirectoryChanges {
    const changes = this.changes(
      [...this.servers.values()],
      this.configuration ? [this.configuration] : [],
      [...this.evacuations.values()],
    );
    return { ...changes, quarantines: [...this.quarantines.values()] };
  }

  /** Changes after a revision; undefined when the history does not reach back to it. */
  changesAfter(revision: number): DirectoryChanges | undefined {
    if (revision < this.oldestRevision || revision > this.revision) {
      return undefined;
    }
    const items = this.history.filter((entry) => entry.revision > revision);
    const servers: ServerChange[] = [];
    const configurations: ServingConfiguration[] = [];
    const evacuations: EvacuationChange[] = [];
    for (const { item } of items) {
      if ('serverId' in item) {
        servers.push(item);
      } else if ('isEvacuated' in item) {
        evacuations.push(item);
      } else {
        configurations.push(item);
      }
    }
    return this.changes(servers, configurations, evacuations);
  }

  isAhead(revision: number): boolean {
    return this.revision > revision;
  }

  /** Calls back once at the next change. */
  onNextChange(listener: () => void): void {
    this.watches.add(listener);
  }

  private changes(
    servers: readonly ServerChange[],
    configurations: readonly ServingConfiguration[],
    evacuations: readonly EvacuationChange[],
  ): DirectoryChanges {
    return {
      configuration: configurations.at(-1),
      era: toNumberId<StoreEra>(this.era),
      evacuations,
      members: this.members,
      membersGone: [],
      revision: toNumberId<Revision>(this.revision),
      servers,
      unreadable: [],
    };
  }

  private append(item: Item): void {
    this.revision += 1;
    this.history.push({ item, revision: this.revision });
    this.wakeWatches();
  }

  private wakeWatches(): void {
    const waiting = [...this.watches];
    this.watches.clear();
    waiting.forEach((listener) => {
      listener();
    });
  }
}

/** One daemon's client of a {@link SimulatedStore}, with the time limits of the platform's client. */
export class SimulatedDirectory implements PlatformDirectory, QuarantineStore {
  access: StoreAccess = 'answers';
  /** Number of watches and queries for changes. */
  watchCount = 0;
  callCount = 0;
  private readonly cancels = new Set<() => void>();

  constructor(private readonly store: SimulatedStore) {}

  cancelPendingCalls(): void {
    [...this.cancels].forEach((cancel) => {
      cancel();
    });
  }

  async ping(): Promise<DirectoryPing> {
    const outcome = await this.call(PING_TIMEOUT_MS, () => success(undefined));
    return outcome.ok
      ? { era: toNumberId<StoreEra>(this.store.era), isReachable: true }
      : { isReachable: false };
  }

  readAll(): Promise<Result<DirectoryChanges, DirectoryError>> {
    return this.call(CALL_TIMEOUT_MS, () => success(this.store.readAll()));
  }

  readConfiguration(): Promise<Result<ServingConfiguration, DirectoryError>> {
    return this.call(CALL_TIMEOUT_MS, () => {
      const configuration = this.store.currentConfiguration();
      return configuration ? success(configuration) : failure({ kind: 'refused', status: 404 });
    });
  }

  register(): Promise<Result<Registration, DirectoryError>> {
    return this.call(CALL_TIMEOUT_MS, () => {
      const era = toNumberId<StoreEra>(this.store.era);
      return success({ ...REGISTRATION, era });
    });
  }

  renewLease(): Promise<Result<'ended' | 'renewed', DirectoryError>> {
    return this.call(CALL_TIMEOUT_MS, () => success('renewed'));
  }

  removeQuarantine(fingerprint: FingerprintId): Promise<Result<undefined, DirectoryError>> {
    return this.call(CALL_TIMEOUT_MS, () => {
      this.store.quarantines.delete(fingerprint);
      return success(undefined);
    });
  }

  writeQuarantine(report: QuarantineReport): Promise<Result<undefined, DirectoryError>> {
    return this.call(CALL_TIMEOUT_MS, () => {
      this.store.quarantines.set(report.fingerprint, report);
      return success(undefined);
    });
  }

  watch(after: Revision, waitMs: number): Promise<Result<DirectoryChanges, DirectoryError>> {
    const timeoutMs = waitMs + WATCH_TIMEOUT_MARGIN_MS;
    this.watchCount += 1;
    return this.call(timeoutMs, (answer) => {
      const respond = (): void => {
        const changes = this.store.changesAfter(after);
        answer(changes ? success(changes) : failure({ kind: 'historyLost' }));
      };
      if (this.store.isAhead(after)) {
        respond();
        return undefined;
      }
      setTimeout(respond, waitMs);
      this.store.onNextChange(respond);
      return undefined;
    });
  }

  /**
   * Makes a call that ends with its answer, its time limit or its cancellation.
   *
   * @param timeoutMs - time limit
   * @param execute - runs at the store; returns the answer, or passes it to its argument later
   */
  private call<T>(
    timeoutMs: number,
    execute: (
      answer: (outcome: Result<T, DirectoryError>) => void,
    ) => Result<T, DirectoryError> | undefined,
  ): Promise<Result<T, DirectoryError>> {
    this.callCount += 1;
    return new Promise((resolve) => {
      const end = (outcome: Result<T, DirectoryError>): void => {
        clearTimeout(timer);
        this.cancels.delete(cancel);
        resolve(outcome);
      };
      const cancel = (): void => {
        end(failure(CANCELLED));
      };
      const answer = (outcome: Result<T, DirectoryError>): void => {
        setTimeout(() => {
          if (this.access === 'answers') {
            end(outcome);
          }
        }, LATENCY_MS / 2);
      };
      const timer = setTimeout(() => {
        end(failure(TIMEOUT));
      }, timeoutMs);
      this.cancels.add(cancel);
      setTimeout(() => {
        if (this.access === 'refuses') {
          end(failure(REFUSED));
        } else if (this.access === 'answers') {
          const outcome = execute(answer);
          if (outcome) {
            answer(outcome);
          }
        }
      }, LATENCY_MS / 2);
    });
  }
}
