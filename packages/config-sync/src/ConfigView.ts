import type {
  ConfigurationSnapshot,
  ConfigurationView,
  ContractInForce,
  KeyRejection,
} from '@laburnumgap/contracts';

/** A configuration view whose snapshot the owner replaces. */
export interface MutableConfigView extends ConfigurationView {
  /** Replaces the snapshot and notifies the listeners. */
  publish(snapshot: ConfigurationSnapshot): void;
}

/**
 * Creates the view from which a daemon reads its configuration.
 *
 * @param initial - the first snapshot
 * @returns the view
 */
export function createConfigView(initial: ConfigurationSnapshot): MutableConfigView {
  const listeners = new Set<(snapshot: ConfigurationSnapshot) => void>();
  let snapshot = initial;
  let byKey = indexContractsByKey(initial);
  return {
    contractOfKey: (keySha256) => byKey.get(keySha256) ?? 'unknown',
    onChange: (listener) => {
      listeners.add(listener);
      return () => {
        listeners.delete(listener);
      };
    },
    publish: (next) => {
      snapshot = next;
      byKey = indexContractsByKey(next);
      for (const listener of [...listeners]) {
        listener(next);
      }
    },
    snapshot: () => snapshot,
  };
}

/**
 * Maps each key to the contract that it authenticates. A key that two contracts list as valid
 * counts as revoked, because its caller could not be identified.
 */
function indexContractsByKey(
  snapshot: ConfigurationSnapshot,
): Map<string, ContractInForce | KeyRejection> {
  const byKey = new Map<string, ContractInForce | KeyRejection>();
  const validKeys = new Set<string>();
  for (const inForce of snapshot.contracts.values()) {
    for (const key of inForce.contract.keys) {
      const isFirstValid = !key.revoked && !validKeys.has(key.sha256);
      if (isFirstValid) {
        validKeys.add(key.sha256);
        byKey.set(key.sha256, inForce);
      } else if (!key.revoked || !validKeys.has(key.sha256)) {
        byKey.set(key.sha256, 'revoked');
      }
    }
  }
  return byKey;
}
