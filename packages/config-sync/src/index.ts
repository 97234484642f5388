export * from './ConfigHistory.js';
export * from './ConfigPeerServer.js';
export * from './ConfigState.js';
export * from './ConfigStorePlan.js';
export * from './ConfigSync.js';
export * from './ConfigSyncConstants.js';
export * from './ConfigTopology.js';
export * from './ConfigView.js';
