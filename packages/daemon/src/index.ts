export * from './DaemonActor.js';
export * from './DaemonHttpServer.js';
export * from './DaemonLifecycle.js';
export * from './DaemonProgram.js';
