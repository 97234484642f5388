export * from './LedgerInspect.js';
export * from './LedgerProgram.js';
export * from './LedgerService.js';
export * from './LedgerSettings.js';
export * from './LedgerSlotActor.js';
export * from './LedgerSlots.js';
export * from './LedgerStart.js';
