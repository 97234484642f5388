import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { resolve as resolvePath } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { configuration } from './deployment.js';
import type { Fleet } from './fleet.js';
import { IS_CALM, runCase } from './fleet.js';

const PROGRAM = resolvePath('target/review-3/slowBooking.cjs');
const BEAT_MS = 1_200;
const CALM_BEFORE_MS = 4_000;
const FROZEN_MACHINE = 1;
const BOOKINGS = 24;
/** One of three, as the service of the site has. */
const CRASHING = 'desk-1';
const SERVERS = [CRASHING, 'desk-2', 'desk-3'];
/** Times after the bookings were sent. */
const FREEZE_AT_MS = 300;
const CRASH_AT_MS = 400;
const RESTART_AT_MS = 700;
const WAKE_AT_MS = 1_100;
const WHOLE_END = 'confirmed';

void runCase('12', async (fleet) => {
  const servers: Server[] = [];
  try {
    for (const id of SERVERS) {
      const server = new Server(fleet, id, await freePort());
      servers.push(server);
      await server.start();
      server.writeEntry();
    }
    fleet.store.put('op/config', configuration(7, { usual: ['key-usual'] }));
    await fleet.startAll();
    await sleep(CALM_BEFORE_MS);
    return await book(fleet, servers);
  } finally {
    servers.forEach((server) => {
      server.crash();
    });
  }
});

/** The process of a server, and its heartbeats. */
class Server {
  private beats: NodeJS.Timeout | undefined;
  private bornMs = 0;
  private child: ChildProcess | undefined;

  constructor(
    private readonly fleet: Fleet,
    readonly id: string,
    private readonly port: number,
  ) {}

  /** Starts the process; its heartbeats follow, the first one after their interval. */
  async start(): Promise<void> {
    const child = spawn(process.execPath, [PROGRAM, this.id, String(this.port)], {
      stdio: ['ignore', 'pipe', 'inherit'],
    });
    process.once('exit', () => child.kill('SIGKILL'));
    this.child = child;
    this.bornMs = Date.now();
    this.beats = setInterval(() => {
      this.writeEntry();
    }, BEAT_MS);
    await new Promise<void>((resolve) => {
      child.stdout.on('data', (chunk: Buffer) => {
        const lines = chunk.toString().trim().split('\n');
        lines.forEach((line) => {
          this.fleet.note(line);
        });
        if (lines.includes(`${this.id} listens`)) {
          resolve();
        }
      });
    });
  }

  /** Kills the process; its entry in the store stays until heartbeats are missed. */
  crash(): void {
    clearInterval(this.beats);
    this.child?.kill('SIGKILL');
  }

  writeEntry(): void {
    this.fleet.store.put(`servers/${this.id}`, {
      address: `127.0.0.1:${this.port}`,
      born: this.bornMs,
      coldRemainingMs: 0,
      sequence: 1,
      service: 'desk',
      slots: 24,
      state: 'ready',
      version: 'v1',
      zone: 'a',
    });
  }
}

async function freePort(): Promise<number> {
  const probe = createServer();
  await new Promise<void>((resolve) => probe.listen(0, '127.0.0.1', resolve));
  const { port: free } = probe.address() as AddressInfo;
  await new Promise((resolve) => probe.close(resolve));
  return free;
}

async function book(fleet: Fleet, servers: readonly Server[]): Promise<number> {
  const server = servers.find(({ id }) => id === CRASHING);
  const sentMs = performance.now();
  const until = async (atMs: number): Promise<void> => {
    await sleep(Math.max(0, sentMs + atMs - performance.now()));
  };
  const answers = Array.from({ length: BOOKINGS }, (_, index) => {
    const id = `booking-${index + 1}`;
    return fleet
      .call({ body: 'book', id, key: 'key-usual', machine: FROZEN_MACHINE, path: `/book/${index}` })
      .then((answer) => ({ ...answer, id }));
  });
  if (server && !IS_CALM) {
    await until(FREEZE_AT_MS);
    fleet.signal(FROZEN_MACHINE, 'SIGSTOP');
    await until(CRASH_AT_MS);
    server.crash();
    fleet.note(`${CRASHING} crashes`);
    await until(RESTART_AT_MS);
    await server.start();
    await until(WAKE_AT_MS);
    fleet.signal(FROZEN_MACHINE, 'SIGCONT');
  }
  let broken = 0;
  for (const { body, id, isComplete, status } of await Promise.all(answers)) {
    const end = isComplete ? 'complete' : 'cut off';
    fleet.note(`${id}: ${status}, ${end}: ${JSON.stringify(body)}`);
    if (status === 200 && isComplete && !body.endsWith(WHOLE_END)) {
      broken += 1;
      fleet.note(`MIXED: the client of ${id} gets a success that is not the server's whole body`);
    }
  }
  fleet.note(`${broken} of ${BOOKINGS} answers are halves that look complete`);
  return broken;
}
