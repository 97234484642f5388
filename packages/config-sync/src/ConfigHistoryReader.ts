import { CONTRACT_PREFIX, HISTORY_PREFIX } from '@laburnumgap/contracts';
import type { PlatformStore } from '@laburnumgap/kernel';
import { parseHistory } from './ConfigHistory.js';
import type { ConfigChange } from './ConfigState.js';

/**
 * Reads the version of a contract that `laburnumctl` accepted last. The contract and its history
 * are written in one commit, so the revision of the history is also that of the contract.
 *
 * @param store - the store of the platform
 * @param key - key of the contract
 * @returns the version, or undefined if there is none or the store does not respond
 */
export async function readLastAccepted(
  store: PlatformStore,
  key: string,
): Promise<ConfigChange | undefined> {
  const team = key.slice(CONTRACT_PREFIX.length);
  const read = await store.read(`${HISTORY_PREFIX}${team}`);
  if (!read.ok || !read.value) {
    return undefined;
  }
  const last = parseHistory(read.value.value).versions.at(-1);
  return last && { key, modRevision: read.value.modRevision, value: last.text };
}
