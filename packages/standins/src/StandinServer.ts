import type { IncomingHttpHeaders, IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseSocketAddress } from '@laburnumgap/kernel';
import { readBody } from './StandinBody.js';
import type { Fault, FaultHandler } from './StandinFaults.js';
import { FaultInjector, parseFault } from './StandinFaults.js';

/** A request to a stand-in, with its body read. */
export interface StandinRequest {
  readonly body: string;
  readonly headers: IncomingHttpHeaders;
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
}

/** An open streaming response. */
export interface StandinStream {
  /** Ends the response. */
  end(): void;
  /** Calls the listener once when the response has ended or its connection has closed. */
  onClose(listener: () => void): void;
  /** Calls the listener whenever buffered data has been flushed. */
  onDrain(listener: () => void): void;
  /** Writes a chunk; returns false when the caller should wait for a drain before the next one. */
  write(text: string): boolean;
}

/** A stand-in's answer: a streaming response, or a complete response with an optional JSON body. */
export type StandinAnswer =
  | {
      readonly contentType: string;
      readonly kind: 'stream';
      readonly start: (stream: StandinStream) => void;
    }
  | {
      readonly headers?: Readonly<Record<string, string>>;
      readonly json?: unknown;
      readonly kind: 'json';
      readonly status: number;
    };

/** Options of {@link startStandinServer}. */
export interface StandinServerOptions {
  /** Handles control calls other than `/control/fault`; returns undefined for an unknown path. */
  readonly control?: (request: StandinRequest) => StandinAnswer | undefined;
  /** Fault injector to use; a new one by default. */
  readonly faults?: FaultInjector;
  /** Handles calls other than control calls. */
  readonly handle: (request: StandinRequest) => Promise<StandinAnswer> | StandinAnswer;
  /** Ends the process; without it, a kill closes the server and its connections. */
  readonly kill?: () => void;
  /** IP:PORT to listen on; port 0 takes a free port. */
  readonly listen: string;
  /** Called for each call other than control calls, also those that a fault refuses or delays. */
  readonly onCall?: (request: StandinRequest) => void;
  /** Called for each fault before the server applies it. */
  readonly onFault?: FaultHandler;
  /** Body of the 503 answer to a call that the `refuse` fault refuses. */
  readonly refusedBody?: unknown;
}

/** A running stand-in server. */
export interface StandinServer {
  /** IP:PORT that the server listens on. */
  readonly address: string;
  /** Closes the server and its connections; resolves when it is closed. */
  close(): Promise<void>;
  /** Faults in effect, for tests that inject them within the process. */
  readonly faults: FaultInjector;
  /** Ends the stand-in abruptly, as a crash would. */
  kill(): void;
  /** Silences every open connection: it stays open, but nothing more is sent on it. */
  silenceConnections(): void;
  /** Base URL, such as `http://127.0.0.1:8000`. */
  readonly url: string;
}

const CONTROL_PREFIX = '/control/';

/**
 * Builds a complete answer with a JSON body.
 *
 * @param status - HTTP status
 * @param json - value of the body; without it, the body is empty
 * @param headers - headers in addition to the content type
 * @returns the answer
 */
export function jsonAnswer(
  status: number,
  json?: unknown,
  headers?: Readonly<Record<string, string>>,
): StandinAnswer {
  return { headers, json, kind: 'json', status };
}

/**
 * Starts the HTTP server of a stand-in, with fault injection over `POST /control/fault`.
 *
 * @param options - address, handlers and fault injector
 * @returns the running server
 * @throws when the address cannot be bound
 */
export async function startStandinServer(options: StandinServerOptions): Promise<StandinServer> {
  const server = new StandinHttpServer(options);
  await server.listen();
  return server;
}

/** HTTP server of a stand-in, which applies the injected faults to every call. */
class StandinHttpServer implements StandinServer {
  address = '';
  readonly faults: FaultInjector;
  readonly #options: StandinServerOptions;
  readonly #server: Server;
  readonly #silencedSockets = new WeakSet<Socket>();
  readonly #sockets = new Set<Socket>();

  constructor(options: StandinServerOptions) {
    this.#options = options;
    this.faults = options.faults ?? new FaultInjector();
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

  silenceConnections(except?: Socket): void {
    for (const socket of this.#sockets) {
      if (socket !== except) {
        this.#silencedSockets.add(socket);
      }
    }
  }

  async #serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.#silencedSockets.has(request.socket)) {
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
      this.#send(response, this.#handleControl(call, request.socket));
      return;
    }
    this.#options.onCall?.(call);
    await this.#serveWithFaults(call, response);
  }

  async #serveWithFaults(call: StandinRequest, response: ServerResponse): Promise<void> {
    await this.faults.waitWhileFrozen();
    if (this.faults.consumeRefusal(call.path)) {
      this.#send(response, jsonAnswer(503, this.#options.refusedBody ?? { error: 'refused' }));
      return;
    }
    const answer = await this.#options.handle(call);
    const delayMs = this.faults.delayMsOf(call.path);
    if (delayMs > 0) {
      await sleep(delayMs, undefined, { ref: false });
    }
    await this.faults.waitWhileFrozen();
    if (this.faults.consumeLostAnswer(call.path)) {
      response.socket?.resetAndDestroy();
      return;
    }
    this.#send(response, answer);
  }

  #handleControl(call: StandinRequest, socket: Socket): StandinAnswer {
    if (call.path !== `${CONTROL_PREFIX}fault`) {
      return this.#options.control?.(call) ?? jsonAnswer(404, { error: 'unknownPath' });
    }
    const fault = parseFault(call.body);
    if (!fault.ok) {
      return jsonAnswer(400, { error: fault.error });
    }
    const wasApplied = this.#applyFault(fault.value, socket);
    return wasApplied
      ? jsonAnswer(200, {})
      : jsonAnswer(400, { error: 'this stand-in does not support the fault' });
  }

  #applyFault(fault: Fault, socket: Socket): boolean {
    const appliedByStandin = this.#options.onFault?.(fault) ?? false;
    const appliedByInjector = this.faults.apply(fault);
    if (appliedByStandin || appliedByInjector) {
      return true;
    }
    if (fault.kind === 'kill' && fault.afterTokens === undefined) {
      setImmediate(() => {
        this.kill();
      });
      return true;
    }
    if (fault.kind === 'silent' && fault.afterTokens === undefined) {
      this.silenceConnections(socket);
      return true;
    }
    return false;
  }

  #send(response: ServerResponse, answer: StandinAnswer): void {
    const { socket } = response;
    if (!socket || this.#silencedSockets.has(socket)) {
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
    const isWritable = (): boolean => !this.#silencedSockets.has(socket) && !response.destroyed;
    answer.start({
      end: () => {
        if (isWritable()) {
          response.end();
        }
      },
      onClose: (listener) => response.once('close', listener),
      onDrain: (listener) => response.on('drain', listener),
      write: (text) => (isWritable() ? response.write(text) : true),
    });
  }

  #destroySockets(): void {
    for (const socket of this.#sockets) {
      socket.destroy();
    }
  }
}
