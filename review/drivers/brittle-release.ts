import { runCase } from '../support/case.js';
import { Client } from '../support/client.js';
import { BOUNDS, Deployment, sleep } from '../support/deployment.js';
import type { BackendServer, ReceivedRequest } from '../support/server.js';

const DAEMONS = 6;
const ZONES = ['a', 'b', 'c'];
const SERVERS = 8;
/** As `shop-desk` in the sheet of harrow-pell. */
const SLOTS = 6;
const WORK_MS = 150;
const QUEUE = 24;
/** Requests that wait at a server from `stableWindowMs` after it said that it is brittle. */
const BRITTLE_QUEUE = 4;
const MAX_REJECTIONS_PER_S = 5;
const DOWN_MS = 3_000;
const CAPACITY_PER_S = (SERVERS * SLOTS * 1_000) / WORK_MS;
/** Share of what the servers run. */
const LOAD = 0.8;
const BURST_FACTOR = 1.7;
const BURST_MS = 3_000;
/** Time from the beginning of the burst to that of the release. */
const RELEASE_AFTER_MS = 500;
/** As `fleetbench kinds` says: half of the servers, one at a time, one second apart. */
const RELEASED_SHARE = 0.5;
const RELEASE_GAP_MS = 1_000;
const AFTER_MS = 8_000;
const ALLOWED_FALLS = 2 + SERVERS / 10;

runCase(async (record, hasTrouble) => {
  const deployment = await Deployment.create(record, { daemons: DAEMONS });
  deployment.addService('desk');
  const route = { priority: 2, targetLatencyMs: 386, timeoutMs: 4_000 };
  deployment.addRoute('/book/', 'unsafe', 'desk', { ...route, maxAttempts: 1 });
  deployment.addRoute('/look/', 'safe', 'desk', { ...route, maxAttempts: 2 });
  const state: BrittleState = {
    brittleFromMs: Infinity,
    falls: 0,
    log: (text) => {
      record.line(text);
    },
    rejected: 0,
  };
  const servers: BrittleServer[] = [];
  for (let index = 0; index < SERVERS; index += 1) {
    const zone = ZONES[index % ZONES.length] ?? 'a';
    const server = new BrittleServer(deployment, `i-desk-${index}`, zone, state);
    await server.start();
    servers.push(server);
  }
  deployment.publish();
  await deployment.startDaemons();
  await sleep(BOUNDS.stableWindowMs + 500);

  let isOver = false;
  let factor = 1;
  const statuses = new Map<number, number>();
  const sendOne = async (number: number): Promise<void> => {
    const client = new Client(deployment.daemons[number % DAEMONS]?.host ?? '');
    const path = number % 3 === 0 ? '/look/1' : '/book/1';
    const answer = await client.send({ body: '{}', deadlineMs: 4_000, id: `call-${number}`, path });
    client.close();
    statuses.set(answer.status, (statuses.get(answer.status) ?? 0) + 1);
  };
  const sendAll = async (): Promise<void> => {
    let dueMs = performance.now();
    for (let number = 0; !isOver; number += 1) {
      void sendOne(number);
      dueMs += 1_000 / (CAPACITY_PER_S * LOAD * factor);
      await sleep(Math.max(0, dueMs - performance.now()));
    }
  };
  const load = sendAll();
  await sleep(1_000);
  if (hasTrouble) {
    record.line('the servers say that they are brittle from now on');
    state.brittleFromMs = performance.now();
  }
  await sleep(BOUNDS.stableWindowMs + 1_000);
  record.line(`burst: ${BURST_FACTOR} times the requests for ${BURST_MS} ms`);
  factor = BURST_FACTOR;
  setTimeout(() => {
    factor = 1;
    record.line('the burst is over');
  }, BURST_MS);
  await sleep(RELEASE_AFTER_MS);
  const released = Math.floor(SERVERS * RELEASED_SHARE);
  for (let index = 0; index < released; index += 1) {
    const zone = ZONES[index % ZONES.length] ?? 'a';
    const successor = new BrittleServer(deployment, `i-new-${index}`, zone, state);
    await successor.start();
    record.line(`the release starts server i-new-${index}, and server i-desk-${index} drains`);
    servers[index]?.drain();
    await sleep(RELEASE_GAP_MS);
  }
  await sleep(AFTER_MS);
  isOver = true;
  await load;
  // The last requests get their answers.
  await sleep(4_000);
  await deployment.stop();
  record.line(`answers by status: ${JSON.stringify([...statuses])}`);
  record.line(`${state.rejected} requests rejected, ${state.falls} falls; ${ALLOWED_FALLS} may be`);
  return state.falls > ALLOWED_FALLS ? 'broken' : 'held';
});

interface BrittleState {
  brittleFromMs: number;
  falls: number;
  readonly log: (text: string) => void;
  rejected: number;
}

/** A server that falls over when it has to turn too many requests away while it is brittle. */
class BrittleServer {
  private firstSaidMs = Infinity;
  private isLeaving = false;
  private readonly rejectedMs: number[] = [];
  private running = 0;
  private server: BackendServer | undefined;
  private starts = 0;
  private waiting: (() => void)[] = [];

  constructor(
    private readonly deployment: Deployment,
    private readonly name: string,
    private readonly zone: string,
    private readonly state: BrittleState,
  ) {}

  async start(host?: string, port?: number): Promise<void> {
    this.starts += 1;
    this.firstSaidMs = Infinity;
    this.running = 0;
    this.waiting = [];
    this.rejectedMs.length = 0;
    const start = this.starts;
    const id = `${this.name}-${start}`;
    const handler = (request: ReceivedRequest): void => {
      if (start === this.starts) {
        this.onRequest(request, start);
      }
    };
    const entry = { slots: SLOTS };
    this.server =
      host === undefined || port === undefined
        ? await this.deployment.addServer(id, 'desk', this.zone, handler, entry)
        : await this.deployment.restartServer(id, 'desk', this.zone, host, port, handler, entry);
  }

  /** Serves on until `drainMs` after its notice and a little longer, and ends. */
  drain(): void {
    const { server } = this;
    if (!server) {
      return;
    }
    this.isLeaving = true;
    this.deployment.writeEntry(server, 'desk', this.zone, 'draining', { slots: SLOTS });
    setTimeout(() => {
      this.server = undefined;
      this.deployment.store.remove(`servers/${server.id}`);
      server.stop();
    }, BOUNDS.drainMs + 1_000);
  }

  /** The process ends, and another one is started at the same address after a while. */
  private async fall(): Promise<void> {
    const { server } = this;
    if (!server) {
      return;
    }
    this.server = undefined;
    const { host, id } = server;
    const port = server.port();
    server.stop();
    await sleep(DOWN_MS);
    this.deployment.store.remove(`servers/${id}`);
    await this.start(host, port);
    this.state.log(`server ${this.name} is back`);
  }

  private headers(): Record<string, string> {
    const leaving: Record<string, string> = this.isLeaving ? { 'Server-Leaving': '1' } : {};
    if (performance.now() < this.state.brittleFromMs) {
      return leaving;
    }
    this.firstSaidMs = Math.min(this.firstSaidMs, performance.now());
    return { ...leaving, 'Server-Brittle': String(MAX_REJECTIONS_PER_S) };
  }

  /** Each server lets fewer wait from `stableWindowMs` after it said itself that it is brittle. */
  private room(): number {
    const isShrunk = performance.now() >= this.firstSaidMs + BOUNDS.stableWindowMs;
    return isShrunk ? BRITTLE_QUEUE : QUEUE;
  }

  private onRequest(request: ReceivedRequest, start: number): void {
    const run = (): void => {
      this.running += 1;
      setTimeout(() => {
        if (start !== this.starts) {
          return;
        }
        this.running -= 1;
        request.reply(200, `done ${request.requestId}`, this.headers());
        this.waiting.shift()?.();
      }, WORK_MS);
    };
    if (this.running < SLOTS) {
      run();
    } else if (this.waiting.length < this.room()) {
      this.waiting.push(run);
    } else {
      this.reject(request);
    }
  }

  private reject(request: ReceivedRequest): void {
    const nowMs = performance.now();
    this.state.rejected += 1;
    this.rejectedMs.push(nowMs);
    request.reply(503, '', { 'Not-Executed': '1', ...this.headers() });
    const isBrittle = nowMs >= this.state.brittleFromMs;
    const recent = this.rejectedMs.filter((ms) => nowMs - ms < 1_000).length;
    if (isBrittle && recent > MAX_REJECTIONS_PER_S && this.server) {
      this.state.falls += 1;
      this.state.log(`server ${this.name} FALLS after ${recent} rejections in a second`);
      void this.fall();
    }
  }
}
