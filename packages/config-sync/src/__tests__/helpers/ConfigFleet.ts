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

/** A text of a contract of which the weight tells the version. */
export const contractText = (team: string, weight: number): string =>
  stringify({
    customer: 'hoa-sen',
    keys: [{ id: 'first', sha256: hashKey(team) }],
    limits: { concurrentRequests: 1, requestsPerSecond: 1, tokensPerSecond: 1 },
    scheduling: { class: 'batch', weight },
    team,
    waitBoundMs: 1,
  });

/** Many daemons in one process on a fake clock, with links that can be cut or go silent. */
export class ConfigFleet {
  readonly daemons = new Map<string, Daemon>();
  /** Changes a message on its way to a follower. */
  corrupt: (batch: ConfigBatch, link: string) => ConfigBatch = (batch) => batch;
  /** Log lines of all daemons. */
  readonly lines: string[] = [];
  nowMs = 1_000;
  readonly store = new FakeConfigStore();
  /** Daemons that have not read the members yet. */
  private readonly blind = new Set<string>();
  private readonly blockedLinks = new Set<string>();
  private readonly listeners = new Set<() => void>();
  private listed: readonly Member[] = [];
  private readonly silentLinks = new Set<string>();

  constructor(readonly random: () => number) {}

  /** Starts a daemon; the directory lists it unless told otherwise. */
  start(
    id: string,
    failureDomain: string,
    options: { blind?: boolean; seeds?: string[]; unlisted?: boolean } = {},
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
    if (options.blind) {
      this.blind.add(id);
    }
    if (!options.unlisted) {
      this.list([...this.listed, member]);
    }
    let tick = (): void => undefined;
    const sync = startConfigSync({
      clients: this.clientsOf(id),
      clock: { nowMs: () => this.nowMs },
      decisions: NO_DECISION_SINK,
      directory: this.directoryOf(() => options.unlisted === true || this.blind.has(id)),
      log: this.logOf(id),
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
      store: this.store.clientOf(id),
    });
    this.daemons.set(id, {
      member,
      sync,
      tick: () => {
        tick();
      },
    });
  }

  /** Ends a daemon at once; the directory lists it until told otherwise. */
  kill(id: string, stillListed = true): void {
    this.daemons.get(id)?.sync.stop();
    this.daemons.delete(id);
    if (!stillListed) {
      this.list(this.listed.filter(({ memberId }) => memberId !== toId(id)));
    }
  }

  /** Cuts the links between daemons; `silent` ones stay open and deliver nothing. */
  cut(between: (from: string, to: string) => boolean, silent = false): void {
    const links = silent ? this.silentLinks : this.blockedLinks;
    for (const from of this.daemons.keys()) {
      for (const to of this.daemons.keys()) {
        if (from !== to && between(from, to)) {
          links.add(`${from}>${to}`);
        }
      }
    }
  }

  /** Lets the daemons that started blind see the members. */
  showMembers(): void {
    this.blind.clear();
    this.list(this.listed);
  }

  heal(): void {
    this.blockedLinks.clear();
    this.silentLinks.clear();
  }

  /** Lets time pass in steps of a timer interval. */
  async advance(durationMs: number, check: () => void = () => undefined): Promise<void> {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += 250;
      for (const { tick } of [...this.daemons.values()]) {
        tick();
      }
      await settle();
      check();
    }
  }

  /** Version of a team's contract in force at a daemon, 0 for none. */
  versionAt(id: string, team: string): number {
    const contracts = this.daemons.get(id)?.sync.view.snapshot().contracts;
    return contracts?.get(toId<TeamId>(team))?.contract.scheduling.weight ?? 0;
  }

  revisionAt(id: string): Revision | undefined {
    return this.daemons.get(id)?.sync.view.snapshot().revision;
  }

  /** Writes a version of a team's contract. */
  accept(team: string, version: number): void {
    this.store.put(`${CONTRACT_PREFIX}${team}`, contractText(team, version));
  }

  private clientsOf(from: string): RpcClients {
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
    const client = new Map<string, Listener>();
    const server = new Map<string, Listener>();
    let isOpen = true;
    let isSilent = false;
    const link = `${from}>${to}`;
    const isBlocked = (): boolean => this.blockedLinks.has(link) || !this.daemons.has(to);
    const end = (event: string): void => {
      isOpen = false;
      client.get(event)?.(new Error('unreachable'));
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
        on: (event, listener) => server.set(event, listener),
        request: { afterRevision, memberId: from },
        write: (batch: ConfigBatch) => {
          isSilent ||= this.silentLinks.has(link);
          if (isBlocked()) {
            end('error');
          } else if (isOpen && !isSilent) {
            client.get('data')?.(this.corrupt(structuredClone(batch), link));
          }
          return true;
        },
      });
    });
    return {
      cancel: () => {
        isOpen = false;
        server.get('cancelled')?.();
      },
      on: (event: string, listener: Listener) => client.set(event, listener),
    };
  }

  private directoryOf(isEmpty: () => boolean): MemberDirectory {
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

  private logOf(id: string): Log {
    const write = (event: string, fields?: LogFields): void => {
      this.lines.push(`${id} ${event} ${JSON.stringify(fields ?? {})}`);
    };
    const log: Log = { child: () => log, debug: write, error: write, info: write, warn: write };
    return log;
  }

  private list(members: readonly Member[]): void {
    this.listed = members;
    for (const listener of [...this.listeners]) {
      listener();
    }
  }
}

/** Lets promises and deferred calls run. */
export async function settle(): Promise<void> {
  for (let turn = 0; turn < 3; turn += 1) {
    await new Promise((resolve) => setImmediate(resolve));
  }
}
