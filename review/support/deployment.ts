import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { request as sendRequest } from 'node:http';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import type { CaseRecord } from './record.js';
import type { ReceivedRequest } from './server.js';
import { BackendServer } from './server.js';
import { Store } from './store.js';

/** Command of the deploy file. */
const COMMAND = [
  '--max-old-space-size=90',
  '--max-semi-space-size=2',
  join('target', 'laburnumgap.cjs'),
];
/** The drivers are bundled into `target/review/`. */
const REPOSITORY = resolve(dirname(process.argv[1] ?? ''), '..', '..');
const FRONT_PORT = 8740;
const READY_PORT = 8749;
const CONTROL_PORT = 8748;
const INTERNAL_PORTS = [7200, 7215];
const READY_TIMEOUT_MS = 15_000;

/** `maxBodyBytes` of the configuration, as in the site files. */
export const MAX_BODY_BYTES = 4_194_304;
/** `memoryMb` of a machine of `hoasen-counts`. */
export const MEMORY_MB = 200;

/** Bounds of the deployment `hoasen-counts`. */
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

const CONTRACTS = [
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
];

/** Model servers as `fleetbench wire` shows them. */
export const ENGINE = {
  backups: true,
  kvCapacityTokens: 34_360,
  kvTokenBytes: 18_432,
  linkMbps: 2_700,
  moves: true,
  slots: 24,
  stride: 4,
};

export interface DeploymentOptions {
  readonly contracts?: readonly string[];
  readonly daemons: number;
}

/** One process of the system. */
export interface Daemon {
  readonly child: ChildProcess;
  readonly host: string;
  readonly name: string;
}

export function sleep(ms: number): Promise<void> {
  return new Promise((done) => {
    setTimeout(done, ms);
  });
}

/** A small deployment: a store and servers as stand-ins, daemons of the system as processes. */
export class Deployment {
  readonly daemons: Daemon[] = [];
  private readonly directory = mkdtempSync(join(tmpdir(), 'case-'));
  private readonly servers: BackendServer[] = [];
  private version = 0;
  readonly routes: Record<string, unknown>[] = [];
  readonly services: Record<string, unknown>[] = [];
  private isStopping = false;

  private constructor(
    readonly store: Store,
    readonly prefix: string,
    private readonly record: CaseRecord,
    private readonly options: DeploymentOptions,
  ) {
    process.once('exit', () => {
      this.killAll();
      rmSync(this.directory, { force: true, recursive: true });
    });
  }

  static async create(record: CaseRecord, options: DeploymentOptions): Promise<Deployment> {
    const prefix = await freePrefix();
    const store = await Store.start(`${prefix}.250`);
    return new Deployment(store, prefix, record, options);
  }

  /** Starts a server, and writes its entry into the store. */
  async addServer(
    id: string,
    service: string,
    zone: string,
    handler: (request: ReceivedRequest) => void,
    entry: Readonly<Record<string, unknown>> = {},
  ): Promise<BackendServer> {
    const host = `${this.prefix}.${100 + this.servers.length}`;
    const server = await BackendServer.start(id, host, handler);
    this.servers.push(server);
    this.writeEntry(server, service, zone, 'ready', entry);
    return server;
  }

  /** Starts a server again at its address, as a new incarnation. */
  async restartServer(
    id: string,
    service: string,
    zone: string,
    host: string,
    port: number,
    handler: (request: ReceivedRequest) => void,
    entry: Readonly<Record<string, unknown>> = {},
  ): Promise<BackendServer> {
    const server = await BackendServer.start(id, host, handler, port);
    this.servers.push(server);
    this.writeEntry(server, service, zone, 'ready', entry);
    return server;
  }

  writeEntry(
    server: BackendServer,
    service: string,
    zone: string,
    state: string,
    entry: Readonly<Record<string, unknown>> = {},
  ): void {
    this.store.put(`servers/${server.id}`, {
      address: server.address(),
      born: server.bornMs,
      coldRemainingMs: 0,
      sequence: 1,
      service,
      slots: 24,
      state,
      version: 'v1',
      zone,
      ...entry,
    });
  }

  addService(name: string, fields: object = {}): void {
    this.services.push({ healthPath: '/health', maxConnections: 200, name, ...fields });
  }

  addRoute(prefix: string, routeType: string, service: string, fields: object = {}): void {
    this.routes.push({
      host: 'shop.example',
      maxAttempts: 1,
      name: `route-${this.routes.length}`,
      prefix,
      priority: 1,
      routeType,
      service,
      targetLatencyMs: 500,
      timeoutMs: 20_000,
      ...fields,
    });
  }

  /** Writes the next version of the configuration. */
  publish(): void {
    this.version += 1;
    this.store.put('op/config', {
      limits: {
        headerTimeoutMs: 3_000,
        idleTimeoutMs: 15_000,
        maxBodyBytes: MAX_BODY_BYTES,
        maxHeaderBytes: 16_384,
      },
      routes: this.routes,
      services: this.services,
      tenants: [{ apiKeys: ['key-1'], name: 'tenant-1' }],
      version: this.version,
    });
  }

  host(number: number): string {
    return `${this.prefix}.${number}`;
  }

  /** Starts all daemons, and waits until they are ready. */
  async startDaemons(): Promise<void> {
    for (let number = 1; number <= this.options.daemons; number += 1) {
      this.startDaemon(number);
    }
    await Promise.all(this.daemons.map((daemon) => this.whenReady(daemon)));
  }

  startDaemon(number: number): Daemon {
    const host = this.host(number);
    const name = `front-${number}`;
    const zones = ['a', 'b', 'c'];
    const settings = {
      bootstrap: true,
      bounds: BOUNDS,
      contracts: this.options.contracts ?? CONTRACTS,
      dataDir: null,
      discovery: 'platform',
      entry: 'vip',
      faultCounted: false,
      faultTolerance: { machines: 1, regions: 0, zones: 0 },
      heartbeatMs: 1_200,
      internalPorts: INTERNAL_PORTS,
      ip: host,
      limits: {
        cores: 1,
        cpuShare: 0.675,
        diskMb: 0,
        linkMbps: 1_000,
        maxFds: 4_100,
        memoryMb: MEMORY_MB,
      },
      listen: {
        control: `${host}:${CONTROL_PORT}`,
        front: `${host}:${FRONT_PORT}`,
        ready: `${host}:${READY_PORT}`,
      },
      machineClass: 'front',
      node: name,
      platform: {
        address: this.store.address(),
        form: 'kv',
        historyS: 20,
        readsPerS: 2_000,
        ttlMinMs: 1_000,
        valueBytes: 1_048_576,
        writesPerS: 400,
      },
      region: 'r',
      role: 'serving',
      seeds: [1, 2, 3]
        .filter((seed) => seed <= this.options.daemons)
        .map((seed) => `${this.host(seed)}:${CONTROL_PORT}`),
      serves: ['front', 'control'],
      zone: zones[(number - 1) % 3],
      zones: { a: 'r', b: 'r', c: 'r' },
    };
    const path = join(this.directory, `${name}.yaml`);
    // JSON is YAML, too.
    writeFileSync(path, JSON.stringify(settings));
    const { HOME = '', LANG = '', PATH = '' } = process.env;
    const child = spawn(process.execPath, COMMAND, {
      cwd: REPOSITORY,
      env: { HOME, LABURNUMGAP_CONFIG: path, LANG, PATH },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const daemon = { child, host, name };
    this.daemons.push(daemon);
    this.record.line(`${name} starts at ${host}`);
    const isVerbose = process.env.VERBOSE === '1';
    child.stdout.on('data', (chunk: Buffer) => {
      if (isVerbose) {
        process.stdout.write(`${name} ${chunk.toString()}`);
      }
    });
    child.stderr.on('data', (chunk: Buffer) => {
      for (const line of chunk.toString().split('\n')) {
        if (line.trim() !== '') {
          this.record.line(`${name} writes to stderr: ${line.replaceAll(REPOSITORY, '.')}`);
        }
      }
    });
    child.once('exit', (code, signal) => {
      if (!this.isStopping) {
        this.record.line(`${name} ENDED, code ${String(code)}, signal ${String(signal)}`);
      }
    });
    return daemon;
  }

  /** Resolves when a daemon answers the readiness question with 200. */
  async whenReady(daemon: Daemon): Promise<void> {
    const untilMs = performance.now() + READY_TIMEOUT_MS;
    while ((await readyStatus(daemon.host)) !== 200) {
      if (performance.now() > untilMs) {
        throw new Error(`${daemon.name} is not ready in time`);
      }
      await sleep(50);
    }
    this.record.line(`${daemon.name} is ready`);
  }

  isAlive({ child }: Daemon): boolean {
    return child.exitCode === null && child.signalCode === null;
  }

  async stop(): Promise<void> {
    this.killAll();
    this.servers.forEach((server) => {
      server.stop();
    });
    this.store.stop();
    while (this.daemons.some((daemon) => this.isAlive(daemon))) {
      await sleep(10);
    }
    rmSync(this.directory, { force: true, recursive: true });
  }

  private killAll(): void {
    this.isStopping = true;
    for (const { child } of this.daemons) {
      child.kill('SIGKILL');
    }
  }
}

export const FRONT = FRONT_PORT;

function readyStatus(host: string): Promise<number> {
  return new Promise((done) => {
    const request = sendRequest({ agent: false, host, path: '/api/readiness', port: READY_PORT });
    request.on('error', () => {
      done(0);
    });
    request.on('response', (response) => {
      response.resume();
      done(response.statusCode ?? 0);
    });
    request.end();
  });
}

/** A loopback network on which the ports of the deployment are free. */
async function freePrefix(): Promise<string> {
  for (let attempt = 0; attempt < 100; attempt += 1) {
    const second = 1 + Math.floor(Math.random() * 250);
    const third = 1 + Math.floor(Math.random() * 250);
    const prefix = `127.${second}.${third}`;
    const ports = [FRONT_PORT, READY_PORT, CONTROL_PORT, ...INTERNAL_PORTS];
    const free = await Promise.all(ports.map((port) => canBind(`${prefix}.1`, port)));
    if (free.every(Boolean)) {
      return prefix;
    }
  }
  throw new Error('no loopback network is free');
}

function canBind(host: string, port: number): Promise<boolean> {
  return new Promise((done) => {
    const server = createServer();
    server.once('error', () => {
      done(false);
    });
    server.listen(port, host, () => {
      server.close(() => {
        done(true);
      });
    });
  });
}
