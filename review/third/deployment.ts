import { setTimeout as sleep } from 'node:timers/promises';
import type { ReceivedRequest } from '../../platform/src/__tests__/support/BackendStandin.js';
import { BackendStandin, respond } from '../../platform/src/__tests__/support/BackendStandin.js';
import type { Fleet } from './fleet.js';

/** A run of a request at a server. */
export interface Run {
  readonly atMs: number;
  readonly id: string;
  readonly serverId: string;
  readonly tenant: string;
}

const ENGINE = {
  backups: true,
  kvCapacityTokens: 34_000,
  kvTokenBytes: 18_432,
  linkMbps: 2_700,
  moves: true,
  slots: 24,
  stride: 4,
};
const BEAT_MS = 1_200;
const WORK_MS = 20;
const EVENTS = 40;

/** Servers of a small deployment, which register themselves and write heartbeats. */
export class Servers {
  readonly runs: Run[] = [];
  readonly servers: BackendStandin[] = [];
  private readonly bornMs = Date.now();
  private sequence = 0;
  private readonly silent = new Set<string>();
  private readonly timer: NodeJS.Timeout;

  /**
   * @param fleet - the machines
   * @param workMs - time that the servers of the service `desk` take for a request
   */
  constructor(
    private readonly fleet: Fleet,
    private readonly workMs = WORK_MS,
  ) {
    this.timer = setInterval(() => {
      this.beat();
    }, BEAT_MS);
  }

  /** Starts a server of the service `desk` or `engines`. */
  async add(id: string, service: string): Promise<BackendStandin> {
    const server = await BackendStandin.start(id, this.servers);
    if (service === 'engines') {
      server.streamEvents(EVENTS);
    } else {
      server.handler = (request, response) => {
        this.record(id, request);
        setTimeout(() => {
          respond(request, response, 200, `done by ${id}`);
        }, this.workMs);
      };
    }
    this.servers.push(server);
    this.services.set(id, service);
    this.write(id, 'ready');
    return server;
  }

  /** Writes the entry of a server. */
  write(id: string, state: string): void {
    this.fleet.store.put(`servers/${id}`, this.entryOf(id, state));
  }

  /** The entry of a server as a heartbeat writes it. */
  entryOf(id: string, state: string): object {
    this.sequence += 1;
    const server = this.servers.find((other) => other.id === id);
    return {
      address: server?.address(),
      born: this.bornMs,
      coldRemainingMs: 0,
      sequence: this.sequence,
      service: this.services.get(id),
      slots: 24,
      state,
      version: 'v1',
      zone: 'a',
    };
  }

  /** A server writes no more heartbeats. */
  silence(id: string): void {
    this.silent.add(id);
  }

  /** Records that a server runs a request. */
  record(serverId: string, request: ReceivedRequest): void {
    this.runs.push({
      atMs: this.fleet.nowMs(),
      id: String(request.headers['request-id']),
      serverId,
      tenant: String(request.headers.tenant),
    });
  }

  stop(): void {
    clearInterval(this.timer);
    this.servers.forEach((server) => {
      server.stop();
    });
  }

  private readonly services = new Map<string, string>();

  private beat(): void {
    for (const { id } of this.servers) {
      if (!this.silent.has(id)) {
        this.write(id, 'ready');
      }
    }
  }
}

/**
 * Configuration with a route of each kind.
 *
 * @param version - its version
 * @param tenants - keys by the name of the tenant
 */
export function configuration(
  version: number,
  tenants: Readonly<Record<string, readonly string[]>>,
): object {
  const route = (
    prefix: string,
    routeType: string,
    service: string,
    timeoutMs: number,
  ): object => ({
    gapAimMs: 180,
    host: 'shop.example',
    maxAttempts: routeType === 'safe' ? 2 : 1,
    name: prefix,
    prefix,
    priority: 1,
    public: false,
    routeType,
    service,
    sessionAffinity: routeType === 'streaming',
    streamResume: false,
    targetLatencyMs: 500,
    timeoutMs,
  });
  return {
    limits: {
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
      maxBodyBytes: 4_194_304,
      maxHeaderBytes: 16_384,
    },
    routes: [
      route('/book/', 'unsafe', 'desk', 4_000),
      route('/look/', 'safe', 'desk', 4_000),
      route('/draft/', 'streaming', 'engines', 39_000),
    ],
    services: [
      { engine: ENGINE, healthPath: '/health', maxConnections: 232, name: 'engines' },
      { healthPath: '/health', maxConnections: 96, name: 'desk' },
    ],
    tenants: Object.entries(tenants).map(([name, apiKeys]) => ({ apiKeys, name, priority: 1 })),
    version,
  };
}

/** Headers of a generation. */
export const GENERATION_HEADERS = {
  'Length-Hint': '160',
  Model: 'm',
  'Prompt-Prefix': 'a1:40,b2:60',
  'Token-Counts': '100,160',
};

/** Usual traffic at each machine until it is stopped: a few short generations a second. */
export class UsualTraffic {
  answered = 0;
  failed = 0;
  private isStopped = false;
  private readonly stoppedMachines = new Set<number>();

  constructor(
    private readonly fleet: Fleet,
    private readonly key: string,
  ) {}

  start(machines: readonly number[], intervalMs: number): void {
    machines.forEach((machine) => {
      void this.run(machine, intervalMs);
    });
  }

  /** Clients go to other machines. */
  leave(machine: number): void {
    this.stoppedMachines.add(machine);
  }

  stop(): void {
    this.isStopped = true;
  }

  private async run(machine: number, intervalMs: number): Promise<void> {
    for (let number = 1; !this.isStopped && !this.stoppedMachines.has(machine); number += 1) {
      const id = `usual-${machine}-${number}`;
      const headers = { ...GENERATION_HEADERS, 'Prompt-Prefix': `a1:40,${number.toString(16)}:60` };
      void this.fleet
        .call({
          body: '{}',
          deadlineMs: 39_000,
          headers,
          id,
          key: this.key,
          machine,
          path: `/draft/${id}`,
        })
        .then(({ isComplete, status }) => {
          if (status === 200 && isComplete) {
            this.answered += 1;
          } else {
            this.failed += 1;
          }
        });
      await sleep(intervalMs);
    }
  }
}
