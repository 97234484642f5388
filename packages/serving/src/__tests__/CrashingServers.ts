import type { FingerprintId, ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import { QuarantinePass } from '../index.js';
import type { SimulatedDaemon, SimulatedFleet } from './SimulatedFleet.js';

/** Time for which a daemon counts as disturbed after a fault. */
const STABLE_WINDOW_MS = 3_000;
/** Time from the arrival of a request at a server to its first event, and of a sound one to its end. */
const FIRST_EVENT_MS = 100;
const ANSWER_MS = 600;
const DOWN_MS = 2_000;

interface Run {
  readonly daemon: SimulatedDaemon;
  readonly fingerprints: readonly FingerprintId[];
  hasEnded: boolean;
  readonly sentMs: number;
  readonly trialOf: readonly FingerprintId[];
}

interface Server {
  downUntilMs: number;
  number: number;
  runs: Run[];
}

/** Options of {@link CrashingServers}. */
export interface CrashingServersOptions {
  /** Number of servers. */
  readonly count: number;
  /** Requests with one of these fingerprints crash their servers. */
  readonly harmful: ReadonlySet<FingerprintId>;
  readonly randomUnit: () => number;
}

/** What became of a sound request. */
export interface SoundRequest {
  readonly atMs: number;
  readonly isServed: boolean;
  /** It was refused, and must not be sent again. */
  readonly isRefusedForGood: boolean;
}

/** A request that crashes servers, when it arrived at one or crashed it. */
export interface BadRequest {
  readonly atMs: number;
  readonly fingerprints: readonly FingerprintId[];
}

/** Backend servers behind a fleet; requests with some fingerprints crash them. */
export class CrashingServers {
  readonly badArrivalsMs: number[] = [];
  /** Bad requests sent by daemons that had no fault for the stable window. */
  readonly undisturbedArrivals: BadRequest[] = [];
  readonly badCrashes: BadRequest[] = [];
  readonly sound: SoundRequest[] = [];
  private readonly servers: readonly Server[];

  constructor(
    private readonly fleet: SimulatedFleet,
    private readonly options: CrashingServersOptions,
  ) {
    this.servers = Array.from({ length: options.count }, (_, number) => ({
      downUntilMs: 0,
      number,
      runs: [],
    }));
  }

  /** Sends a request through a random daemon that runs. */
  request(fingerprints: readonly FingerprintId[]): void {
    const daemons = this.fleet.daemons.filter(({ isPowered }) => isPowered);
    const daemon = daemons[Math.floor(this.options.randomUnit() * daemons.length)];
    const sentMs = this.fleet.clock.nowMs();
    daemon?.quarantine?.admit(fingerprints, (verdict) => {
      if (verdict.kind === 'admitted') {
        this.run({ daemon, fingerprints, hasEnded: false, sentMs, trialOf: verdict.trialOf });
      } else if (!this.isHarmful(fingerprints)) {
        const isRefusedForGood = verdict.retryAfterMs === undefined;
        this.sound.push({ atMs: sentMs, isRefusedForGood, isServed: false });
      }
    });
  }

  /** Ends servers for a reason that has nothing to do with what they run. */
  crashShare(share: number): void {
    const up = this.upServers();
    up.slice(0, Math.ceil(up.length * share)).forEach((server) => {
      this.crash(server);
    });
  }

  /** When servers crashed on requests with a fingerprint; on any bad one by default. */
  crashesMs(fingerprint?: FingerprintId): readonly number[] {
    return timesOf(this.badCrashes, fingerprint);
  }

  /** Arrivals after all daemons must know, counted from so many crashes. */
  lateArrivals(crashes: number, knownWithinMs: number, fingerprint?: FingerprintId): number {
    const crashMs = this.crashesMs(fingerprint)[crashes - 1] ?? Infinity;
    const arrivalsMs = timesOf(this.undisturbedArrivals, fingerprint);
    return arrivalsMs.filter((ms) => ms > crashMs + knownWithinMs).length;
  }

  servedShare(fromMs: number): number {
    const sound = this.sound.filter(({ atMs }) => atMs >= fromMs);
    return sound.filter(({ isServed }) => isServed).length / sound.length;
  }

  private run(run: Run): void {
    const { sentMs } = run;
    const up = this.upServers();
    const server = up[Math.floor(this.options.randomUnit() * up.length)];
    const isBad = this.isHarmful(run.fingerprints);
    if (!server) {
      return;
    }
    if (isBad) {
      this.badArrivalsMs.push(sentMs);
      if (run.daemon.disturbedUntilMs + STABLE_WINDOW_MS <= sentMs) {
        this.undisturbedArrivals.push({ atMs: sentMs, fingerprints: run.fingerprints });
      }
    }
    if (run.daemon.quarantine) {
      new QuarantinePass(run.daemon.quarantine, run.fingerprints, run.trialOf).recordSend();
    }
    server.runs.push(run);
    setTimeout(
      () => {
        if (run.hasEnded) {
          return;
        }
        if (isBad) {
          this.badCrashes.push({
            atMs: this.fleet.clock.nowMs(),
            fingerprints: run.fingerprints,
          });
          this.crash(server);
          return;
        }
        run.hasEnded = true;
        server.runs = server.runs.filter((other) => other !== run);
        this.sound.push({ atMs: sentMs, isRefusedForGood: false, isServed: true });
        if (run.daemon.isPowered) {
          run.daemon.quarantine?.onProgress(run.fingerprints);
        }
      },
      isBad ? FIRST_EVENT_MS : ANSWER_MS,
    );
  }

  private isHarmful(fingerprints: readonly FingerprintId[]): boolean {
    return fingerprints.some((fingerprint) => this.options.harmful.has(fingerprint));
  }

  private upServers(): readonly Server[] {
    return this.servers.filter(({ downUntilMs }) => downUntilMs <= this.fleet.clock.nowMs());
  }

  private crash(server: Server): void {
    const crashedMs = this.fleet.clock.nowMs();
    const serverId = toId<ServerId>(`s${server.number}`);
    const incarnation = { serverId, startedEpochMs: crashedMs };
    server.downUntilMs = crashedMs + DOWN_MS;
    const { runs } = server;
    server.runs = [];
    for (const daemon of new Set(runs.map((run) => run.daemon))) {
      const requests = runs
        .filter((run) => run.daemon === daemon)
        .map(({ fingerprints, sentMs, trialOf }) => ({
          fingerprints,
          requestId: 'r',
          sentMs,
          trialOf,
        }));
      if (daemon.isPowered) {
        daemon.quarantine?.onCrash({ crashedMs, requests, server: incarnation });
      }
    }
    runs.forEach((run) => {
      run.hasEnded = true;
    });
  }
}

function timesOf(requests: readonly BadRequest[], fingerprint?: FingerprintId): readonly number[] {
  return requests
    .filter(({ fingerprints }) => !fingerprint || fingerprints.includes(fingerprint))
    .map(({ atMs }) => atMs);
}

/** Deterministic numbers from 0 to 1. */
export function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
}
