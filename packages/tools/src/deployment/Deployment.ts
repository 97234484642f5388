import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { MemberRole, PlatformStore, Result, Revision, StoreError } from '@laburnumgap/kernel';
import { toNumberId } from '@laburnumgap/kernel';
import { CONTRACT_PREFIX, parseContract } from '@laburnumgap/contracts';
import { createEtcdStore } from '@laburnumgap/key-value';
import logfmt from 'logfmt';
import { request } from 'undici';
import { stringify } from 'yaml';
import type {
  DeploymentOptions,
  EngineSpec,
  EntryVmSpec,
  ServiceSpec,
} from './DeploymentOptions.js';
import type { DeploymentProcess, LogLine } from './DeploymentProcess.js';
import { startProcess } from './DeploymentProcess.js';
import { waitUntilDaemonReady } from './DeploymentReadiness.js';
import type { ListedState, ListedVm } from './DeploymentVmList.js';
import { DeploymentVmList } from './DeploymentVmList.js';

const ROLES: readonly MemberRole[] = ['scheduler', 'ledger', 'router'];
const PEER_SECRET = 'peer-secret-of-the-deployment';
const SHUTDOWN_BOUND_MS = 20_000;
const WEIGHT_STORE_RATE = { transfersPerWindow: 4, windowMs: 60_000 };

/** Returns the path of the compiled entry point of a package. */
function programPath(packageName: string): string {
  return fileURLToPath(import.meta.resolve(`@laburnumgap/${packageName}`)).replace(
    /index\.js$/,
    'main.js',
  );
}

/** Retries of a contract write whose outcome is unknown. */
const MAX_COMMIT_RETRIES = 2;

/** Runs the stand-ins and daemons of one deployment as processes on loopback. */
export class Deployment {
  readonly daemons = new Map<string, DeploymentProcess>();
  readonly standins = new Map<string, DeploymentProcess>();
  readonly #startedDaemons: DeploymentProcess[] = [];
  readonly #vms = new DeploymentVmList();
  #directory = '';
  #store: PlatformStore | undefined;

  constructor(readonly options: DeploymentOptions) {}

  /** Client of the key-value service, as operators' tools use it. */
  get store(): PlatformStore {
    if (!this.#store) {
      throw new Error('the deployment has not started');
    }
    return this.#store;
  }

  /** Shared secret of daemons and operators' tools. */
  get peerSecret(): string {
    return PEER_SECRET;
  }

  /** HOST:PORT of a stand-in. */
  addressOf(name: string): string {
    return this.standins.get(name)?.addresses.http ?? '';
  }

  /** HOST:PORT of the public HTTP listener of each running router, in order of the entry VMs. */
  routers(): readonly { readonly address: string; readonly name: string }[] {
    return this.options.entryVms
      .map((vm) => ({
        address: this.daemons.get(`router-${vm.name}`)?.addresses.http ?? '',
        name: `router-${vm.name}`,
      }))
      .filter((router) => router.address !== '');
  }

  /** Starts stand-ins, writes contracts, starts daemons and waits until every daemon is ready. */
  async start(): Promise<void> {
    this.#directory = await mkdtemp(join(tmpdir(), 'laburnum-'));
    await this.#startPlatform();
    await Promise.all([
      ...this.options.engines.map((engine) => this.startEngine(engine)),
      ...this.options.services.map((service) => this.#startService(service)),
    ]);
    await this.publishVms();
    for (const contract of this.options.contracts) {
      await this.putContract(contract);
    }
    await Promise.all(this.options.entryVms.map((vm) => this.startEntryVm(vm)));
    await this.waitUntilReady();
  }

  /** Starts the three daemons of an entry VM. */
  async startEntryVm(vm: EntryVmSpec): Promise<void> {
    await Promise.all(ROLES.map((role) => this.startDaemon(role, vm)));
  }

  /** Starts one daemon of an entry VM. */
  async startDaemon(role: MemberRole, vm: EntryVmSpec): Promise<DeploymentProcess> {
    const name = `${role}-${vm.name}`;
    const file = join(this.#directory, `${name}.yaml`);
    await mkdir(this.#directory, { recursive: true });
    await writeFile(file, stringify(this.settingsOf(role, vm)));
    const started = await startProcess({
      args: ['--settings', file],
      name,
      script: programPath(role),
    });
    this.daemons.set(name, started);
    this.#startedDaemons.push(started);
    return started;
  }

  /** Returns the settings of a daemon, as written to its settings file. */
  settingsOf(role: MemberRole, vm: EntryVmSpec): Record<string, unknown> {
    return {
      enginePools: this.options.pools,
      listen: { http: '127.0.0.1:0', rpc: '127.0.0.1:0' },
      member: {
        entryVm: vm.name,
        failureDomain: vm.failureDomain,
        id: `${role}-${vm.name}`,
        region: this.options.region,
      },
      peers: { secret: PEER_SECRET },
      platform: {
        storeUrl: `http://${this.addressOf('platform')}`,
        vmListUrl: `http://${this.addressOf('vms')}`,
        weightStore: WEIGHT_STORE_RATE,
      },
      shutdown: { boundMs: SHUTDOWN_BOUND_MS },
      ...this.options.settings,
      ...this.options.settingsByRole?.[role],
    };
  }

  /** Starts an engine and adds it to the VM list; `publishVms` publishes the list. */
  async startEngine(spec: EngineSpec): Promise<void> {
    const weights = `http://${this.addressOf('weights')}`;
    const address = await this.#startStandin(spec.name, [
      'engine',
      '--weights-url',
      weights,
      ...(spec.args ?? []),
    ]);
    this.#listServer(spec.name, address, spec.failureDomain, { kind: 'model', pool: spec.pool });
  }

  /** Sets the state of a listed server and publishes the VM list. */
  async setVmState(serverId: string, state: ListedState): Promise<void> {
    this.#vms.setState(serverId, state);
    await this.publishVms();
  }

  /** Publishes the VM list through its stand-in. */
  async publishVms(): Promise<void> {
    await this.post('vms', '/control/vms', { vms: this.#vms.vms });
  }

  /** Injects a fault into a stand-in. */
  async fault(name: string, fault: Readonly<Record<string, unknown>>): Promise<void> {
    await this.post(name, '/control/fault', fault);
  }

  /** Writes a contract to the store, bypassing the operators' tool; returns its revision. */
  async putContract(text: string): Promise<number> {
    let committed = await this.#commitContract(text);
    for (let retry = 0; retry < MAX_COMMIT_RETRIES && isOutcomeUnknown(committed); retry += 1) {
      // The first call on an idle connection that the store has closed fails with an unknown outcome.
      // Writing the same contract twice is safe: it only gets another revision.
      committed = await this.#commitContract(text);
    }
    if (!committed.ok) {
      throw new Error(`contract not committed: ${JSON.stringify(committed.error)}`);
    }
    return committed.value;
  }

  /** Writes a contract once, guarded by the current revision, as a concurrent operator does. */
  async commitContractOnce(text: string): Promise<'accepted' | StoreError['kind']> {
    const committed = await this.#commitContract(text);
    return committed.ok ? 'accepted' : committed.error.kind;
  }

  async #commitContract(text: string): Promise<Result<Revision, StoreError>> {
    const parsed = parseContract({ file: 'contract', text });
    if (!parsed.ok) {
      throw new Error(JSON.stringify(parsed.error));
    }
    const key = `${CONTRACT_PREFIX}${parsed.value.team}`;
    const current = await this.store.read(key);
    if (!current.ok) {
      return current;
    }
    return this.store.commit({
      guards: [{ key, modRevision: current.value?.modRevision ?? toNumberId(0) }],
      writes: [{ key, kind: 'put', value: text }],
    });
  }

  /** Gets JSON from a stand-in. */
  async read(name: string, path: string): Promise<unknown> {
    const response = await request(`http://${this.addressOf(name)}${path}`);
    return response.body.json();
  }

  /** Posts JSON to a stand-in. */
  async post(name: string, path: string, body: unknown): Promise<void> {
    const response = await request(`http://${this.addressOf(name)}${path}`, {
      body: JSON.stringify(body),
      headers: { 'content-type': 'application/json' },
      method: 'POST',
    });
    const text = await response.body.text();
    if (response.statusCode >= 300) {
      throw new Error(`${name}${path}: ${response.statusCode} ${text}`);
    }
  }

  /** Waits until every daemon passes its readiness check. */
  async waitUntilReady(): Promise<void> {
    await Promise.all(
      [...this.daemons.values()].map((daemon) => waitUntilDaemonReady(daemon.addresses.http ?? '')),
    );
  }

  /**
   * Stops daemons with SIGTERM and stand-ins with SIGKILL.
   *
   * @returns the exit code of each daemon; null after a signal
   */
  async stop(): Promise<ReadonlyMap<string, number | null>> {
    const codes = new Map<string, number | null>();
    const daemons = [...this.daemons.values()];
    daemons.forEach((daemon) => {
      daemon.kill('SIGTERM');
    });
    for (const daemon of daemons) {
      codes.set(daemon.name, (await daemon.exited).code);
    }
    await this.kill();
    return codes;
  }

  /** Kills every process with SIGKILL and removes the settings files. */
  async kill(): Promise<void> {
    await this.#store?.close();
    for (const process of [...this.daemons.values(), ...this.standins.values()]) {
      process.kill('SIGKILL');
    }
    await rm(this.#directory, { force: true, recursive: true });
  }

  /** Writes the buffered log lines of every daemon that was started, one file per process. */
  async writeLogs(folder: string): Promise<void> {
    await mkdir(folder, { recursive: true });
    await Promise.all(
      this.#startedDaemons.map((daemon) => {
        const text = daemon.logLines().map((line) => `${logfmt.stringify(line)}\n`);
        return writeFile(join(folder, `${daemon.name}-${daemon.pid}.log`), text.join(''));
      }),
    );
  }

  /** Returns the matching log lines of all current daemons. */
  findLogLines(matches: (line: LogLine) => boolean): readonly LogLine[] {
    return [...this.daemons.values()].flatMap((daemon) => daemon.logLines().filter(matches));
  }

  async #startPlatform(): Promise<void> {
    await Promise.all([
      this.#startStandin('platform', ['platform']),
      this.#startStandin('vms', ['vms']),
      this.#startStandin('weights', ['weights']),
    ]);
    this.#store = createEtcdStore({ url: `http://${this.addressOf('platform')}` });
  }

  async #startService(spec: ServiceSpec): Promise<void> {
    const address = await this.#startStandin(spec.name, ['service']);
    this.#listServer(spec.name, address, spec.failureDomain, {
      kind: 'service',
      service: spec.service,
    });
  }

  async #startStandin(name: string, args: readonly string[]): Promise<string> {
    const started = await startProcess({ args, name, script: programPath('standins') });
    this.standins.set(name, started);
    return started.addresses.http ?? '';
  }

  #listServer(
    serverId: string,
    address: string,
    failureDomain: string,
    backend: ListedVm['backend'],
  ): void {
    this.#vms.put({
      address: `http://${address}`,
      backend,
      failureDomain,
      region: this.options.region,
      serverId,
      state: 'live',
    });
  }
}

function isOutcomeUnknown(committed: Result<Revision, StoreError>): boolean {
  return !committed.ok && committed.error.kind === 'outcomeUnknown';
}
