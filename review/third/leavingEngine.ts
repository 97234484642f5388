import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';

/** What an engine did for one request. */
export interface StreamRun {
  readonly id: string;
  /** Number of events that the run makes in all. */
  readonly eventCount: number;
  madeEvents: number;
  outcome: 'complete' | 'dropped' | 'running' | 'stopped';
  readonly serverId: string;
}

/** Memory of runs that servers keep or have got a copy of. */
export class KeptMemory {
  /** Runs for whose last piece there was no room yet. */
  private readonly refused = new Set<string>();
  private readonly serversByHandle = new Map<string, readonly string[]>();

  /** A server keeps the memory of a run, or has got a copy of it. */
  keep(handle: string, serverIds: readonly string[]): void {
    this.serversByHandle.set(handle, serverIds);
  }

  /** Uses a handle at a server; a handle can be used once. */
  use(handle: string, serverId: string): boolean {
    const isThere = this.serversByHandle.get(handle)?.includes(serverId) ?? false;
    return isThere && this.serversByHandle.delete(handle);
  }

  /** Whether there is room for the last piece of a run: not when it is asked for the first time. */
  takeRoom(id: string): boolean {
    const hasRoom = this.refused.has(id);
    this.refused.add(id);
    return hasRoom;
  }
}

interface OpenRun {
  readonly response: ServerResponse;
  readonly run: StreamRun;
  readonly timer: NodeJS.Timeout;
}

/** How an engine answers. */
export interface EngineOptions {
  /** Time that a copy of a run takes on the link; the last piece takes none. */
  readonly copyMs: number;
  /** Whether streams come in chunks; they have neither a length nor chunks otherwise. */
  readonly isChunked: boolean;
}

const EVENT_MS = 20;

/**
 * Model server that copies the memory of its runs to other servers, but at first finds no room there for the
 * last piece of each.
 */
export class LeavingEngine {
  isLeaving = false;
  readonly runs: StreamRun[] = [];
  private readonly open = new Map<string, OpenRun>();
  private readonly server: Server;

  private constructor(
    readonly id: string,
    private readonly memory: KeptMemory,
    private readonly serverIdAt: (address: string) => string | undefined,
    private readonly note: (text: string) => void,
    private readonly options: EngineOptions,
  ) {
    this.server = createServer((request, response) => {
      void this.handle(request, response);
    });
  }

  /**
   * Starts a server.
   *
   * @param id - its id
   * @param memory - shared by all servers
   * @param serverIdAt - id of the server at an address
   * @param note - adds a line to the record
   * @param options - how it answers
   */
  static async start(
    id: string,
    memory: KeptMemory,
    serverIdAt: (address: string) => string | undefined,
    note: (text: string) => void,
    options: EngineOptions,
  ): Promise<LeavingEngine> {
    const engine = new LeavingEngine(id, memory, serverIdAt, note, options);
    await new Promise<void>((resolve) => engine.server.listen(0, '127.0.0.1', resolve));
    return engine;
  }

  port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  stop(): void {
    this.open.forEach(({ timer }) => {
      clearInterval(timer);
    });
    this.server.close();
    this.server.closeAllConnections();
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    let body = '';
    for await (const chunk of request) {
      body += String(chunk);
    }
    if (this.isLeaving) {
      response.setHeader('Server-Leaving', '1');
    }
    const { headers, url = '' } = request;
    if (url === '/api/kv-move') {
      await this.move(body, response);
    } else if (url === '/api/report') {
      response.end(JSON.stringify({ leaves_ms: this.isLeaving ? 2_000 : undefined }));
    } else if (url.startsWith('/api/')) {
      response.writeHead(200).end();
    } else if (headers['expect-instance'] !== this.id) {
      response.writeHead(421, { 'Instance-Id': this.id }).end();
    } else {
      this.generate(request, response);
    }
  }

  private generate({ headers }: IncomingMessage, response: ServerResponse): void {
    const id = String(headers['request-id']);
    const handle = String(headers['kv-from'] ?? '').split('/')[1];
    const eventCount = Number(String(headers['token-counts']).split(',')[1]) / 4;
    const after = Number(headers['last-event-id'] ?? 0);
    if (handle !== undefined && !this.memory.use(handle, this.id)) {
      response.writeHead(503, { 'Not-Executed': '1', 'Request-Id': id }).end();
      return;
    }
    this.note(`${this.id} ${handle === undefined ? 'runs' : 'goes on with'} ${id} after ${after}`);
    const run: StreamRun = {
      eventCount,
      id,
      madeEvents: after,
      outcome: 'running',
      serverId: this.id,
    };
    this.runs.push(run);
    const { isChunked } = this.options;
    response.useChunkedEncodingByDefault = isChunked;
    response.writeHead(200, {
      ...(isChunked ? {} : { Connection: 'close' }),
      'Content-Type': 'text/event-stream',
      'Request-Id': id,
      'Response-Stamp': `stamp-${this.id}`,
    });
    const timer = setInterval(() => {
      run.madeEvents += 1;
      response.write(`id: ${run.madeEvents}\ndata: token ${run.madeEvents}\n\n`);
      if (run.madeEvents === eventCount) {
        this.close(id, 'complete');
      }
    }, EVENT_MS);
    this.open.set(id, { response, run, timer });
    response.once('close', () => {
      if (run.outcome === 'running') {
        this.close(id, 'dropped');
      }
    });
  }

  private close(id: string, outcome: StreamRun['outcome']): void {
    const open = this.open.get(id);
    if (open) {
      this.open.delete(id);
      clearInterval(open.timer);
      open.run.outcome = outcome;
      this.note(`${this.id}: ${id} is ${outcome} after event ${open.run.madeEvents}`);
      if (outcome === 'stopped' && this.options.isChunked) {
        open.response.socket?.destroySoon();
      } else {
        open.response.end();
      }
    }
  }

  private async move(body: string, response: ServerResponse): Promise<void> {
    const {
      id,
      last = false,
      target,
    } = JSON.parse(body) as {
      id: string;
      last?: boolean;
      target: string;
    };
    const run = this.open.get(id)?.run;
    const handle = `h-${id}`;
    const targetId = this.serverIdAt(target);
    if (!run || targetId === undefined) {
      const status = run ? 503 : 404;
      this.note(`${this.id}: kv-move of ${id}: ${status}`);
      response.writeHead(status).end('{}');
      return;
    }
    if (!last) {
      await sleep(this.options.copyMs);
      this.note(`${this.id}: kv-move of ${id} to ${targetId}: 200`);
      this.memory.keep(handle, [targetId]);
      response.end(JSON.stringify({ createRev: run.madeEvents, handle }));
      return;
    }
    // The run stops first, and its stream is closed without its end.
    this.close(id, 'stopped');
    if (this.memory.takeRoom(id)) {
      this.note(`${this.id}: last kv-move of ${id} to ${targetId}: 200`);
      this.memory.keep(handle, [this.id, targetId]);
      response.end(JSON.stringify({ createRev: run.madeEvents, handle }));
    } else {
      this.note(`${this.id}: last kv-move of ${id} to ${targetId}: 503, no room; kept here`);
      this.memory.keep(handle, [this.id]);
      response.writeHead(503).end(JSON.stringify({ handle }));
    }
  }
}
