import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

interface Item {
  readonly key: string;
  readonly revision: number;
  readonly createRev: number;
  readonly lease: number;
  readonly value?: string;
  readonly tombstone?: boolean;
}

interface Lease {
  readonly timer: NodeJS.Timeout;
  readonly ttlMs: number;
}

/** Everything that the store holds at one time. */
export interface StoreCopy {
  readonly items: ReadonlyMap<string, Item>;
  readonly history: readonly Item[];
  readonly revision: number;
}

/** Stand-in for the platform's store, as PROTOCOL.md describes it. */
export class Store {
  era = 1;
  /** Leases that have ended are looked for each time that so many milliseconds have passed. */
  sweepMs = 1;
  /** Longest time to live of a lease that the store grants, whatever is asked. */
  maxTtlMs = 600_000;
  /** Calls are neither carried out nor answered. */
  isSilent = false;
  /** Called with each key that was removed because its lease ended. */
  onLeaseEnd: (key: string) => void = () => undefined;
  private history: Item[] = [];
  private items = new Map<string, Item>();
  private lastLease = 0;
  private readonly leases = new Map<number, Lease>();
  private revision = 1;
  private readonly server: Server;
  private readonly wakeups = new Set<() => void>();

  private constructor() {
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
  }

  static async start(host: string): Promise<Store> {
    const store = new Store();
    await new Promise<void>((resolve) => store.server.listen(0, host, resolve));
    return store;
  }

  address(): string {
    const { address, port } = this.server.address() as AddressInfo;
    return `${address}:${port}`;
  }

  /** Writes a value as the operator or a server does. */
  put(key: string, value: unknown): void {
    this.write(key, Buffer.from(JSON.stringify(value)).toString('base64'));
  }

  remove(key: string): void {
    this.write(key, undefined);
  }

  keys(prefix: string): readonly string[] {
    return [...this.items.keys()].filter((key) => key.startsWith(prefix));
  }

  copy(): StoreCopy {
    return { history: [...this.history], items: new Map(this.items), revision: this.revision };
  }

  /** Comes back from a copy; what was written since is gone, and the era rises by one. */
  restore(copy: StoreCopy): void {
    this.era += 1;
    this.history = [...copy.history];
    this.items = new Map(copy.items);
    this.revision = copy.revision;
    this.server.closeAllConnections();
  }

  stop(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  /** The keys of a lease are removed when it ends. */
  private grantLease(askedMs: number): { readonly lease: number; readonly ttlMs: number } {
    this.lastLease += 1;
    const lease = this.lastLease;
    const ttlMs = Math.min(askedMs, this.maxTtlMs);
    const endMs = performance.now() + ttlMs;
    const sweptMs = Math.ceil(endMs / this.sweepMs) * this.sweepMs;
    const timer = setTimeout(
      () => {
        this.endLease(lease);
      },
      Math.ceil(sweptMs - performance.now()),
    );
    this.leases.set(lease, { timer, ttlMs });
    return { lease, ttlMs };
  }

  private endLease(lease: number): void {
    this.leases.delete(lease);
    for (const item of [...this.items.values()]) {
      if (item.lease === lease) {
        this.remove(item.key);
        this.onLeaseEnd(item.key);
      }
    }
  }

  private write(key: string, value: string | undefined, lease = 0): void {
    this.revision += 1;
    const { revision } = this;
    const createRev = this.items.get(key)?.createRev ?? revision;
    const item: Item =
      value === undefined
        ? { createRev, key, lease: 0, revision, tombstone: true }
        : { createRev, key, lease, revision, value };
    this.history.push(item);
    if (value === undefined) {
      this.items.delete(key);
    } else {
      this.items.set(key, item);
    }
    for (const wake of [...this.wakeups]) {
      wake();
    }
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    let body = '';
    for await (const chunk of request) {
      body += String(chunk);
    }
    if (this.isSilent) {
      return;
    }
    const url = new URL(request.url ?? '/', 'http://store');
    const prefix = url.searchParams.get('prefix') ?? '';
    const answer = (status: number, value: unknown): void => {
      response.writeHead(status, {
        'Content-Type': 'application/json',
        'Store-Era': String(this.era),
      });
      response.end(JSON.stringify(value));
    };
    switch (`${request.method ?? ''} ${url.pathname}`) {
      case 'GET /api/kv-key': {
        const item = this.items.get(url.searchParams.get('key') ?? '');
        answer(item ? 200 : 404, { ...item, storeRevision: this.revision });
        break;
      }
      case 'GET /api/kv-range': {
        const after = url.searchParams.get('after') ?? '';
        const entries = [...this.items.values()]
          .filter(({ key }) => key.startsWith(prefix) && key > after)
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        answer(200, { entries, hasMore: false, storeRevision: this.revision });
        break;
      }
      case 'GET /api/kv-watch':
        await this.watch(url.searchParams, prefix, answer);
        break;
      case 'POST /api/kv-lease': {
        const { ttlMs } = JSON.parse(body) as { ttlMs: number };
        answer(200, this.grantLease(ttlMs));
        break;
      }
      case 'POST /api/kv-txn': {
        const { remove, writes } = JSON.parse(body) as {
          remove?: string[];
          writes?: { key: string; lease?: number; value: string }[];
        };
        if (writes?.some(({ lease = 0 }) => lease !== 0 && !this.leases.has(lease)) === true) {
          answer(404, {});
          break;
        }
        writes?.forEach(({ key, lease, value }) => {
          this.write(key, value, lease);
        });
        remove?.forEach((key) => {
          this.remove(key);
        });
        answer(200, { revision: this.revision });
        break;
      }
      default: {
        const id = /^\/api\/kv-keep\/(\d+)$/.exec(url.pathname)?.[1];
        const lease = id === undefined ? undefined : this.leases.get(Number(id));
        lease?.timer.refresh();
        answer(lease ? 200 : 404, lease ? { ttlMs: lease.ttlMs } : {});
      }
    }
  }

  private async watch(
    query: URLSearchParams,
    prefix: string,
    answer: (status: number, value: unknown) => void,
  ): Promise<void> {
    const after = Number(query.get('after'));
    if (after > this.revision) {
      answer(410, {});
      return;
    }
    const events = (): readonly Item[] =>
      this.history.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    if (events().length === 0) {
      await new Promise<void>((resolve) => {
        const wake = (): void => {
          clearTimeout(timer);
          this.wakeups.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Number(query.get('waitMs')));
        this.wakeups.add(wake);
      });
    }
    if (!this.isSilent) {
      answer(200, { events: events(), storeRevision: this.revision });
    }
  }
}
