export type * from './Node.js';
export * from './NodeClocks.js';
export * from './NodePlannedStop.js';
export * from './NodeStart.js';
