import { CONTRACT_PREFIX, HISTORY_PREFIX } from '@laburnumgap/contracts';
import type { PlatformStore } from '@laburnumgap/kernel';
import { parseHistory } from './ConfigHistory.js';
import type { ConfigChange } from './ConfigState.js';

/**
 * Reads the version of a contract that the tool accepted last. It was written in the commit that
 * wrote the history, so that the history's revision is its own.
 *
 * @param store - the platform's service
 * @param key - key of the contract
 * @returns the version, or undefined when there is none or the store does not answer
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
