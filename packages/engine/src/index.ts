export * from './EngineControlClient.js';
