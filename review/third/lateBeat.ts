import { setTimeout as sleep } from 'node:timers/promises';
import { respond } from '../../platform/src/__tests__/support/BackendStandin.js';
import { configuration, Servers } from './deployment.js';
import type { Fleet } from './fleet.js';
import { BOUNDS, IS_CALM, runCase } from './fleet.js';

const LEAVING = 'desk-4';
/** Within what the site's servers take. */
const WORK_MS = 250;
const INTERVAL_MS = 80;
const CALM_BEFORE_MS = 4_000;
/** Times after the server began to leave. */
const REMOVED_AT_MS = 500;
/** The store carries out calls that it did not answer one to six seconds later. */
const LATE_WRITE_AT_MS = 3_500;
const SILENT_AT_MS = LATE_WRITE_AT_MS + 3 * 1_200;
const EXIT_AT_MS = LATE_WRITE_AT_MS + 200;
const END_MS = 8_500;

void runCase('15', async (fleet) => {
  const servers = new Servers(fleet, WORK_MS);
  try {
    for (const id of ['desk-1', 'desk-2', 'desk-3', LEAVING]) {
      await servers.add(id, 'desk');
    }
    fleet.store.put('op/config', configuration(7, { usual: ['key-usual'] }));
    const machines = await fleet.startAll();
    const bookings = new Bookings(fleet, servers);
    bookings.start(machines);
    await sleep(CALM_BEFORE_MS);
    await leave(fleet, servers);
    await bookings.stop();
    return bookings.judge();
  } finally {
    servers.stop();
  }
});

async function leave(fleet: Fleet, servers: Servers): Promise<void> {
  const server = servers.servers.find(({ id }) => id === LEAVING);
  if (!server) {
    throw new Error('the server is missing');
  }
  const startMs = performance.now();
  const until = async (atMs: number): Promise<void> => {
    await sleep(Math.max(0, startMs + atMs - performance.now()));
  };
  // A heartbeat whose answer is lost: the store carries it out later.
  const lastBeat = servers.entryOf(LEAVING, 'ready');
  servers.silence(LEAVING);
  fleet.note(`${LEAVING} says in all answers that it leaves`);
  server.handler = (request, response) => {
    servers.record(LEAVING, request);
    setTimeout(() => {
      respond(request, response, 200, `done by ${LEAVING}`, { 'Server-Leaving': '1' });
    }, WORK_MS);
  };
  await until(REMOVED_AT_MS);
  fleet.store.remove(`servers/${LEAVING}`);
  fleet.note(`${LEAVING} removes its entry`);
  if (!IS_CALM) {
    await until(LATE_WRITE_AT_MS);
    fleet.store.put(`servers/${LEAVING}`, lastBeat);
    fleet.note(`the store carries out an earlier heartbeat of ${LEAVING}`);
  }
  await until(EXIT_AT_MS);
  server.exit();
  fleet.note(`${LEAVING} exits`);
  if (!IS_CALM) {
    await until(SILENT_AT_MS);
    fleet.store.remove(`servers/${LEAVING}`);
    fleet.note(`the entry of ${LEAVING} goes after three heartbeat intervals of silence`);
  }
  await until(END_MS);
}

/** Bookings at all machines, and when each machine passed on that the server leaves. */
class Bookings {
  private readonly answers: Promise<void>[] = [];
  private isStopped = false;
  private readonly leavingSeenMs = new Map<number, number>();
  private readonly sent = new Map<string, { readonly atMs: number; readonly machine: number }>();
  private readonly statuses = new Map<string, number>();

  constructor(
    private readonly fleet: Fleet,
    private readonly servers: Servers,
  ) {}

  start(machines: readonly number[]): void {
    machines.forEach((machine) => {
      void this.run(machine);
    });
  }

  async stop(): Promise<void> {
    this.isStopped = true;
    await Promise.all(this.answers);
  }

  /** Number of requests that reached the server too late. */
  judge(): number {
    let late = 0;
    for (const { id, serverId } of this.servers.runs) {
      const { atMs, machine } = this.sent.get(id) ?? { atMs: 0, machine: 0 };
      const afterMs = atMs - (this.leavingSeenMs.get(machine) ?? Infinity);
      if (serverId === LEAVING) {
        const status = this.statuses.get(id) ?? 0;
        this.fleet.note(`${id}, sent at ${Math.round(atMs)} ms, ran at ${serverId}: ${status}`);
      }
      if (serverId === LEAVING && afterMs > BOUNDS.drainMs) {
        late += 1;
        this.fleet.note(
          `DRAIN: ${serverId} gets ${id} from machine ${machine}, sent ${Math.round(afterMs)} ms ` +
            'after it had passed on that the server leaves',
        );
      }
    }
    const all = [...this.statuses.values()];
    const counts = [...new Set(all)].map(
      (status) => `${all.filter((other) => other === status).length} with ${status}`,
    );
    this.fleet.note(`bookings answered: ${counts.join(', ')}; ${late} reached ${LEAVING} too late`);
    return late;
  }

  private async run(machine: number): Promise<void> {
    for (let number = 1; !this.isStopped; number += 1) {
      const id = `booking-${machine}-${number}`;
      this.sent.set(id, { atMs: this.fleet.nowMs(), machine });
      this.answers.push(
        this.fleet
          .call({ body: 'book', id, key: 'key-usual', machine, path: `/book/${id}` })
          .then(({ headers, status }) => {
            this.statuses.set(id, status);
            if (headers['server-leaving'] === '1' && !this.leavingSeenMs.has(machine)) {
              this.leavingSeenMs.set(machine, this.fleet.nowMs());
              this.fleet.note(`machine ${machine} passes on that ${LEAVING} leaves`);
            }
          }),
      );
      await sleep(INTERVAL_MS);
    }
  }
}
