export * from './AdmissionFifo.js';
export type * from './AdmissionTypes.js';
export * from './RequestHome.js';
