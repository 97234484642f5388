export * from './CtlConstants.js';
export type * from './CtlContext.js';
export * from './CtlError.js';
export * from './CtlProgram.js';
export * from './CtlSettings.js';
