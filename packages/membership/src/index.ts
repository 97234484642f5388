export * from './Membership.js';
export * from './MembershipConstants.js';
export * from './MembershipRank.js';
export * from './MembershipSchema.js';
export * from './MembershipTimers.js';
