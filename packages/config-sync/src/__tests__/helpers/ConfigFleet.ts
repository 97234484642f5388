import { CONTRACT_PREFIX, hashKey } from '@laburnumgap/contracts';
import type { Member, MemberDirectory, Revision, TeamId } from '@laburnumgap/kernel';
import { NO_DECISION_SINK, toId } from '@laburnumgap/kernel';
import type { ConfigBatch, RpcClients } from '@laburnumgap/rpc';
import type { Log, LogFields } from '@laburnumgap/telemetry';
import { stringify } from 'yaml';
import type { ConfigSync, FollowerStream } from '../../index.js';
import { TICK_INTERVAL_MS, startConfigSync } from '../../index.js';
import { FakeConfigStore } from './FakeConfigStore.js';

type Listener = (value?: unknown) => void;

interface Daemon {
  readonly member: Member;
  readonly sync: ConfigSync;
  readonly tick: () => void;
}

/** Text of a contract; its scheduling weight identifies the version. */
export const contractText = (team: string, weight: number): string =>
  stringify({
    customer: 'hoa-sen',
    keys: [{ id: 'first', sha256: hashKey(team) }],
    limits: { concurrentRequests: 1, requestsPerSecond: 1, tokensPerSecond: 1 },
    scheduling: { class: 'batch', weight },
    team,
    waitBoundMs: 1,
  });

/** Many daemons in one process on a fake clock, with links that can be cut or stalled. */
export class ConfigFleet {
  readonly daemons = new Map<string, Daemon>();
  /** Alters the messages sent to followers. */
  transformBatch: (batch: ConfigBatch, link: string) => ConfigBatch = (batch) => batch;
  /** Log lines of all daemons. */
  readonly logLines: string[] = [];
  nowMs = 1_000;
  readonly store = new FakeConfigStore();
  /** Ids of daemons that have not read the member list yet. */
  private readonly daemonsWithoutMembers = new Set<string>();
  private readonly blockedLinks = new Set<string>();
  private readonly listeners = new Set<() => void>();
  private listed: readonly Member[] = [];
  private readonly stalledLinks = new Set<string>();

  constructor(readonly random: () => number) {}

  /** Starts a daemon; the directory lists it unless it is `unlisted`. */
  start(
    id: string,
    failureDomain: string,
    options: { seeds?: string[]; unlisted?: boolean; withoutMembers?: boolean } = {},
  ): void {
    const member: Member = {
      entryVm: toId(id),
      failureDomain: toId(failureDomain),
      incarnation: toId(`${id}-${this.nowMs}`),
      memberId: toId(id),
      region: toId('region'),
      role: 'router',
      rpcAddress: id,
    };
    if (options.withoutMembers) {
      this.daemonsWithoutMembers.add(id);
    }
    if (!options.unlisted) {
      this.setListedMembers([...this.listed, member]);
    }
    let tick = (): void => undefined;
    const sync = startConfigSync({
      clients: this.createClients(id),
      clock: { nowMs: () => this.nowMs },
      decisions: NO_DECISION_SINK,
      directory: this.createDirectory(
        () => options.unlisted === true || this.daemonsWithoutMembers.has(id),
      ),
      log: this.createLog(id),
      member,
      random: { nextUnit: this.random },
      seedAddresses: options.seeds,
      startInterval: (intervalMs, run) => {
        if (intervalMs !== TICK_INTERVAL_MS) {
          return () => undefined;
        }
        tick = run;
        return () => {
          tick = (): void => undefined;
        };
      },
      store: this.store.createClient(id),
    });
    this.daemons.set(id, {
      member,
      sync,
      tick: () => {
        tick();
      },
    });
  }

  /** Stops a daemon at once; by default the directory still lists it. */
  kill(id: string, stillListed = true): void {
    this.daemons.get(id)?.sync.stop();
    this.daemons.delete(id);
    if (!stillListed) {
      this.setListedMembers(this.listed.filter(({ memberId }) => memberId !== toId(id)));
    }
  }

  /** Cuts the links between daemons; stalled links stay open but deliver nothing. */
  cutLinks(between: (from: string, to: string) => boolean, isStalled = false): void {
    const links = isStalled ? this.stalledLinks : this.blockedLinks;
    for (const from of this.daemons.keys()) {
      for (const to of this.daemons.keys()) {
        if (from !== to && between(from, to)) {
          links.add(`${from}>${to}`);
        }
      }
    }
  }

  /** Shows the member list to the daemons that started without it. */
  showMembers(): void {
    this.daemonsWithoutMembers.clear();
    this.setListedMembers(this.listed);
  }

  /** Restores all links; streams that have stalled stay stalled. */
  restoreLinks(): void {
    this.blockedLinks.clear();
    this.stalledLinks.clear();
  }

  /** Advances the clock in steps of the timer interval. */
  async advance(durationMs: number, check: () => void = () => undefined): Promise<void> {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += 250;
      for (const { tick } of [...this.daemons.values()]) {
        tick();
      }
      await flushPromises();
      check();
    }
  }

  /** Version of a team's contract that is in force at a daemon; 0 if there is none. */
  versionAt(id: string, team: string): number {
    const contracts = this.daemons.get(id)?.sync.view.snapshot().contracts;
    return contracts?.get(toId<TeamId>(team))?.contract.scheduling.weight ?? 0;
  }

  revisionAt(id: string): Revision | undefined {
    return this.daemons.get(id)?.sync.view.snapshot().revision;
  }

  /** Writes a version of a team's contract to the store. */
  acceptVersion(team: string, version: number): void {
    this.store.put(`${CONTRACT_PREFIX}${team}`, contractText(team, version));
  }

  private createClients(from: string): RpcClients {
    const follow = (address: string, request: { afterRevision: number }): unknown => {
      const handler = this.daemons.get(address)?.sync.handlers.Follow as
        ((stream: FollowerStream) => void) | undefined;
      return this.connect(from, address, request.afterRevision, handler);
    };
    const clients = {
      close: () => undefined,
      get: (_name: string, address: string) => ({
        follow: (request: { afterRevision: number }) => follow(address, request),
      }),
      metadata: () => undefined,
      unary: () => Promise.reject(new Error('not used')),
    };
    return clients as unknown as RpcClients;
  }

  private connect(
    from: string,
    to: string,
    afterRevision: number,
    handler: ((stream: FollowerStream) => void) | undefined,
  ): unknown {
    const clientListeners = new Map<string, Listener>();
    const serverListeners = new Map<string, Listener>();
    let isOpen = true;
    let hasStalled = false;
    const link = `${from}>${to}`;
    const isBlocked = (): boolean => this.blockedLinks.has(link) || !this.daemons.has(to);
    const end = (event: string): void => {
      isOpen = false;
      clientListeners.get(event)?.(new Error('unreachable'));
    };
    setImmediate(() => {
      if (!handler || isBlocked()) {
        end('error');
        return;
      }
      handler({
        end: () => {
          end('end');
        },
        on: (event, listener) => serverListeners.set(event, listener),
        request: { afterRevision, memberId: from },
        write: (batch: ConfigBatch) => {
          hasStalled ||= this.stalledLinks.has(link);
          if (isBlocked()) {
            end('error');
          } else if (isOpen && !hasStalled) {
            clientListeners.get('data')?.(this.transformBatch(structuredClone(batch), link));
          }
          return true;
        },
      });
    });
    return {
      cancel: () => {
        isOpen = false;
        serverListeners.get('cancelled')?.();
      },
      on: (event: string, listener: Listener) => clientListeners.set(event, listener),
    };
  }

  private createDirectory(isEmpty: () => boolean): MemberDirectory {
    return {
      members: (role) => (role === 'router' && !isEmpty() ? this.listed : []),
      onChange: (listener) => {
        this.listeners.add(listener);
        return () => {
          this.listeners.delete(listener);
        };
      },
      rank: () => [],
      suspect: () => undefined,
    };
  }

  private createLog(id: string): Log {
    const write = (event: string, fields?: LogFields): void => {
      this.logLines.push(`${id} ${event} ${JSON.stringify(fields ?? {})}`);
    };
    const log: Log = { child: () => log, debug: write, error: write, info: write, warn: write };
    return log;
  }

  private setListedMembers(members: readonly Member[]): void {
    this.listed = members;
    for (const listener of [...this.listeners]) {
      listener();
    }
  }
}

/** Waits until pending promises and immediates have run. */
export async function flushPromises(): Promise<void> {
  for (let turn = 0; turn < 3; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
