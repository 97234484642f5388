export * from './RouterDaemon.js';
export type * from './RouterPorts.js';
export * from './RouterProgram.js';
export * from './RouterQuota.js';
export type * from './RouterRequestHandler.js';
export * from './RouterSettings.js';
export type * from './RouterTimers.js';
