export * from './QuotaConstants.js';
export * from './QuotaHome.js';
export * from './QuotaHomeTeam.js';
export * from './QuotaShare.js';
export * from './QuotaTokenBucket.js';
export type * from './QuotaTypes.js';
