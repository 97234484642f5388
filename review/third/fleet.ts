import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request as sendRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { ReservedNetwork } from '../../platform/src/__tests__/support/ReservedNetwork.js';
import {
  FIRST_FIXED_PORT,
  reserveNetwork,
} from '../../platform/src/__tests__/support/ReservedNetwork.js';
import { StoreStandin } from '../../platform/src/__tests__/support/StoreStandin.js';

/** Whether the disruption of the case is left out. */
export const IS_CALM = process.env.TROUBLE === '0';

const ROOT = resolve('.');
const READY_TIMEOUT_MS = 15_000;

/** Far above what a case takes. */
const MAX_CASE_MS = 100_000;
const EXIT_NOT_RUN = 2;

/** Ports of each daemon on its own loopback address. */
const PORTS = {
  control: FIRST_FIXED_PORT + 2,
  front: FIRST_FIXED_PORT,
  internal: FIRST_FIXED_PORT + 10,
  ready: FIRST_FIXED_PORT + 3,
};

/** Bounds of the two small deployments of SYSTEM.md. */
export const BOUNDS = {
  ackMs: 4_000,
  budgetMinRetries: 52,
  budgetWindowS: 10,
  catchUpS: 4,
  configApplyMs: 2_000,
  downgradeSlackMs: 250,
  drainMs: 2_000,
  graceS: 8,
  lossSlackMs: 200,
  outerBoundMs: 5_000,
  passMs: 120,
  recoveryS: 12,
  retryBudgetRatio: 0.2,
  reuseAfterS: 2,
  reuseWindowS: 4.7,
  revokeFailClosed: false,
  revokeMs: 5_000,
  seedLagS: 3,
  stableWindowMs: 3_000,
};

/** Zones of the six machines, as on the sheet of a small deployment. */
export const ZONES = ['a', 'a', 'a', 'b', 'b', 'c'] as const;

/** An answer as a client received it. */
export interface Answer {
  readonly body: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly isComplete: boolean;
  readonly status: number;
}

/** A request as a client sends it. */
export interface ClientRequest {
  readonly body?: string;
  readonly deadlineMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly id: string;
  readonly key: string;
  readonly machine: number;
  readonly method?: string;
  readonly path: string;
}

interface Machine {
  child: ChildProcess | undefined;
  readonly host: string;
  log: string;
  readonly settingsPath: string;
}

/** The program of the deploy file on several loopback addresses, and the platform's store. */
export class Fleet {
  readonly machines: Machine[] = [];
  private readonly lines: string[] = [];
  private readonly startedMs = performance.now();

  private constructor(
    readonly name: string,
    readonly store: StoreStandin,
    private readonly network: ReservedNetwork,
    private readonly folder: string,
  ) {}

  /**
   * Prepares the settings of the machines; starts none.
   *
   * @param name - folder of the case, for its record
   * @param zones - zone of each machine
   */
  static async create(name: string, zones: readonly string[]): Promise<Fleet> {
    const folder = mkdtempSync(join(tmpdir(), 'review-'));
    const fleet = new Fleet(name, await StoreStandin.start(), await reserveNetwork(), folder);
    zones.forEach((zone, index) => {
      const host = `${fleet.network.prefix}.${index + 1}`;
      const settingsPath = join(folder, `boot-${index + 1}.yaml`);
      writeFileSync(settingsPath, JSON.stringify(fleet.settings(index, zone, zones)));
      fleet.machines.push({ child: undefined, host, log: '', settingsPath });
    });
    return fleet;
  }

  /** Time since the start of the case. */
  nowMs(): number {
    return performance.now() - this.startedMs;
  }

  /** Adds a line to the record. */
  note(text: string): void {
    this.lines.push(`${(this.nowMs() / 1_000).toFixed(3)} s  ${text}`);
  }

  /** Starts the program on a machine with the command of the deploy file. */
  start(machine: number): void {
    const entry = this.entry(machine);
    const deployment = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
    const [, ...words] = /^run = "(node .+)"$/m.exec(deployment)?.[1]?.split(' ') ?? [];
    const child = spawn(process.execPath, words, {
      cwd: ROOT,
      env: {
        HOME: process.env.HOME,
        LABURNUMGAP_CONFIG: entry.settingsPath,
        PATH: process.env.PATH,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', (chunk: Buffer) => {
        entry.log += chunk.toString();
      });
    }
    entry.child = child;
    this.note(`machine ${machine} starts`);
  }

  /** Sends a signal to the process of a machine. */
  signal(machine: number, name: NodeJS.Signals): void {
    this.entry(machine).child?.kill(name);
    this.note(`machine ${machine} gets ${name}`);
  }

  host(machine: number): string {
    return this.entry(machine).host;
  }

  /** Waits until a machine says that it is ready. Throws when it does not in time. */
  async waitUntilReady(machine: number): Promise<void> {
    const endMs = performance.now() + READY_TIMEOUT_MS;
    while ((await this.readyStatus(machine)) !== 200) {
      if (performance.now() > endMs) {
        throw new Error(`machine ${machine} is not ready: ${this.entry(machine).log}`);
      }
      await sleep(20);
    }
  }

  /** Sends a request on a new connection. */
  call(request: ClientRequest): Promise<Answer> {
    const { body, deadlineMs = 4_000, headers = {}, id, key, machine, path } = request;
    const { method = body === undefined ? 'GET' : 'POST' } = request;
    return new Promise((done) => {
      let text = '';
      const sent = sendRequest(
        {
          agent: false,
          headers: {
            Authorization: `Token ${key}`,
            'Deadline-Ms': String(deadlineMs),
            Host: 'shop.example',
            'Request-Id': id,
            ...headers,
          },
          host: this.host(machine),
          method,
          path,
          port: PORTS.front,
        },
        (response) => {
          const end = (isComplete: boolean): void => {
            const { headers: received, statusCode = 0 } = response;
            done({ body: text, headers: received, isComplete, status: statusCode });
          };
          response.on('data', (chunk: Buffer) => {
            text += chunk.toString();
          });
          response.on('end', () => {
            end(response.complete);
          });
          response.on('error', () => {
            end(false);
          });
        },
      );
      sent.on('error', () => {
        done({ body: text, headers: {}, isComplete: false, status: 0 });
      });
      sent.end(body);
    });
  }

  /** Starts the machines, and waits until all are ready. */
  async startAll(): Promise<readonly number[]> {
    const all = this.machines.map((_, index) => index + 1);
    all.forEach((machine) => {
      this.start(machine);
    });
    await Promise.all(all.map((machine) => this.waitUntilReady(machine)));
    this.note('all machines are ready');
    return all;
  }

  /** Kills the processes that are left. */
  kill(): void {
    this.machines.forEach(({ child }) => child?.kill('SIGKILL'));
  }

  /** Writes the record, and ends everything that was started. */
  async end(): Promise<void> {
    await Promise.all(
      this.machines.map(async ({ child }) => {
        if (child?.exitCode === null && child.signalCode === null) {
          const ended = new Promise((done) => child.once('close', done));
          child.kill('SIGKILL');
          await ended;
        }
      }),
    );
    this.store.stop();
    this.network.release();
    rmSync(this.folder, { force: true, recursive: true });
    writeFileSync(join(ROOT, 'review', this.name, 'record.txt'), `${this.lines.join('\n')}\n`);
  }

  private entry(machine: number): Machine {
    const entry = this.machines[machine - 1];
    if (!entry) {
      throw new Error(`there is no machine ${machine}`);
    }
    return entry;
  }

  private readyStatus(machine: number): Promise<number> {
    return new Promise((done) => {
      const request = sendRequest(
        { agent: false, host: this.host(machine), path: '/api/readiness', port: PORTS.ready },
        (response) => {
          response.resume();
          response.on('end', () => {
            done(response.statusCode ?? 0);
          });
        },
      );
      request.on('error', () => {
        done(0);
      });
      request.end();
    });
  }

  private settings(index: number, zone: string, zones: readonly string[]): object {
    const { prefix } = this.network;
    const ip = `${prefix}.${index + 1}`;
    const seeds = zones.slice(0, 3).map((_, seed) => `${prefix}.${seed + 1}:${PORTS.control}`);
    return {
      bootstrap: true,
      bounds: BOUNDS,
      contracts: [
        'base',
        'drain',
        'config',
        'cost',
        'retry',
        'recover',
        'engine',
        'stream',
        'tenants',
        'platform',
      ],
      dataDir: null,
      discovery: 'platform',
      entry: 'vip',
      faultCounted: false,
      heartbeatMs: 1_200,
      internalPorts: [PORTS.internal, PORTS.internal + 15],
      ip,
      limits: { cores: 1, cpuShare: 0.675, linkMbps: 1_000, maxFds: 4_100, memoryMb: 200 },
      listen: {
        control: `${ip}:${PORTS.control}`,
        front: `${ip}:${PORTS.front}`,
        ready: `${ip}:${PORTS.ready}`,
      },
      machineClass: 'front',
      node: `front-${zone}-${index + 1}`,
      platform: {
        address: `127.0.0.1:${this.store.port()}`,
        form: 'kv',
        historyS: 20,
        readsPerS: 2_000,
        ttlMinMs: 1_000,
        valueBytes: 1_048_576,
        writesPerS: 400,
      },
      region: 'r',
      role: 'serving',
      seeds,
      serves: ['front', 'control'],
      zone,
      zones: Object.fromEntries([...new Set(zones)].map((name) => [name, 'r'])),
    };
  }
}

/**
 * Runs a case and ends the process: with 1 if the rule was broken, 0 if it held and 2 if it could not run.
 *
 * @param name - folder of the case, for its record
 * @param run - returns how often the rule was broken
 */
export async function runCase(name: string, run: (fleet: Fleet) => Promise<number>): Promise<void> {
  const fleet = await Fleet.create(name, ZONES);
  process.once('exit', () => {
    fleet.kill();
  });
  for (const signal of ['SIGINT', 'SIGTERM'] as const) {
    process.once(signal, () => process.exit(EXIT_NOT_RUN));
  }
  setTimeout(() => process.exit(EXIT_NOT_RUN), MAX_CASE_MS).unref();
  let exitCode = EXIT_NOT_RUN;
  try {
    exitCode = (await run(fleet)) > 0 ? 1 : 0;
  } catch (error) {
    fleet.note(`the case could not run: ${String(error)}`);
  }
  await fleet.end();
  process.exit(exitCode);
}
