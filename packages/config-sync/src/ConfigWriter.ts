import { CONFIG_HEAD_KEY } from '@laburnumgap/contracts';
import type {
  PlatformStore,
  Result,
  Revision,
  RevisionGuard,
  StoreError,
  StoreWrite,
  StoredValue,
} from '@laburnumgap/kernel';
import { failure, success, toNumberId } from '@laburnumgap/kernel';
import type { ContractVersion } from './ConfigHistory.js';
import { appendVersion, parseHistory } from './ConfigHistory.js';

/** Tries of one commit whose answers are lost before the outcome is reported as unknown. */
const MAX_TRIES = 5;
const RETRY_WAIT_MS = 300;
const NO_REVISION = toNumberId<Revision>(0);

/** A change to one configuration document. */
export interface ConfigWrite {
  /** Unique to this change. */
  readonly changeId: string;
  /** Revision that is to be replaced; 0 when the document must not exist. */
  readonly expectedRevision: Revision;
  /** Key of the kept versions; without it no version is kept. */
  readonly historyKey?: string;
  readonly key: string;
  readonly nowEpochMs: number;
  readonly operator: string;
  readonly text: string;
}

/** Why a change was not accepted. */
export type ConfigWriteError =
  /** Another change came first. */
  | {
      readonly actualRevision: Revision;
      readonly expectedRevision: Revision;
      readonly kind: 'conflict';
      /** Who made the other change, where that is known. */
      readonly operator?: string;
    }
  /** Whether the change was accepted could not be found out. */
  | { readonly detail: string; readonly kind: 'outcomeUnknown' }
  /** Nothing was changed. */
  | { readonly detail: string; readonly kind: 'unavailable' };

/** Options of {@link writeConfig}. */
export interface ConfigWriterOptions {
  readonly store: PlatformStore;
  readonly wait?: (durationMs: number) => Promise<void>;
}

/**
 * Commits a checked document under its expected revision, with its version in the history and the
 * head key. An answer that is lost is settled by committing again under the same guards, which can
 * take effect once only, and by reading back.
 *
 * @param options - the store
 * @param write - the change
 * @returns the revision that accepted it, or why it was not accepted
 */
export async function writeConfig(
  options: ConfigWriterOptions,
  write: ConfigWrite,
): Promise<Result<Revision, ConfigWriteError>> {
  const { store } = options;
  const wait = options.wait ?? sleep;
  let mayHaveTakenEffect = false;
  let detail = '';
  for (let attempt = 0; attempt < MAX_TRIES; attempt += 1) {
    const outcome = await commitOnce(store, write);
    if (outcome.ok) {
      return outcome;
    }
    if (outcome.error.kind === 'conflict') {
      return settleConflict(store, write, mayHaveTakenEffect);
    }
    if (outcome.error.kind !== 'outcomeUnknown' && !mayHaveTakenEffect) {
      return failure({ detail: describe(outcome.error), kind: 'unavailable' });
    }
    mayHaveTakenEffect = true;
    detail = describe(outcome.error);
    await wait(RETRY_WAIT_MS);
  }
  return failure({ detail, kind: 'outcomeUnknown' });
}

async function commitOnce(
  store: PlatformStore,
  write: ConfigWrite,
): Promise<Result<Revision, StoreError>> {
  const { changeId, expectedRevision, key, text } = write;
  const guards: RevisionGuard[] = [{ key, modRevision: expectedRevision }];
  const writes: StoreWrite[] = [
    { key, kind: 'put', value: text },
    { key: CONFIG_HEAD_KEY, kind: 'put', value: JSON.stringify({ changeId, key }) },
  ];
  if (write.historyKey !== undefined) {
    const read = await store.read(write.historyKey);
    if (!read.ok) {
      return failure({ detail: describe(read.error), kind: 'unavailable' });
    }
    guards.push({ key: write.historyKey, modRevision: read.value?.modRevision ?? NO_REVISION });
    const value = appendVersion(parseHistory(read.value?.value), versionOf(write));
    writes.push({ key: write.historyKey, kind: 'put', value });
  }
  return store.commit({ guards, writes });
}

function versionOf(write: ConfigWrite): ContractVersion {
  return {
    acceptedAtEpochMs: write.nowEpochMs,
    changeId: write.changeId,
    operator: write.operator,
    replacedRevision: write.expectedRevision,
    text: write.text,
  };
}

/** A guard did not hold: either an earlier try of this change took effect, or another change. */
async function settleConflict(
  store: PlatformStore,
  write: ConfigWrite,
  mayHaveTakenEffect: boolean,
): Promise<Result<Revision, ConfigWriteError>> {
  const current = await store.read(write.key);
  const history = write.historyKey === undefined ? undefined : await store.read(write.historyKey);
  if (!current.ok || history?.ok === false) {
    const detail = 'another change came first, or this one did; the store does not answer now';
    return failure({ detail, kind: mayHaveTakenEffect ? 'outcomeUnknown' : 'unavailable' });
  }
  const versions = parseHistory(history?.value?.value).versions;
  const own = mayHaveTakenEffect && acceptedRevision(write, versions, current.value);
  if (own) {
    return success(own);
  }
  return failure({
    actualRevision: current.value?.modRevision ?? NO_REVISION,
    expectedRevision: write.expectedRevision,
    kind: 'conflict',
    operator: versions.at(-1)?.operator,
  });
}

/** Revision under which an earlier try was accepted, also when others have changed it since. */
function acceptedRevision(
  write: ConfigWrite,
  versions: readonly ContractVersion[],
  current: StoredValue | undefined,
): Revision | undefined {
  if (write.historyKey === undefined) {
    return current?.value === write.text ? current.modRevision : undefined;
  }
  const place = versions.findIndex(({ changeId }) => changeId === write.changeId);
  if (place < 0) {
    return undefined;
  }
  const next = versions[place + 1];
  return next ? toNumberId<Revision>(next.replacedRevision) : current?.modRevision;
}

function describe(error: StoreError): string {
  return 'detail' in error ? error.detail : error.kind;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
