// Roarr drops every message unless this is set before it is loaded; levels are checked by the log.
process.env.ROARR_LOG = 'true';
