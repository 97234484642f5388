import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request as sendRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import type { ReservedNetwork } from '../../platform/src/__tests__/support/ReservedNetwork.js';
import {
  FIRST_FIXED_PORT,
  reserveNetwork,
} from '../../platform/src/__tests__/support/ReservedNetwork.js';
import { StoreStandin } from '../../platform/src/__tests__/support/StoreStandin.js';

/** Root of the repository; the scripts start the cases there. */
const ROOT = process.cwd();
const PORTS = {
  control: FIRST_FIXED_PORT + 2,
  first: FIRST_FIXED_PORT + 10,
  front: FIRST_FIXED_PORT,
  ready: FIRST_FIXED_PORT + 3,
};
const BYTES_PER_KB = 1_024;
const POLL_MS = 10;

/** Options of {@link Deployment.start}. */
export interface DeploymentOptions {
  /** Failure domain of each machine; its length is the number of machines. */
  readonly zones: readonly string[];
  /** Fields of the settings that differ from those of a small deployment. */
  readonly settings?: Readonly<Record<string, unknown>>;
}

/** Machines of a small deployment, each with one process as the deploy file starts it. */
export class Deployment {
  readonly machines: readonly Machine[];

  private constructor(
    readonly store: StoreStandin,
    private readonly network: ReservedNetwork,
    private readonly folder: string,
    { settings, zones }: DeploymentOptions,
  ) {
    this.machines = zones.map((zone, index) => {
      const host = `${network.prefix}.${index + 1}`;
      const path = join(folder, `boot-${index + 1}.yaml`);
      const seeds = zones
        .slice(0, 3)
        .map((_, seed) => `${network.prefix}.${seed + 1}:${PORTS.control}`);
      writeFileSync(
        path,
        JSON.stringify({
          ...settingsOf({ host, index, seeds, storePort: store.port(), zone }),
          ...settings,
        }),
      );
      return new Machine(host, path);
    });
  }

  /** Starts the store; the machines are started by the case. */
  static async start(options: DeploymentOptions): Promise<Deployment> {
    const network = await reserveNetwork();
    const folder = mkdtempSync(join(tmpdir(), 'review-'));
    return new Deployment(await StoreStandin.start(), network, folder, options);
  }

  /** Starts all machines and waits until they are ready. */
  async startMachines(): Promise<void> {
    this.machines.forEach((machine) => {
      machine.start();
    });
    for (const machine of this.machines) {
      await machine.waitUntilReady();
    }
  }

  machine(number: number): Machine {
    const machine = this.machines[number - 1];
    if (!machine) {
      throw new Error(`there is no machine ${number}`);
    }
    return machine;
  }

  /** Ends all processes and frees the addresses. */
  async stop(): Promise<void> {
    await Promise.all(this.machines.map((machine) => machine.kill()));
    this.store.stop();
    this.network.release();
    rmSync(this.folder, { force: true, recursive: true });
  }
}

function settingsOf(options: {
  readonly host: string;
  readonly index: number;
  readonly seeds: readonly string[];
  readonly storePort: number;
  readonly zone: string;
}): Record<string, unknown> {
  const { host, index, seeds, storePort, zone } = options;
  return {
    bootstrap: true,
    bounds: {
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
      reuseWindowS: 7.1,
      revokeFailClosed: false,
      revokeMs: 5_000,
      seedLagS: 3,
      stableWindowMs: 3_000,
    },
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
    internalPorts: [PORTS.first, PORTS.first + 15],
    ip: host,
    limits: { cores: 1, cpuShare: 0.675, diskMb: 0, linkMbps: 1_000, maxFds: 4_100, memoryMb: 350 },
    listen: {
      control: `${host}:${PORTS.control}`,
      front: `${host}:${PORTS.front}`,
      ready: `${host}:${PORTS.ready}`,
    },
    machineClass: 'front',
    node: `front-${zone}-${index + 1}`,
    platform: {
      address: `127.0.0.1:${storePort}`,
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
  };
}

/** Command of the deploy file. */
function commandWords(): readonly string[] {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const words = /^run = "node (.+)"$/m.exec(text)?.[1]?.split(' ');
  if (!words) {
    throw new Error('the deploy file names no command');
  }
  return words;
}

/** One machine: its address and its process. */
export class Machine {
  log = '';
  /** Exits that nobody ordered, as code or signal. */
  readonly ownEnds: string[] = [];
  private child: ChildProcess | undefined;
  private isKilled = false;

  constructor(
    readonly host: string,
    private readonly settingsPath: string,
  ) {}

  get front(): { readonly host: string; readonly port: number } {
    return { host: this.host, port: PORTS.front };
  }

  start(): void {
    this.isKilled = false;
    const child = spawn(process.execPath, commandWords(), {
      cwd: ROOT,
      env: { LABURNUMGAP_CONFIG: this.settingsPath, PATH: process.env.PATH },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.child = child;
    const kill = (): void => {
      child.kill('SIGKILL');
    };
    process.once('exit', kill);
    for (const stream of [child.stdout, child.stderr]) {
      stream.on('data', (chunk: Buffer) => {
        this.log += chunk.toString();
      });
    }
    child.once('exit', (code, signal) => {
      process.off('exit', kill);
      if (!this.isKilled) {
        this.ownEnds.push(signal ?? String(code));
      }
    });
  }

  isAlive(): boolean {
    return this.child?.exitCode === null && this.child.signalCode === null;
  }

  signal(name: NodeJS.Signals): void {
    this.isKilled ||= name === 'SIGKILL' || name === 'SIGTERM';
    this.child?.kill(name);
  }

  async kill(): Promise<void> {
    this.signal('SIGCONT');
    this.signal('SIGKILL');
    while (this.isAlive()) {
      await sleep(POLL_MS);
    }
  }

  async waitUntilReady(): Promise<void> {
    while ((await this.readyStatus()) !== 200) {
      await sleep(POLL_MS);
    }
  }

  readyStatus(): Promise<number> {
    return new Promise((done) => {
      const request = sendRequest({ agent: false, host: this.host, port: PORTS.ready });
      request.on('error', () => {
        done(0);
      });
      request.on('response', (response) => {
        response.resume();
        response.on('end', () => {
          done(response.statusCode ?? 0);
        });
      });
      request.end();
    });
  }

  /** Memory that belongs to the process alone, and all that is resident, in bytes. */
  memory(): {
    readonly anonymousBytes: number;
    readonly peakBytes: number;
    readonly residentBytes: number;
  } {
    const text = readFileSync(`/proc/${this.child?.pid ?? 0}/status`, 'utf8');
    const read = (name: string): number =>
      Number(new RegExp(`^${name}:\\s*(\\d+) kB$`, 'm').exec(text)?.[1] ?? NaN) * BYTES_PER_KB;
    return {
      anonymousBytes: read('RssAnon'),
      peakBytes: read('VmHWM'),
      residentBytes: read('VmRSS'),
    };
  }

  /** Log lines of an event. */
  lines(event: string): readonly string[] {
    return this.log.split('\n').filter((line) => `${line} `.includes(`event=${event} `));
  }
}
