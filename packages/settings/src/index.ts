export * from './SettingsDocument.js';
export * from './SettingsFile.js';
export * from './SettingsSchema.js';
