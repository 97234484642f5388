import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import type { StoreStandin } from '../../platform/src/__tests__/support/StoreStandin.js';

/** A request that a server runs. */
export interface RunRequest {
  readonly body: Buffer;
  readonly id: string;
  readonly raw: IncomingMessage;
  readonly response: ServerResponse;
  readonly server: StandinServer;
}

/** Options of {@link StandinServer.start}. */
export interface StandinServerOptions {
  readonly name: string;
  /** Called with a request that the server begins to run. */
  readonly onRun: (request: RunRequest) => void;
  readonly service: string;
  readonly slots: number;
  readonly store: StoreStandin;
  readonly zone: string;
}

const KEEP_ALIVE_MS = 10_000;

/** A server of the platform's users: registers itself, and can crash and come back under another id. */
export class StandinServer {
  /** When requests began to run, monotonic time. */
  readonly runsMs: number[] = [];
  private bornEpochMs = 0;
  private port = 0;
  private sequence = 0;
  private server: Server | undefined;
  private startCount = 0;

  private constructor(private readonly options: StandinServerOptions) {}

  static async start(options: StandinServerOptions): Promise<StandinServer> {
    const server = new StandinServer(options);
    await server.listen();
    return server;
  }

  get id(): string {
    return `${this.options.name}-${this.startCount}`;
  }

  isUp(): boolean {
    return this.server !== undefined;
  }

  /** Ends like a process that is killed, and is back after a while at the same address. */
  crash(downMs: number): void {
    const { server } = this;
    if (!server) {
      return;
    }
    this.server = undefined;
    server.close();
    server.closeAllConnections();
    setTimeout(() => {
      this.options.store.remove(`servers/${this.id}`);
      void this.listen();
    }, downMs).unref();
  }

  stop(): void {
    this.server?.close();
    this.server?.closeAllConnections();
  }

  /** Headers that a server adds to its answers. */
  headers(id: string): Readonly<Record<string, string>> {
    return { 'Request-Id': id, 'Response-Stamp': `${this.id}.${this.runsMs.length}` };
  }

  private async listen(): Promise<void> {
    const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (request, response) => {
      this.onRequest(request, response);
    });
    await new Promise<void>((resolve) => {
      server.listen(this.port, '127.0.0.1', resolve);
    });
    this.port = (server.address() as AddressInfo).port;
    this.server = server;
    this.startCount += 1;
    this.bornEpochMs = Date.now();
    this.register();
  }

  /** Writes its entry, also again after the store has lost it. */
  register(): void {
    if (this.isUp()) {
      this.write(this.entry('ready'));
    }
  }

  /** Its next entry. */
  entry(state: 'draining' | 'ready'): object {
    const { service, slots, zone } = this.options;
    this.sequence += 1;
    return {
      address: `127.0.0.1:${this.port}`,
      born: this.bornEpochMs,
      sequence: this.sequence,
      service,
      slots,
      state,
      version: 1,
      zone,
    };
  }

  write(entry: object): void {
    this.options.store.put(`servers/${this.id}`, entry);
  }

  private onRequest(raw: IncomingMessage, response: ServerResponse): void {
    const chunks: Buffer[] = [];
    raw.on('data', (chunk: Buffer) => chunks.push(chunk));
    raw.on('end', () => {
      const id = String(raw.headers['request-id'] ?? '');
      if (raw.url?.startsWith('/api/')) {
        response.writeHead(404);
        response.end('{}');
      } else if (raw.headers['expect-instance'] !== this.id) {
        response.writeHead(421, { 'Not-Executed': '1', 'Request-Id': id });
        response.end();
      } else {
        this.runsMs.push(performance.now());
        this.options.onRun({ body: Buffer.concat(chunks), id, raw, response, server: this });
      }
    });
  }
}
