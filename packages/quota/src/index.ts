export * from './QuotaAccounts.js';
export * from './QuotaConstants.js';
export * from './QuotaDeadlineQueue.js';
export * from './QuotaHome.js';
export * from './QuotaHomeTeam.js';
export * from './QuotaLimiter.js';
export * from './QuotaTokenBucket.js';
export type * from './QuotaTypes.js';
