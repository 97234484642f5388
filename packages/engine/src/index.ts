export type * from './EngineStream.js';
export * from './EngineStreamClient.js';
