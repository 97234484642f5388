import type { Fleet } from './fleet.js';
import { LateEndProxy } from './lateEndProxy.js';
import type { EngineOptions } from './leavingEngine.js';
import { KeptMemory, LeavingEngine } from './leavingEngine.js';

/** Options of {@link LeavingEngines}. */
export interface LeavingEnginesOptions extends EngineOptions {
  /** By how much the end of a connection to a server arrives late. */
  readonly endDelayMs: number;
}

const BEAT_MS = 1_200;

/** Model servers, each behind a link of its own, and their heartbeats. */
export class LeavingEngines {
  readonly engines: LeavingEngine[] = [];
  private readonly addresses = new Map<string, string>();
  private readonly beats: NodeJS.Timeout;
  private readonly bornMs = Date.now();
  private readonly memory = new KeptMemory();
  private readonly proxies: LateEndProxy[] = [];
  private sequence = 0;

  constructor(
    private readonly fleet: Fleet,
    private readonly options: LeavingEnginesOptions,
  ) {
    this.beats = setInterval(() => {
      this.engines.forEach((engine) => {
        this.writeEntry(engine);
      });
    }, BEAT_MS);
  }

  async add(id: string): Promise<void> {
    const serverIdAt = (address: string): string | undefined =>
      [...this.addresses].find(([, known]) => known === address)?.[0];
    const note = (text: string): void => {
      this.fleet.note(text);
    };
    const engine = await LeavingEngine.start(id, this.memory, serverIdAt, note, this.options);
    const proxy = await LateEndProxy.start(engine.port(), this.options.endDelayMs);
    this.engines.push(engine);
    this.proxies.push(proxy);
    this.addresses.set(id, proxy.address());
    this.writeEntry(engine);
  }

  /** A server says in the store and in its answers that it leaves. */
  drain(engine: LeavingEngine): void {
    engine.isLeaving = true;
    this.writeEntry(engine);
    this.fleet.note(`${engine.id} says that it drains`);
  }

  stop(): void {
    clearInterval(this.beats);
    this.engines.forEach((engine) => {
      engine.stop();
    });
    this.proxies.forEach((proxy) => {
      proxy.stop();
    });
  }

  private writeEntry({ id, isLeaving }: LeavingEngine): void {
    this.sequence += 1;
    this.fleet.store.put(`servers/${id}`, {
      address: this.addresses.get(id),
      born: this.bornMs,
      coldRemainingMs: 0,
      sequence: this.sequence,
      service: 'engines',
      slots: 24,
      state: isLeaving ? 'draining' : 'ready',
      version: 'v1',
      zone: 'a',
    });
  }
}
