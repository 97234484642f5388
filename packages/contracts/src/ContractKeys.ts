/** Keys of configuration documents in the platform's key-value service. */

/** Prefix of all configuration. */
export const CONFIG_PREFIX = '/laburnum/config/';

/** Prefix of contracts; the team follows. */
export const CONTRACT_PREFIX = `${CONFIG_PREFIX}contracts/`;

/** Prefix of planned stops; the stop's id follows. */
export const STOP_PREFIX = `${CONFIG_PREFIX}stops/`;

/**
 * Key that every accepted change writes in its own commit. Its revision tells a daemon cheaply
 * whether it has missed a change. It lies outside {@link CONFIG_PREFIX}.
 */
export const CONFIG_HEAD_KEY = '/laburnum/config-head';

/** Prefix of the kept versions of contracts; the team follows. Not watched by daemons. */
export const HISTORY_PREFIX = '/laburnum/history/contracts/';
