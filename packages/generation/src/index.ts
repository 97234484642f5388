export * from './ContinuationPolicy.js';
export * from './GapEstimator.js';
export type * from './GenerationActions.js';
export * from './GenerationTracker.js';
export type * from './GenerationTrackerOptions.js';
