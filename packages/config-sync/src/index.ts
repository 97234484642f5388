export * from './ConfigHistory.js';
export type {
  ConfigActors,
  ConfigFollowOptions,
  ConfigSyncOptions,
  StartInterval,
} from './ConfigOptions.js';
export * from './ConfigPeerServer.js';
export * from './ConfigState.js';
export * from './ConfigStorePlanner.js';
export * from './ConfigSync.js';
export * from './ConfigSyncConstants.js';
export * from './ConfigTopology.js';
export * from './ConfigView.js';
export * from './ConfigWriter.js';
