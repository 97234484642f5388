export * from './PrefixEngineCache.js';
export * from './RouteChooser.js';
export * from './RouteConstants.js';
export * from './RoutePrefixes.js';
