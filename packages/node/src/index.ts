export type * from './Node.js';
