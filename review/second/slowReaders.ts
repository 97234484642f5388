import type { ServerResponse } from 'node:http';
import { Agent } from 'node:http';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { call } from './Caller.js';
import { configuration } from './Configuration.js';
import type { Machine } from './Deployment.js';
import { Deployment } from './Deployment.js';
import { runCase } from './runCase.js';
import { StandinServer } from './StandinServer.js';

const BYTES_PER_MB = 1_048_576;
/** Memory and link of the smallest machines of the deployment that the claim names. */
const MEMORY_MB = 178;
const LINK_MBPS = 140;
const LINK_BYTES_PER_MS = (LINK_MBPS * 1_000_000) / 8 / 1_000;
const LISTED_BYTES = 24 * BYTES_PER_MB;
/** Limit on the bodies of callers in the configuration. */
const UPLOAD_BYTES = 4 * BYTES_PER_MB;
const PART_BYTES = 65_536;
const READERS = 3;
const UPLOADERS = 12;
const UPLOADS_AFTER_MS = 5_500;
/** A slow caller takes so much each time. */
const SLOW_READ_BYTES = 65_536;
const SLOW_READ_INTERVAL_MS = 400;
const CHECK_INTERVAL_MS = 20;
const ROUND_MS = 26_000;
const ENDED_MS = 1_000;
/** Clients that send one small booking after the other, each on a connection that it keeps. */
const BOOKERS = 8;
const BOOKING_WORK_MS = 1_500;
/** LOST allows so many requests of one machine. */
const MAX_LOST = 3;
const WORK_MS = 50;
const DEADLINE_MS = 40_000;

/** The link to one machine: what callers and servers send to it passes one part after the other. */
class Link {
  private allowedBytes = 0;
  private lastMs = performance.now();
  private readonly waiting: (() => void)[] = [];
  private readonly timer = setInterval(() => {
    const nowMs = performance.now();
    const earned = (nowMs - this.lastMs) * LINK_BYTES_PER_MS;
    this.lastMs = nowMs;
    this.allowedBytes = Math.min(4 * PART_BYTES, this.allowedBytes + earned);
    while (this.allowedBytes > 0 && this.waiting.length > 0) {
      this.allowedBytes -= PART_BYTES;
      this.waiting.shift()?.();
    }
  }, 5);

  /** Resolves when the next part may be sent. */
  turn(): Promise<void> {
    return new Promise((resolve) => {
      this.waiting.push(resolve);
    });
  }

  stop(): void {
    clearInterval(this.timer);
  }
}

void runCase(async ({ hasTrouble, onEnd, record, use }) => {
  const deployment = use(
    await Deployment.start({
      settings: {
        contracts: [
          'base',
          'drain',
          'config',
          'cost',
          'retry',
          'recover',
          'stream',
          'tenants',
          'pressure',
          'platform',
        ],
        limits: {
          cores: 1,
          cpuShare: 0.324,
          diskMb: 0,
          linkMbps: LINK_MBPS,
          maxFds: 4_100,
          memoryMb: MEMORY_MB,
        },
      },
      zones: ['a', 'b', 'c'],
    }),
  );
  const links = new Map<Machine, Link>(
    deployment.machines.map((machine) => [machine, new Link()] as const),
  );
  onEnd(() => {
    links.forEach((link) => {
      link.stop();
    });
  });
  deployment.store.put(
    'op/config',
    configuration(1, [
      {
        prefix: '/list/',
        routeType: 'safe',
        service: 'desk',
        targetLatencyMs: 15_000,
        timeoutMs: 40_000,
      },
      {
        prefix: '/book/',
        routeType: 'unsafe',
        service: 'desk',
        targetLatencyMs: 500,
        timeoutMs: 20_000,
      },
    ]),
  );
  const ran = new Set<string>();
  const machineOf = (id: string): Machine => deployment.machine(Number(id.split('-')[1]));
  for (const zone of ['a', 'b', 'c']) {
    const desk = await StandinServer.start({
      name: `s-${zone}`,
      onRun: ({ id, raw, response, server }) => {
        ran.add(id);
        const isList = raw.url?.startsWith('/list/') === true;
        setTimeout(
          () => {
            const length = isList ? LISTED_BYTES : 2;
            response.writeHead(200, { ...server.headers(id), 'Content-Length': length });
            if (isList) {
              const link = links.get(machineOf(id));
              if (link) {
                void writeAll(response, link);
              }
            } else {
              response.end('ok');
            }
          },
          id.startsWith('book') ? BOOKING_WORK_MS : WORK_MS,
        );
      },
      service: 'desk',
      slots: 24,
      store: deployment.store,
      zone,
    });
    onEnd(() => {
      desk.stop();
    });
  }
  const ended = new Set<Machine>();
  const lost = new Map<Machine, number>();
  const peaks = new Map<Machine, number>();
  let isOver = false;
  const watch = async (machine: Machine, number: number): Promise<void> => {
    while (!isOver && !ended.has(machine)) {
      await sleep(CHECK_INTERVAL_MS);
      const usedMb = machine.memory().anonymousBytes / BYTES_PER_MB;
      peaks.set(machine, Math.max(peaks.get(machine) ?? 0, usedMb));
      if (usedMb > MEMORY_MB) {
        record.add(`machine ${number} uses ${usedMb.toFixed(1)} MB: the platform kills it`);
        ended.add(machine);
        await machine.kill();
      }
    }
  };
  await deployment.startMachines();
  await sleep(3_000);
  const watches = deployment.machines.map((machine, index) => watch(machine, index + 1));
  const roundEndMs = performance.now() + ROUND_MS;
  await Promise.all(
    deployment.machines.map(async (machine, index) => {
      const link = links.get(machine);
      const mayGoOn = (): boolean => performance.now() < roundEndMs && !ended.has(machine);
      const readers = Array.from({ length: READERS }, (_, reader) =>
        readList(machine, `list-${index + 1}-${reader}`, hasTrouble),
      );
      await sleep(UPLOADS_AFTER_MS);
      const uploader = async (_: unknown, client: number): Promise<void> => {
        for (let count = 0; link && mayGoOn(); count += 1) {
          const id = `upload-${index + 1}-${client}-${count}`;
          const status = await upload(machine, id, link);
          record.add(`${id}: ${status === 0 ? 'no answer' : status}`);
        }
      };
      const booker = async (_: unknown, client: number): Promise<void> => {
        const agent = new Agent({ keepAlive: true, maxSockets: 1 });
        for (let count = 0; mayGoOn(); count += 1) {
          const id = `book-${index + 1}-${client}-${count}`;
          const answer = await call({
            agent,
            body: '{}',
            deadlineMs: DEADLINE_MS,
            id,
            machine,
            path: '/book/2f',
          });
          const isLost = answer.status === 0 && ran.has(id) && count > 0;
          record.add(`${id}: ${answer.status === 0 ? 'no answer' : answer.status}`);
          if (isLost && ended.has(machine)) {
            record.add(`${id} runs at a server, and its kept connection closes without an answer`);
            lost.set(machine, (lost.get(machine) ?? 0) + 1);
          }
        }
        agent.destroy();
      };
      await Promise.race([
        Promise.all([
          ...Array.from({ length: UPLOADERS }, uploader),
          ...Array.from({ length: BOOKERS }, booker),
        ]),
        sleep(ROUND_MS - UPLOADS_AFTER_MS),
      ]);
      await sleep(ENDED_MS);
      readers.forEach((reader) => {
        record.add(`machine ${index + 1}: a list of ${LISTED_BYTES} bytes, ${reader.bytes} read`);
        reader.socket.destroy();
      });
    }),
  );
  isOver = true;
  await Promise.all(watches);
  const losses = deployment.machines.map((machine) => lost.get(machine) ?? 0);
  const peakTexts = deployment.machines.map((machine) => (peaks.get(machine) ?? 0).toFixed(0));
  const text = `${ended.size} of ${deployment.machines.length} processes killed for memory over ${MEMORY_MB} MB, highest ${peakTexts.join(', ')} MB; unsafe requests that ran and lost their kept connections, by machine: ${losses.join(', ')}`;
  record.add(text);
  return losses.some((count) => count > MAX_LOST) ? `LOST: ${text}` : undefined;
});

async function writeAll(response: ServerResponse, link: Link): Promise<void> {
  const part = Buffer.alloc(PART_BYTES, 'x');
  const closed = new Promise<void>((resolve) => {
    response.once('close', resolve);
  });
  for (let sent = 0; sent < LISTED_BYTES && !response.destroyed; sent += PART_BYTES) {
    await link.turn();
    if (!response.write(part)) {
      const drained = new Promise<void>((resolve) => {
        response.once('drain', resolve);
      });
      await Promise.race([drained, closed]);
    }
  }
  response.end();
}

/** Asks for a long answer, and reads it slowly or as fast as it comes. */
function readList(
  machine: Machine,
  id: string,
  isSlow: boolean,
): { readonly bytes: number; readonly socket: Socket } {
  const socket = connect(machine.front);
  const reader = { bytes: 0, socket };
  socket.on('error', () => undefined);
  socket.write(
    `GET /list/2f HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: ${DEADLINE_MS}\r\n\r\n`,
  );
  if (!isSlow) {
    socket.on('data', (chunk: Buffer) => {
      reader.bytes += chunk.length;
    });
    return reader;
  }
  const timer = setInterval(() => {
    const chunk = socket.read(SLOW_READ_BYTES) as Buffer | null;
    reader.bytes += (chunk ?? (socket.read() as Buffer | null))?.length ?? 0;
  }, SLOW_READ_INTERVAL_MS);
  socket.on('readable', () => undefined);
  socket.once('close', () => {
    clearInterval(timer);
  });
  return reader;
}

/** Sends a booking with a large body; resolves with its status, 0 without an answer. */
async function upload(machine: Machine, id: string, link: Link): Promise<number> {
  const socket = connect(machine.front);
  let status = 0;
  const closed = new Promise<void>((resolve) => {
    socket.once('close', () => {
      resolve();
    });
  });
  socket.on('error', () => undefined);
  socket.on('data', (chunk: Buffer) => {
    status = Number(chunk.toString('latin1', 9, 12));
    socket.destroy();
  });
  socket.write(
    `POST /book/2f HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: ${id}\r\nDeadline-Ms: 20000\r\nContent-Length: ${UPLOAD_BYTES}\r\n\r\n`,
  );
  const part = Buffer.alloc(PART_BYTES, 'x');
  for (let sent = 0; sent < UPLOAD_BYTES && !socket.destroyed; sent += PART_BYTES) {
    await link.turn();
    await Promise.race([new Promise((resolve) => socket.write(part, resolve)), closed]);
  }
  await closed;
  return status;
}
