export * from './LeavingServerTracker.js';
export * from './StopServerDirectory.js';
export * from './StopUtils.js';
