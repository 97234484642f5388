import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { RouteTable } from '@laburnumgap/dispatch';
import { drawService, plannedOutputTokens } from '@laburnumgap/dispatch';
import type { MonotonicClock } from '@laburnumgap/kernel';
import { refusal } from '@laburnumgap/kernel';
import type { AdmittedCall } from './AdmittedCall.js';
import { CallerExchange } from './CallerExchange.js';
import { toHeaderPairs } from './HeaderLists.js';
import { DRAINING_RETRY_AFTER_MS, STARTING_RETRY_AFTER_MS } from './ServingConstants.js';
import type { ActiveRoutes } from './ServingContext.js';
import type { CallerRequest, WireProtocol } from './ServingPorts.js';

/** Options of the side that callers reach. */
export interface ServingFrontOptions {
  readonly clock: MonotonicClock;
  /** Whether a daemon of the same failure domain takes new connections. */
  readonly neighbourTakesOver: () => boolean;
  readonly protocol: WireProtocol;
  readonly randomUnit: () => number;
  readonly routes: ActiveRoutes;
  /** Runs a request that may run. */
  readonly run: (start: AdmittedCall) => void;
}

/** Bounds of a graceful stop, monotonic time. */
export interface DrainBounds {
  /** Until then the balancer may send new connections. */
  readonly balancedUntilMs: number;
  /** When what is open is broken off. */
  readonly stopsAtMs: number;
}

/** Largest head that is read; the configuration's own bound is below it. */
const MAX_HEAD_BYTES = 65_536;
/** Until the configuration names one. */
const START_IDLE_TIMEOUT_MS = 15_000;
const START_HEADER_TIMEOUT_MS = 3_000;
const START_MAX_BODY_BYTES = 4_194_304;
/** Expected time to the first token, and for each further one on a busy engine. */
const STREAM_START_MS = 600;
const MS_PER_TOKEN = 10;
/** Outputs are often longer than expected. */
const LENGTH_MARGIN = 1.5;
/** How often connections are checked against the time-outs. */
const TIMEOUT_CHECK_MS = 500;

/** Takes callers' requests: reads them whole, finds their route and team, and runs them. */
export class ServingFront {
  private draining: DrainBounds | undefined;
  private readonly server: Server;

  constructor(private readonly options: ServingFrontOptions) {
    this.server = createServer(
      {
        connectionsCheckingInterval: TIMEOUT_CHECK_MS,
        headersTimeout: START_HEADER_TIMEOUT_MS,
        insecureHTTPParser: false,
        keepAliveTimeout: START_IDLE_TIMEOUT_MS,
        maxHeaderSize: MAX_HEAD_BYTES,
        requestTimeout: 0,
        requireHostHeader: false,
      },
      (request, response) => {
        this.take(request, response);
      },
    );
  }

  /** Takes over the limits of a new configuration. */
  applyLimits(table: RouteTable): void {
    const { headerTimeoutMs, idleTimeoutMs } = table.configuration.limits;
    this.server.keepAliveTimeout = idleTimeoutMs;
    this.server.headersTimeout = headerTimeoutMs;
  }

  listen(host: string, port: number): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  /** From now on every answer ends its connection, and long streams are sent elsewhere. */
  drain(bounds: DrainBounds): void {
    this.draining = bounds;
  }

  closeIdle(): void {
    this.server.closeIdleConnections();
  }

  /** Takes no further connections. */
  stopListening(): void {
    this.server.close();
  }

  closeAll(): void {
    this.server.closeAllConnections();
  }

  private take(request: IncomingMessage, response: ServerResponse): void {
    const { clock, protocol } = this.options;
    const arrivedMs = clock.nowMs();
    const exchange = new CallerExchange({
      closesConnection: () => this.draining !== undefined,
      protocol,
      request,
      response,
    });
    const read = protocol.parseCallerRequest({
      headers: toHeaderPairs(request.rawHeaders),
      method: request.method ?? '',
      path: request.url ?? '',
    });
    if (!read.ok) {
      exchange.refuse(refusal('MALFORMED_REQUEST', read.error));
      return;
    }
    if (this.exceedsHead(request)) {
      exchange.refuse(refusal('REQUEST_TOO_LARGE', 'the headers exceed the limit'));
      return;
    }
    const start = this.admit(read.value, exchange, arrivedMs);
    if (start) {
      this.readBody(request, start);
    }
  }

  private exceedsHead(request: IncomingMessage): boolean {
    const limits = this.options.routes.current()?.configuration.limits;
    const bytes = request.rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
    return bytes > (limits?.maxHeaderBytes ?? MAX_HEAD_BYTES);
  }

  private admit(
    call: CallerRequest,
    exchange: CallerExchange,
    arrivedMs: number,
  ): AdmittedCall | undefined {
    const table = this.options.routes.current();
    if (!table) {
      exchange.refuse(
        refusal('STARTING', 'the configuration is not known yet', STARTING_RETRY_AFTER_MS),
      );
      return undefined;
    }
    const route = table.find(call.host, call.path);
    if (!route) {
      exchange.refuse(refusal('UNKNOWN_PATH', 'no route has this host and path'));
      return undefined;
    }
    const team = call.apiKey === undefined ? undefined : table.teamOf(call.apiKey);
    if (table.hasTeams() && route.needsKey && !team) {
      const code = call.apiKey === undefined ? 'KEY_MISSING' : 'KEY_REJECTED';
      exchange.refuse(refusal(code, 'the key belongs to no team'));
      return undefined;
    }
    const target = drawService(route, this.options.randomUnit());
    const service = target && table.service(target);
    if (!service) {
      exchange.refuse(refusal('NO_SERVER', 'the route leads to no service'));
      return undefined;
    }
    if (route.kind === 'stream' && !this.endsInTime(call, arrivedMs)) {
      const retryAfterMs = this.comeBackAfterMs(arrivedMs);
      exchange.refuse(refusal('DRAINING', 'this daemon stops', retryAfterMs));
      return undefined;
    }
    return { arrivedMs, body: undefined, request: call, exchange, route, service, team };
  }

  private endsInTime(call: CallerRequest, arrivedMs: number): boolean {
    if (!this.draining) {
      return true;
    }
    const margin = this.options.neighbourTakesOver() ? LENGTH_MARGIN : 1;
    const outputTokens = call.prompt ? plannedOutputTokens(call.prompt, 0) : 0;
    const lastsMs = STREAM_START_MS + outputTokens * MS_PER_TOKEN * margin;
    return arrivedMs + lastsMs < this.draining.stopsAtMs;
  }

  /** At once where another daemon of the domain takes over, else when the balancer has noticed. */
  private comeBackAfterMs(nowMs: number): number {
    if (this.options.neighbourTakesOver()) {
      return DRAINING_RETRY_AFTER_MS;
    }
    return Math.max(DRAINING_RETRY_AFTER_MS, (this.draining?.balancedUntilMs ?? nowMs) - nowMs);
  }

  private readBody(request: IncomingMessage, start: AdmittedCall): void {
    const limits = this.options.routes.current()?.configuration.limits;
    const maxBodyBytes = limits?.maxBodyBytes ?? START_MAX_BODY_BYTES;
    const { exchange } = start;
    if (Number(request.headers['content-length'] ?? 0) > maxBodyBytes) {
      exchange.refuse(refusal('REQUEST_TOO_LARGE', 'the body exceeds the limit'));
      return;
    }
    if (!hasBody(request)) {
      request.resume();
      this.options.run(start);
      return;
    }
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes > maxBodyBytes) {
        chunks.length = 0;
        exchange.refuse(refusal('REQUEST_TOO_LARGE', 'the body exceeds the limit'));
      } else {
        chunks.push(chunk);
      }
    });
    request.on('end', () => {
      if (!exchange.outcome()) {
        this.options.run({ ...start, body: Buffer.concat(chunks) });
      }
    });
  }
}

function hasBody(request: IncomingMessage): boolean {
  return (
    request.headers['transfer-encoding'] !== undefined ||
    request.headers['content-length'] !== undefined
  );
}
