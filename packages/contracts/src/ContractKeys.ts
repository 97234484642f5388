/** Keys of configuration documents in the platform's key-value service. */

/** Prefix of all configuration. */
export const CONFIG_PREFIX = '/laburnum/config/';

/** Prefix of contracts; the team follows. */
export const CONTRACT_PREFIX = `${CONFIG_PREFIX}contracts/`;

/** Prefix of planned stops; the stop's id follows. */
export const STOP_PREFIX = `${CONFIG_PREFIX}stops/`;
