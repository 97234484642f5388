import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { call } from './Caller.js';
import { configuration } from './Configuration.js';
import { Deployment } from './Deployment.js';
import type { Record } from './Record.js';
import { runCase } from './runCase.js';

const STABLE_WINDOW_MS = 3_000;
const GRACE_MS = 8_000;
const SLOTS = 6;
/** Requests that wait at a server, and how many a brittle one lets wait. */
const QUEUE = 24;
const BRITTLE_QUEUE = 2;
/** Value of the header: a brittle server falls over when it turns away more in a second. */
const MAX_REJECTIONS = 2;
const WINDOW_MS = 1_000;
const DOWN_MS = 3_000;
const WORK_MS = 3_000;
const WORK_SPREAD = 0.6;
const REQUESTS_PER_S = 30;
const DEADLINE_MS = 12_000;
const ZONES = ['a', 'b', 'c'];
const SERVERS_PER_ZONE = 2;
/** Time between two machines, so that the others are in touch. */
const GAP_MS = 4_500;
const ROLLS = 2;
/** LIMIT allows so many falls. */
const MAX_FALLS = 2 + (ZONES.length * SERVERS_PER_ZONE) / 10;

interface Rejection {
  readonly atMs: number;
  readonly isInTouch: boolean;
}

/** Server that can be brittle. */
class BrittleServer {
  brittleFromMs = Infinity;
  falls = 0;
  private port = 0;
  private rejections: Rejection[] = [];
  private running = 0;
  private server: Server | undefined;
  private startCount = 0;
  private waiting: (() => void)[] = [];

  constructor(
    private readonly name: string,
    private readonly zone: string,
    private readonly deployment: Deployment,
    private readonly record: Record,
    private readonly isInTouch: (requestId: string) => boolean,
  ) {}

  get id(): string {
    return `${this.name}-${this.startCount}`;
  }

  async listen(): Promise<void> {
    const server = createServer({ keepAliveTimeout: 10_000 }, (request, response) => {
      request.resume();
      request.on('end', () => {
        this.onRequest(request, response, server);
      });
    });
    await new Promise<void>((resolve) => {
      server.listen(this.port, '127.0.0.1', resolve);
    });
    this.port = (server.address() as AddressInfo).port;
    this.server = server;
    this.startCount += 1;
    this.rejections = [];
    this.running = 0;
    this.waiting = [];
    this.deployment.store.put(`servers/${this.id}`, {
      address: `127.0.0.1:${this.port}`,
      born: Date.now(),
      sequence: 1,
      service: 'desk',
      slots: SLOTS,
      state: 'ready',
      version: 1,
      zone: this.zone,
    });
  }

  stop(): void {
    this.server?.close();
    this.server?.closeAllConnections();
  }

  private onRequest(request: IncomingMessage, response: ServerResponse, server: Server): void {
    const id = String(request.headers['request-id'] ?? '');
    const nowMs = this.record.nowMs();
    const isBrittle = nowMs >= this.brittleFromMs;
    const headers = {
      'Request-Id': id,
      ...(isBrittle ? { 'Server-Brittle': String(MAX_REJECTIONS) } : {}),
    };
    if (request.headers['expect-instance'] !== this.id || server !== this.server) {
      response.writeHead(421, { ...headers, 'Not-Executed': '1' });
      response.end();
      return;
    }
    const run = (): void => {
      this.running += 1;
      const workMs = WORK_MS * (1 + WORK_SPREAD * (Math.random() - 0.5));
      setTimeout(() => {
        if (server !== this.server) {
          return;
        }
        this.running -= 1;
        response.writeHead(200, { ...headers, 'Response-Stamp': `${this.id}.${id}` });
        response.end('booked');
        this.waiting.shift()?.();
      }, workMs);
    };
    const queue = nowMs >= this.brittleFromMs + STABLE_WINDOW_MS ? BRITTLE_QUEUE : QUEUE;
    if (this.running < SLOTS) {
      run();
    } else if (this.waiting.length < queue) {
      this.waiting.push(run);
    } else {
      response.writeHead(503, { ...headers, 'Not-Executed': '1' });
      response.end();
      this.onRejected(id, nowMs);
    }
  }

  private onRejected(id: string, nowMs: number): void {
    this.rejections = this.rejections.filter(({ atMs }) => nowMs - atMs < WINDOW_MS);
    this.rejections.push({ atMs: nowMs, isInTouch: this.isInTouch(id) });
    this.record.add(
      `${this.id} turns ${id} away: ${this.running} run, ${this.waiting.length} wait, ${this.rejections.length} in a second`,
    );
    if (this.rejections.length <= MAX_REJECTIONS || nowMs < this.brittleFromMs + STABLE_WINDOW_MS) {
      return;
    }
    const inTouch = this.rejections.filter((rejection) => rejection.isInTouch).length;
    const counts = 2 * inTouch > this.rejections.length;
    this.falls += counts ? 1 : 0;
    this.record.add(`${this.id} falls over${counts ? '' : ', not counted'}`);
    const { server } = this;
    this.server = undefined;
    setTimeout(() => {
      server?.close();
      server?.closeAllConnections();
    }, 1);
    setTimeout(() => {
      this.deployment.store.remove(`servers/${this.id}`);
      void this.listen();
    }, DOWN_MS).unref();
  }
}

void runCase(async ({ hasTrouble, onEnd, record, use }) => {
  const deployment = use(await Deployment.start({ zones: ZONES }));
  const { machines, store } = deployment;
  store.put(
    'op/config',
    configuration(1, [
      {
        prefix: '/book/',
        routeType: 'unsafe',
        service: 'desk',
        targetLatencyMs: 4_000,
        timeoutMs: DEADLINE_MS,
      },
    ]),
  );
  /** Until when each machine counts as disrupted. */
  const disruptedUntilMs = machines.map(() => 0);
  const machineOf = new Map<string, number>();
  const isInTouch = (requestId: string): boolean =>
    (disruptedUntilMs[machineOf.get(requestId) ?? 0] ?? 0) < record.nowMs();
  const servers = ZONES.flatMap((zone) =>
    Array.from(
      { length: SERVERS_PER_ZONE },
      (_, index) => new BrittleServer(`s-${zone}${index}`, zone, deployment, record, isInTouch),
    ),
  );
  for (const server of servers) {
    await server.listen();
    onEnd(() => {
      server.stop();
    });
  }
  await deployment.startMachines();
  await sleep(STABLE_WINDOW_MS);
  record.add('all servers say that they are brittle');
  servers.forEach((server) => {
    server.brittleFromMs = record.nowMs();
  });
  const outOfRotation = new Set<number>();
  const statuses = new Map<number, number>();
  let count = 0;
  const timer = setInterval(() => {
    count += 1;
    const up = machines.map((_, index) => index).filter((index) => !outOfRotation.has(index));
    const index = up[count % up.length] ?? 0;
    const machine = machines[index];
    const id = `book-${count}`;
    machineOf.set(id, index);
    if (machine) {
      void call({
        deadlineMs: DEADLINE_MS,
        id,
        machine,
        method: 'POST',
        body: '{}',
        path: '/book/2f',
      }).then(({ status }) => {
        statuses.set(status, (statuses.get(status) ?? 0) + 1);
      });
    }
  }, 1_000 / REQUESTS_PER_S);
  onEnd(() => {
    clearInterval(timer);
  });
  await sleep(2 * STABLE_WINDOW_MS);
  const stopMachine = async (index: number): Promise<void> => {
    const machine = machines[index];
    if (!machine) {
      return;
    }
    disruptedUntilMs[index] = Infinity;
    record.add(`machine ${index + 1} gets SIGTERM`);
    machine.signal('SIGTERM');
    // The platform takes it out after two misses.
    setTimeout(() => outOfRotation.add(index), 2_000);
    const killMs = record.nowMs() + GRACE_MS;
    while (machine.isAlive() && record.nowMs() < killMs) {
      await sleep(20);
    }
    await machine.kill();
    await sleep(300);
    outOfRotation.add(index);
    machine.start();
    await machine.waitUntilReady();
    record.add(`machine ${index + 1} is ready again`);
    outOfRotation.delete(index);
    disruptedUntilMs[index] = record.nowMs() + STABLE_WINDOW_MS;
  };
  for (let roll = 0; roll < ROLLS; roll += 1) {
    for (let index = 0; index < machines.length; index += 1) {
      if (hasTrouble) {
        await stopMachine(index);
        await sleep(GAP_MS);
      } else {
        await sleep(GRACE_MS + GAP_MS);
      }
    }
  }
  clearInterval(timer);
  const falls = servers.reduce((sum, server) => sum + server.falls, 0);
  const answers = [...statuses].map(([status, number]) => `${status}: ${number}`).join(', ');
  const text = `${falls} servers fell over, ${MAX_FALLS} are allowed; answers ${answers}`;
  record.add(text);
  return falls > MAX_FALLS ? `LIMIT: ${text}` : undefined;
});
