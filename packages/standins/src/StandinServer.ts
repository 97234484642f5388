import type { IncomingHttpHeaders, IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseSocketAddress } from '@laburnumgap/kernel';
import { readBody } from './StandinBody.js';
import type { Fault, FaultHandler } from './StandinFaults.js';
import { FaultSwitches, parseFault } from './StandinFaults.js';

/** A call of a stand-in. */
export interface StandinRequest {
  readonly body: string;
  readonly headers: IncomingHttpHeaders;
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
}

/** An open answer that is written piece by piece. */
export interface StandinStream {
  end(): void;
  onClose(listener: () => void): void;
  onDrain(listener: () => void): void;
  /** Returns false when the other end should be given time to read. */
  write(text: string): boolean;
}

/** An answer of a stand-in. */
export type StandinAnswer =
  | {
      readonly contentType: string;
      readonly kind: 'stream';
      readonly start: (stream: StandinStream) => void;
    }
  | {
      readonly headers?: Readonly<Record<string, string>>;
      readonly json?: unknown;
      readonly kind: 'whole';
      readonly status: number;
    };

/** Options of {@link startStandinServer}. */
export interface StandinServerOptions {
  /** Answers calls below `/control/` other than faults; undefined for an unknown path. */
  readonly control?: (request: StandinRequest) => StandinAnswer | undefined;
  readonly faults?: FaultSwitches;
  readonly handle: (request: StandinRequest) => Promise<StandinAnswer> | StandinAnswer;
  /** Ends the process; without it, a kill closes the server and its connections. */
  readonly kill?: () => void;
  readonly listen: string;
  /** Called for each call other than control calls, whatever becomes of it. */
  readonly onCall?: (request: StandinRequest) => void;
  readonly onFault?: FaultHandler;
  /** Body of the answer of a call that a fault refuses. */
  readonly refusedBody?: unknown;
}

/** A running stand-in server. */
export interface StandinServer {
  /** Host and port. */
  readonly address: string;
  close(): Promise<void>;
  readonly faults: FaultSwitches;
  /** Ends the stand-in as a crash would. */
  kill(): void;
  /** Connections open now go silent. */
  silence(): void;
  readonly url: string;
}

const CONTROL_PREFIX = '/control/';

/**
 * Answers with JSON.
 *
 * @param status - HTTP status
 * @param json - body
 * @param headers - further headers
 * @returns the answer
 */
export function whole(
  status: number,
  json?: unknown,
  headers?: Readonly<Record<string, string>>,
): StandinAnswer {
  return { headers, json, kind: 'whole', status };
}

/**
 * Starts the HTTP server of a stand-in with its fault switches.
 *
 * @param options - address, handlers and fault switches
 * @returns the running server
 * @throws when the address cannot be bound
 */
export async function startStandinServer(options: StandinServerOptions): Promise<StandinServer> {
  const runner = new StandinRunner(options);
  await runner.listen();
  return runner;
}

class StandinRunner implements StandinServer {
  address = '';
  readonly faults: FaultSwitches;
  readonly #options: StandinServerOptions;
  readonly #server: Server;
  readonly #silent = new WeakSet<Socket>();
  readonly #sockets = new Set<Socket>();

  constructor(options: StandinServerOptions) {
    this.#options = options;
    this.faults = options.faults ?? new FaultSwitches();
    this.#server = createServer((request, response) => {
      void this.#serve(request, response);
    });
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => this.#sockets.delete(socket));
    });
  }

  get url(): string {
    return `http://${this.address}`;
  }

  listen(): Promise<void> {
    const { host, port } = parseSocketAddress(this.#options.listen);
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen({ host, port }, () => {
        const bound = this.#server.address();
        this.address = `${host}:${typeof bound === 'object' && bound ? bound.port : port}`;
        resolve();
      });
    });
  }

  close(): Promise<void> {
    return new Promise((resolve) => {
      this.#server.close(() => {
        resolve();
      });
      this.#destroySockets();
    });
  }

  kill(): void {
    if (this.#options.kill) {
      this.#options.kill();
      return;
    }
    this.#server.close();
    this.#destroySockets();
  }

  silence(except?: Socket): void {
    for (const socket of this.#sockets) {
      if (socket !== except) {
        this.#silent.add(socket);
      }
    }
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.#silent.has(request.socket)) {
      return;
    }
    const body = await readBody(request);
    if (body === undefined) {
      response.writeHead(413).end();
      return;
    }
    const url = new URL(request.url ?? '/', 'http://standin');
    const call: StandinRequest = {
      body,
      headers: request.headers,
      method: request.method ?? 'GET',
      path: url.pathname,
      query: url.searchParams,
    };
    if (call.path.startsWith(CONTROL_PREFIX)) {
      this.#send(response, this.#control(call, request.socket));
      return;
    }
    this.#options.onCall?.(call);
    await this.#serveUnderFaults(call, response);
  }

  async #serveUnderFaults(call: StandinRequest, response: ServerResponse): Promise<void> {
    await this.faults.thawed();
    if (this.faults.takeRefused(call.path)) {
      this.#send(response, whole(503, this.#options.refusedBody ?? { error: 'refused' }));
      return;
    }
    const answer = await this.#options.handle(call);
    const delayMs = this.faults.delayMsOf(call.path);
    if (delayMs > 0) {
      await sleep(delayMs, undefined, { ref: false });
    }
    await this.faults.thawed();
    if (this.faults.takeLost(call.path)) {
      response.socket?.resetAndDestroy();
      return;
    }
    this.#send(response, answer);
  }

  #control(call: StandinRequest, socket: Socket): StandinAnswer {
    if (call.path !== `${CONTROL_PREFIX}fault`) {
      return this.#options.control?.(call) ?? whole(404, { error: 'unknownPath' });
    }
    const fault = parseFault(call.body);
    if (!fault.ok) {
      return whole(400, { error: fault.error });
    }
    const taken = this.#applyFault(fault.value, socket);
    return taken ? whole(200, {}) : whole(400, { error: 'this stand-in has no such fault' });
  }

  #applyFault(fault: Fault, socket: Socket): boolean {
    const takenByStandin = this.#options.onFault?.(fault) ?? false;
    const takenByAll = this.faults.apply(fault);
    if (takenByStandin || takenByAll) {
      return true;
    }
    if (fault.kind === 'kill' && fault.afterTokens === undefined) {
      setImmediate(() => {
        this.kill();
      });
      return true;
    }
    if (fault.kind === 'silent' && fault.afterTokens === undefined) {
      this.silence(socket);
      return true;
    }
    return false;
  }

  #send(response: ServerResponse, answer: StandinAnswer): void {
    const { socket } = response;
    if (!socket || this.#silent.has(socket)) {
      return;
    }
    if (answer.kind === 'stream') {
      this.#startStream(response, answer, socket);
      return;
    }
    const text = answer.json === undefined ? '' : JSON.stringify(answer.json);
    response.writeHead(answer.status, { 'content-type': 'application/json', ...answer.headers });
    response.end(text);
  }

  #startStream(
    response: ServerResponse,
    answer: Extract<StandinAnswer, { kind: 'stream' }>,
    socket: Socket,
  ): void {
    response.writeHead(200, {
      'cache-control': 'no-store',
      'content-type': answer.contentType,
    });
    response.flushHeaders();
    const speaks = (): boolean => !this.#silent.has(socket) && !response.destroyed;
    answer.start({
      end: () => {
        if (speaks()) {
          response.end();
        }
      },
      onClose: (listener) => response.once('close', listener),
      onDrain: (listener) => response.on('drain', listener),
      write: (text) => (speaks() ? response.write(text) : true),
    });
  }

  #destroySockets(): void {
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }
}
