import type { ServerId } from './KernelIds.js';
import type { Teardown } from './KernelPluginRegistry.js';
import type { ListedServer } from './KernelVmList.js';

/** A backend server as this process knows it. */
export interface KnownServer extends ListedServer {
  /** Takes no new work: the list, a planned stop or the server's own notice says that it leaves. */
  readonly leaving: boolean;
}

/** The backend servers as this process knows them. A leaving mark is kept while the list lags. */
export interface ServerDirectory {
  /** Marks a server as leaving on its own notice. */
  noteLeaving(serverId: ServerId): void;
  /** Calls the listener after each change of the view. */
  onChange(listener: () => void): Teardown;
  /** All known servers, sorted by server id. */
  servers(): readonly KnownServer[];
}
