import type { ServingConfiguration } from '@laburnumgap/dispatch';
import type { ServingLog } from '../ServingLog.js';
import type { PlatformDirectory } from '../ServingPorts.js';

/** A version of the configuration, and a daemon that has it. */
export interface VersionNotice {
  readonly host: string;
  readonly version: number;
}

/** Options of {@link ConfigurationFetcher}. */
export interface ConfigurationFetcherOptions {
  /** Version of the active configuration; 0 before there is one. */
  readonly activeVersion: () => number;
  readonly directory: Pick<PlatformDirectory, 'readConfiguration'>;
  readonly fetchFromPeer: (host: string) => Promise<ServingConfiguration | undefined>;
  readonly log: ServingLog;
  readonly onFetched: (configuration: ServingConfiguration, source: string) => void;
  readonly randomUnit: () => number;
}

/** The relays of all domains normally have a version within this time. */
const RELAY_TIME_MS = 300;
/** Spreads the requests of a domain whose relays failed. */
const FETCH_SPREAD_MS = 200;
/** More than one, since a daemon that failed after its announcement can hang until the timeout. */
const MAX_CONCURRENT_FETCHES = 4;
/** Afterwards the daemon waits for a heartbeat that is ahead. */
const MAX_ATTEMPTS = 4;

/** Fetches versions of the configuration that this daemon has heard of and does not have. */
export class ConfigurationFetcher {
  /** Attempts since a newer version was heard of. */
  private attempts = 0;
  private newest: VersionNotice | undefined;
  private readonly pending = new Set<VersionNotice>();

  constructor(private readonly options: ConfigurationFetcherOptions) {}

  /**
   * Fetches an announced version from the daemon that announced it, or from the store if the daemon
   * does not return it. Does nothing while the version is being fetched.
   *
   * @returns resolves when the attempt has ended
   */
  async fetch(notice: VersionNotice): Promise<void> {
    this.onNotice(notice);
    if (![...this.pending].some(({ version }) => version >= notice.version)) {
      await this.attempt(notice);
    }
  }

  /** Records a version, and fetches it after a delay unless it has arrived by then. */
  onNotice(notice: VersionNotice): void {
    const { activeVersion, log } = this.options;
    const newestVersion = this.newest?.version ?? 0;
    if (notice.version <= activeVersion() || notice.version < newestVersion) {
      return;
    }
    // The daemon that says so last is the most likely to live.
    this.newest = notice;
    if (notice.version > newestVersion) {
      log.info('configuration-heard', { ...notice, ownVersion: activeVersion() });
      this.attempts = 0;
      this.attemptLater();
    }
  }

  /** Whether this daemon has heard of a version that it does not have. */
  isBehind(): boolean {
    return this.knownVersion() > this.options.activeVersion();
  }

  /** Newest version that this daemon has or has heard of. */
  knownVersion(): number {
    return Math.max(this.newest?.version ?? 0, this.options.activeVersion());
  }

  /** Forgets versions that the store has lost. */
  reset(): void {
    this.newest = undefined;
  }

  private attemptLater(): void {
    const { randomUnit } = this.options;
    const version = this.newest?.version ?? 0;
    const delayMs = RELAY_TIME_MS + randomUnit() * FETCH_SPREAD_MS;
    const timer = setTimeout(() => {
      const isBehind = version > this.options.activeVersion();
      if (this.newest && isBehind && this.attempts < MAX_ATTEMPTS) {
        void this.attempt(this.newest);
      }
    }, delayMs);
    timer.unref();
  }

  private async attempt(notice: VersionNotice): Promise<void> {
    const { host, version } = notice;
    const { pending } = this;
    const isPending = [...pending].some((other) => other.host === host && other.version >= version);
    const isBehind = version > this.options.activeVersion();
    if (!isBehind || isPending || pending.size >= MAX_CONCURRENT_FETCHES) {
      return;
    }
    pending.add(notice);
    this.attempts += 1;
    await this.fetchOnce(host, version);
    pending.delete(notice);
    if (this.isBehind()) {
      this.attemptLater();
    }
  }

  private async fetchOnce(host: string, version: number): Promise<void> {
    const { directory, fetchFromPeer, log, onFetched } = this.options;
    const fetched = await fetchFromPeer(host);
    if (fetched && fetched.version >= version) {
      onFetched(fetched, `peer ${host}`);
      return;
    }
    const read = await directory.readConfiguration();
    if (read.ok) {
      onFetched(read.value, 'store');
    } else {
      log.warn('configuration-not-read', read.error);
    }
  }
}
