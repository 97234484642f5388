// Roarr discards every message unless this is set before the module loads. TelemetryLog filters by level.
process.env.ROARR_LOG = 'true';
