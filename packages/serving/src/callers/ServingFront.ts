import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer, STATUS_CODES } from 'node:http';
import { Server as NetServer } from 'node:net';
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { RouteTable } from '@laburnumgap/dispatch';
import { BodyBudget, selectService } from '@laburnumgap/dispatch';
import type { MonotonicClock, Refusal } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import type { RoutedCall } from './AdmittedCall.js';
import type { ReaderBuffers } from '../buffers/ReaderBuffers.js';
import { CallerConnections } from './CallerConnections.js';
import { CallerExchange } from './CallerExchange.js';
import { toHeaderPairs } from '../HeaderLists.js';
import type { ListenAddress, PortOpener } from '../PortOpener.js';
import { readRequestBody } from './RequestBody.js';
import { DEFAULT_RETRY_AFTER_MS, STARTING_RETRY_AFTER_MS } from '../ServingConstants.js';
import type { ActiveRoutes } from '../ServingContext.js';
import type { CallerRequest, WireProtocol } from '../ServingPorts.js';
import type { StopGate } from './StopGate.js';

/** Options of {@link ServingFront}. */
export interface ServingFrontOptions {
  /** Buffers for callers that read slowly. */
  readonly buffers?: ReaderBuffers;
  readonly clock: MonotonicClock;
  /** Memory limit of the process; request bodies are not bounded together without it. */
  readonly memoryBytes?: number;
  readonly protocol: WireProtocol;
  readonly randomUnit: () => number;
  readonly routes: ActiveRoutes;
  /** Executes a routed call. */
  readonly runCall: (call: RoutedCall) => void;
  readonly stopGate: Pick<StopGate, 'isClosing' | 'refusal' | 'retryAfterMs'>;
}

/** Hard limit on the size of request headers; the configured limit is lower. */
const MAX_HEADER_BYTES = 65_536;
/** Defaults that apply until a configuration is loaded. */
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
const DEFAULT_HEADER_TIMEOUT_MS = 3_000;
const DEFAULT_MAX_BODY_BYTES = 4_194_304;
/** Interval at which the HTTP server checks connections against the timeouts. */
const TIMEOUT_CHECK_INTERVAL_MS = 500;

/**
 * HTTP server for callers: authenticates and routes each request, reads its body and executes it.
 */
export class ServingFront {
  private readonly bodies: BodyBudget;
  private readonly connections: CallerConnections;
  /** Requests whose response is not complete. */
  private readonly exchanges = new Set<CallerExchange>();
  private readonly server: Server;

  constructor(private readonly options: ServingFrontOptions) {
    this.bodies = new BodyBudget({ memoryBytes: options.memoryBytes });
    this.server = createServer(
      {
        connectionsCheckingInterval: TIMEOUT_CHECK_INTERVAL_MS,
        headersTimeout: DEFAULT_HEADER_TIMEOUT_MS,
        insecureHTTPParser: false,
        keepAliveTimeout: DEFAULT_IDLE_TIMEOUT_MS,
        maxHeaderSize: MAX_HEADER_BYTES,
        requestTimeout: 0,
        requireHostHeader: false,
      },
      (request, response) => {
        this.onRequest(request, response);
      },
    );
    this.connections = new CallerConnections(this.server);
  }

  /** Applies the timeouts of a new configuration. */
  applyLimits(table: RouteTable): void {
    const { headerTimeoutMs, idleTimeoutMs } = table.configuration.limits;
    this.server.keepAliveTimeout = idleTimeoutMs;
    this.server.headersTimeout = headerTimeoutMs;
  }

  /** Starts listening. Rejects when the address cannot be bound. */
  listen(ports: PortOpener, address: ListenAddress): Promise<void> {
    return ports.listen(this.server, address);
  }

  /** Closes connections without a request, after what has already arrived on them was read. */
  async closeIdle(): Promise<void> {
    await readArrived();
    this.connections.closeUnused();
  }

  /** Connections with a request that has begun to arrive and is not answered completely. */
  busyCount(): number {
    return this.connections.busyCount();
  }

  /** Stops accepting connections, after those that the system has already accepted. */
  async stopListening(): Promise<void> {
    await readArrived();
    // Unlike the method of the HTTP server, this one leaves open connections alone.
    NetServer.prototype.close.call(this.server);
  }

  /**
   * Refuses requests whose head has not arrived completely.
   *
   * @returns their number
   */
  refuseHeads(): number {
    const { body, headers, status } = this.options.protocol.refusalResponse(this.stopRefusal());
    const lines = [
      `HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`,
      ...headers.map(([name, value]) => `${name}: ${value}`),
      `Content-Length: ${Buffer.byteLength(body)}`,
      'Connection: close',
    ];
    return this.connections.refuseHeads(`${lines.join('\r\n')}\r\n\r\n${body}`);
  }

  /**
   * Refuses requests that were not passed to `runCall` yet.
   *
   * @returns their number
   */
  refuseArriving(): number {
    const arriving = [...this.exchanges].filter((exchange) => !exchange.outcome());
    arriving.forEach((exchange) => {
      exchange.refuse(this.stopRefusal());
    });
    return arriving.length;
  }

  /** Stops accepting connections and closes all, including those with open requests. */
  async close(): Promise<void> {
    const closed = new Promise<void>((resolve) => {
      this.server.close(() => {
        resolve();
      });
    });
    this.server.closeAllConnections();
    await closed;
  }

  private onRequest(request: IncomingMessage, response: ServerResponse): void {
    const { buffers, clock, protocol, stopGate } = this.options;
    const arrivedMs = clock.nowMs();
    if (!this.connections.begin(request, response)) {
      request.resume();
      return;
    }
    const exchange = new CallerExchange({
      buffers,
      closesConnection: () => stopGate.isClosing(),
      protocol,
      request,
      response,
    });
    this.exchanges.add(exchange);
    response.once('close', () => {
      this.exchanges.delete(exchange);
    });
    const parsed = protocol.parseCallerRequest({
      headers: toHeaderPairs(request.rawHeaders),
      method: request.method ?? '',
      path: request.url ?? '',
    });
    if (!parsed.ok) {
      exchange.refuse(refusal('MALFORMED_REQUEST', parsed.error));
      return;
    }
    exchange.identify(parsed.value.requestId);
    if (this.exceedsHeaderLimit(request)) {
      exchange.refuse(refusal('REQUEST_TOO_LARGE', 'the headers exceed the size limit'));
      return;
    }
    const call = this.route(parsed.value, exchange, arrivedMs);
    if (!call) {
      return;
    }
    const refused = stopGate.refusal(call);
    if (refused) {
      refuseWhenRead(request, exchange, refused);
    } else {
      this.readBody(request, response, call);
    }
  }

  private exceedsHeaderLimit(request: IncomingMessage): boolean {
    const limits = this.options.routes.current()?.configuration.limits;
    const headerBytes = request.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
    return headerBytes > (limits?.maxHeaderBytes ?? MAX_HEADER_BYTES);
  }

  private route(
    callerRequest: CallerRequest,
    exchange: CallerExchange,
    arrivedMs: number,
  ): RoutedCall | undefined {
    const table = this.options.routes.current();
    if (!table) {
      exchange.refuse(
        refusal('STARTING', 'the configuration is not loaded yet', STARTING_RETRY_AFTER_MS),
      );
      return undefined;
    }
    const route = table.findRoute(callerRequest.host, callerRequest.path);
    if (!route) {
      exchange.refuse(refusal('UNKNOWN_PATH', 'no route matches the host and path'));
      return undefined;
    }
    const team =
      callerRequest.apiKey === undefined ? undefined : table.findTeam(callerRequest.apiKey);
    if (table.hasTeams() && route.needsKey && !team) {
      const code = callerRequest.apiKey === undefined ? 'KEY_MISSING' : 'KEY_REJECTED';
      exchange.refuse(refusal(code, 'the API key is missing or belongs to no team'));
      return undefined;
    }
    const serviceId = selectService(route, this.options.randomUnit());
    const service = serviceId && table.findService(serviceId);
    if (!service) {
      exchange.refuse(refusal('NO_SERVER', 'the route has no configured service'));
      return undefined;
    }
    return { arrivedMs, body: undefined, exchange, request: callerRequest, route, service, team };
  }

  private stopRefusal(): Refusal {
    const retryAfterMs = this.options.stopGate.retryAfterMs();
    return refusal('DRAINING', 'this daemon is shutting down', retryAfterMs);
  }

  private readBody(request: IncomingMessage, response: ServerResponse, call: RoutedCall): void {
    const limits = this.options.routes.current()?.configuration.limits;
    const maxBodyBytes = limits?.maxBodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    const { exchange } = call;
    if (!hasBody(request)) {
      request.resume();
      this.options.runCall(call);
      return;
    }
    const free = readRequestBody({
      budget: this.bodies,
      maxBytes: maxBodyBytes,
      onBody: (body) => {
        if (!exchange.outcome()) {
          this.options.runCall({ ...call, body });
        }
      },
      onExcess: () => {
        exchange.refuse(refusal('REQUEST_TOO_LARGE', 'the body exceeds the size limit'));
      },
      onNoRoom: () => {
        this.refuseBody(request, response, exchange);
      },
      request,
    });
    response.once('close', free);
  }

  /**
   * Refuses a request without room for its body: at once, or after its last byte where the connection
   * closes then, as closing it before would reset it and can lose the refusal.
   */
  private refuseBody(
    request: IncomingMessage,
    response: ServerResponse,
    exchange: CallerExchange,
  ): void {
    const retryAfterMs = Math.round(DEFAULT_RETRY_AFTER_MS * (1 + this.options.randomUnit()));
    const detail = 'the daemon holds too many request bodies';
    const refuse = (): void => {
      exchange.refuse(refusal('BODIES_EXCEED_MEMORY', detail, retryAfterMs), true);
    };
    if (response.shouldKeepAlive && !this.options.stopGate.isClosing()) {
      refuse();
    } else {
      request.once('end', refuse);
    }
  }
}

/** Waits for a whole turn of the event loop, which accepts connections and reads what has arrived. */
async function readArrived(): Promise<void> {
  await nextTurn();
  await nextTurn();
}

/** Refuses after the last byte: a connection that closes with unread bytes can lose the refusal. */
function refuseWhenRead(
  request: IncomingMessage,
  exchange: CallerExchange,
  refused: Refusal,
): void {
  request.resume();
  if (!hasBody(request)) {
    exchange.refuse(refused);
    return;
  }
  request.once('end', () => {
    exchange.refuse(refused);
  });
}

function hasBody(request: IncomingMessage): boolean {
  return (
    request.headers['transfer-encoding'] !== undefined ||
    request.headers['content-length'] !== undefined
  );
}
