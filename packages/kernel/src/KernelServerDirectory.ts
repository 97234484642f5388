import type { ServerId } from './KernelIds.js';
import type { Teardown } from './KernelPluginRegistry.js';
import type { ListedServer } from './KernelVmList.js';

/** A backend server in the view of this process. */
export interface KnownServer extends ListedServer {
  /** Gets no new work, because the VM list, a planned stop or the server itself says that it leaves. */
  readonly leaving: boolean;
}

/** This process's view of the backend servers. A leaving mark stays while the VM list lags. */
export interface ServerDirectory {
  /** Marks a server as leaving after the server itself has reported it. */
  markLeaving(serverId: ServerId): void;
  /** Calls the listener after each change of the view. */
  onChange(listener: () => void): Teardown;
  /** Returns all known servers, sorted by server id. */
  servers(): readonly KnownServer[];
}
