export * from './PlainCallConstants.js';
export * from './PlainCallHash.js';
export * from './PlainCallHeaders.js';
export * from './PlainCallMatch.js';
export type * from './PlainCallMessages.js';
export * from './PlainCallOnce.js';
export * from './PlainConnection.js';
