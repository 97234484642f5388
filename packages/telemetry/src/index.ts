export * from './TelemetryDecisionLog.js';
export * from './TelemetryLog.js';
export * from './TelemetryMetrics.js';
