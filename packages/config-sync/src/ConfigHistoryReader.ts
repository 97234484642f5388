import { CONTRACT_PREFIX, HISTORY_PREFIX } from '@laburnumgap/contracts';
import type { PlatformStore, Result } from '@laburnumgap/kernel';
import { failure, success } from '@laburnumgap/kernel';
import { parseHistory } from './ConfigHistory.js';
import type { ConfigChange } from './ConfigState.js';

/**
 * Reads the version of a contract that `laburnumctl` accepted last. The contract and its history
 * are written in one commit, so the revision of the history is also that of the contract.
 *
 * @param store - the store of the platform
 * @param key - key of the contract
 * @returns the version, or undefined if there is none; the error says why it is not known
 */
export async function readLastAccepted(
  store: PlatformStore,
  key: string,
): Promise<Result<ConfigChange | undefined, string>> {
  const team = key.slice(CONTRACT_PREFIX.length);
  const read = await store.read(`${HISTORY_PREFIX}${team}`);
  if (!read.ok) {
    return failure(read.error.kind);
  }
  if (!read.value) {
    return success(undefined);
  }
  const { modRevision, value } = read.value;
  const { unreadableText, versions } = parseHistory(value);
  if (unreadableText !== undefined) {
    return failure(`the history of contract "${team}" at revision ${modRevision} is unreadable`);
  }
  const last = versions.at(-1);
  return success(last && { key, modRevision, value: last.text });
}
