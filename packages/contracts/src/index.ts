export type * from './ContractConfigurationView.js';
export * from './ContractDocument.js';
export * from './ContractHash.js';
export * from './ContractKeys.js';
export * from './ContractParser.js';
export * from './ContractSchema.js';
export type { DocumentProblem } from '@laburnumgap/settings';
export { formatDocumentProblem } from '@laburnumgap/settings';
