export * from './EngineControlClient.js';
export type * from './EngineStream.js';
export * from './EngineStreamClient.js';
