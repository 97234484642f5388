export type * from './ContractConfigurationView.js';
export * from './ContractKeys.js';
export * from './ContractSchema.js';
