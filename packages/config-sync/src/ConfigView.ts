import type {
  ConfigurationSnapshot,
  ConfigurationView,
  ContractInForce,
  KeyRejection,
} from '@laburnumgap/contracts';

/** A configuration view that its owner moves on. */
export interface MovableConfigView extends ConfigurationView {
  /** Puts a snapshot in force and tells the listeners. */
  publish(snapshot: ConfigurationSnapshot): void;
}

/**
 * Creates the view that a daemon reads its configuration from.
 *
 * @param initial - the first snapshot
 * @returns the view
 */
export function createConfigView(initial: ConfigurationSnapshot): MovableConfigView {
  const listeners = new Set<(snapshot: ConfigurationSnapshot) => void>();
  let snapshot = initial;
  let byKey = indexKeys(initial);
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
      byKey = indexKeys(next);
      for (const listener of [...listeners]) {
        listener(next);
      }
    },
    snapshot: () => snapshot,
  };
}

/** A key that two contracts name as valid opens neither: the caller could not be told apart. */
function indexKeys(snapshot: ConfigurationSnapshot): Map<string, ContractInForce | KeyRejection> {
  const byKey = new Map<string, ContractInForce | KeyRejection>();
  const opened = new Set<string>();
  for (const inForce of snapshot.contracts.values()) {
    for (const key of inForce.contract.keys) {
      const opens = !key.revoked && !opened.has(key.sha256);
      if (opens) {
        opened.add(key.sha256);
        byKey.set(key.sha256, inForce);
      } else if (!key.revoked || !opened.has(key.sha256)) {
        byKey.set(key.sha256, 'revoked');
      }
    }
  }
  return byKey;
}
