export * from './PlatformEtcdSchema.js';
export * from './PlatformEtcdStore.js';
export * from './PlatformHttpCall.js';
export * from './PlatformHttpClient.js';
export * from './PlatformMemoryStore.js';
export * from './PlatformStoreState.js';
export * from './PlatformVmList.js';
