export * from './SchedulerAdmissionService.js';
export * from './SchedulerDaemon.js';
export * from './SchedulerEngine.js';
export * from './SchedulerEngineProbe.js';
export * from './SchedulerEngines.js';
export * from './SchedulerInspectService.js';
export * from './SchedulerLoadPoll.js';
export * from './SchedulerRequestHomeService.js';
