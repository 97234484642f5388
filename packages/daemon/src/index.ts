export * from './DaemonActor.js';
export * from './DaemonHealth.js';
export * from './DaemonLifecycle.js';
export * from './DaemonProgram.js';
