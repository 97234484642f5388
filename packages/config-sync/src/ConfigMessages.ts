import type { ConfigBatch__Output } from '@laburnumgap/rpc';
import type { ConfigParent } from './ConfigPeerFollower.js';
import type { StoreMessage } from './ConfigStoreCalls.js';

/** Messages to the actor that runs `ConfigSynchronizer`. */
export type ConfigMessage =
  | StoreMessage
  | { readonly batch: ConfigBatch__Output; readonly kind: 'batch'; readonly parent: ConfigParent }
  | { readonly detail: string; readonly kind: 'parentLost'; readonly parent: ConfigParent }
  | { readonly kind: 'membersChanged' }
  | { readonly kind: 'tick' };
