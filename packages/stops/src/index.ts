export * from './LeavingMarks.js';
export * from './StopServerDirectory.js';
export * from './StopUtils.js';
