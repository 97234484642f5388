/** Keys of configuration documents in the platform's key-value store. */

/** Prefix of all configuration. */
export const CONFIG_PREFIX = '/laburnum/config/';

/** Prefix of contracts, followed by the team. */
export const CONTRACT_PREFIX = `${CONFIG_PREFIX}contracts/`;

/** Prefix of planned stops, followed by the id of the stop. */
export const STOP_PREFIX = `${CONFIG_PREFIX}stops/`;

/**
 * Head key: written in the commit of every accepted change, so that a daemon detects a missed
 * change by reading one key instead of every document. It lies outside {@link CONFIG_PREFIX}.
 */
export const CONFIG_HEAD_KEY = '/laburnum/config-head';

/** Prefix of the version histories of contracts, followed by the team. Not watched by daemons. */
export const HISTORY_PREFIX = '/laburnum/history/contracts/';
