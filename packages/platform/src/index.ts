export * from './PlatformEtcdSchema.js';
export * from './PlatformEtcdStore.js';
export * from './PlatformMemoryStore.js';
export * from './PlatformStoreState.js';
export * from './PlatformVmList.js';
