import type { BackendServer, ReceivedRequest } from './server.js';
import type { Deployment } from './deployment.js';
import { sleep } from './deployment.js';
import type { CaseRecord } from './record.js';

/** What an engine does with a request that crashes it: nothing by default. */
export interface EngineOptions {
  readonly crashesOn?: (request: ReceivedRequest) => boolean;
  /** Time from the arrival of a request to the first event of its answer. */
  readonly firstEventMs: number;
  readonly eventMs: number;
  readonly events: number;
  /** Time after which a crashed server is back. */
  readonly downMs: number;
  readonly onCrash?: (atMs: number) => void;
  readonly onArrival?: (request: ReceivedRequest, atMs: number) => void;
}

/** Stand-in for a model server: event streams, reports, and crashes. */
export class Engine {
  private server: BackendServer | undefined;

  constructor(
    private readonly deployment: Deployment,
    private readonly record: CaseRecord,
    readonly id: string,
    private readonly service: string,
    private readonly zone: string,
    private readonly options: EngineOptions,
  ) {}

  async start(): Promise<void> {
    this.server = await this.deployment.addServer(this.id, this.service, this.zone, (request) => {
      this.onRequest(request);
    });
  }

  private onRequest(request: ReceivedRequest): void {
    const { crashesOn, firstEventMs, onArrival } = this.options;
    if (request.path === '/api/report') {
      const report = { busy: false, handles: 0, kvTotal: 34_360, kvUsed: 0, models: [] };
      request.reply(
        200,
        JSON.stringify({ ...report, queued: 0, running: 0, sequence: 0, stage: 'both' }),
      );
      return;
    }
    if (request.path.startsWith('/api/')) {
      request.reply(404, '');
      return;
    }
    onArrival?.(request, performance.now());
    this.record.line(`server ${this.id} gets ${request.requestId}`);
    const isHarmful = crashesOn?.(request) === true;
    setTimeout(() => {
      if (request.socket.destroyed) {
        return;
      }
      this.begin(request);
      if (isHarmful) {
        void this.crash();
      } else {
        this.stream(request);
      }
    }, firstEventMs);
  }

  private begin({ requestId, socket }: ReceivedRequest): void {
    const lines = [
      'HTTP/1.1 200 OK',
      `Request-Id: ${requestId}`,
      `Response-Stamp: stamp-${requestId}`,
      'Content-Type: text/event-stream',
      'Transfer-Encoding: chunked',
    ];
    socket.write(`${lines.join('\r\n')}\r\n\r\n`);
  }

  private stream({ socket }: ReceivedRequest): void {
    socket.setMaxListeners(0);
    let id = 0;
    const timer = setInterval(() => {
      id += 1;
      const event = `id: ${id}\ndata: ${'x'.repeat(40)}\n\n`;
      socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
      if (id >= this.options.events) {
        clearInterval(timer);
        socket.write('0\r\n\r\n');
      }
    }, this.options.eventMs);
    socket.once('close', () => {
      clearInterval(timer);
    });
  }

  /** The process ends: its sockets are closed, its port refuses, until it is started again. */
  private async crash(): Promise<void> {
    const { server } = this;
    if (!server) {
      return;
    }
    this.server = undefined;
    const port = server.port();
    const { host } = server;
    this.options.onCrash?.(performance.now());
    this.record.line(`server ${this.id} CRASHES`);
    server.stop();
    await sleep(this.options.downMs);
    this.server = await this.deployment.restartServer(
      this.id,
      this.service,
      this.zone,
      host,
      port,
      (request) => {
        this.onRequest(request);
      },
    );
    this.record.line(`server ${this.id} is back`);
  }
}
