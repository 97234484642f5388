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
import { appendVersion, parseHistory, unreadableHistoryKey } from './ConfigHistory.js';

/** Attempts of one commit without a response before the outcome is reported as unknown. */
const MAX_ATTEMPTS = 5;
const RETRY_WAIT_MS = 300;
const NO_REVISION = toNumberId<Revision>(0);

/** A change to one configuration document. */
export interface ConfigWrite {
  /** Unique id of this change. */
  readonly changeId: string;
  /** Revision to replace; 0 when the document must not exist. */
  readonly expectedRevision: Revision;
  /** Key of the version history; without it no version is recorded. */
  readonly historyKey?: string;
  readonly key: string;
  readonly nowEpochMs: number;
  readonly operator: string;
  readonly text: string;
}

/** Why a change was not accepted. */
export type ConfigWriteError =
  /** Another change was committed first. */
  | {
      readonly actualRevision: Revision;
      readonly expectedRevision: Revision;
      readonly kind: 'conflict';
      /** Operator of the other change, if known. */
      readonly operator?: string;
    }
  /** It could not be determined whether the change was accepted. */
  | { readonly detail: string; readonly kind: 'outcomeUnknown' }
  /** The store did not respond and nothing was changed. */
  | { readonly detail: string; readonly kind: 'unavailable' };

/** Options of {@link writeConfig}. */
export interface ConfigWriterOptions {
  /** Called with the key under which the text of an unreadable history is preserved. */
  readonly onUnreadableHistory?: (preservedKey: string) => void;
  readonly store: PlatformStore;
  readonly wait?: (durationMs: number) => Promise<void>;
}

/**
 * Commits a validated document if the stored revision is the expected one, together with its entry
 * in the history and the head key. If the response is lost, the commit is retried under the same
 * guards, so that it can take effect only once, and the outcome is determined by reading back.
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
  let mayHaveCommitted = false;
  let detail = '';
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const outcome = await tryCommit(options, write);
    if (outcome.ok) {
      return outcome;
    }
    if (outcome.error.kind === 'conflict') {
      return resolveConflict(store, write, mayHaveCommitted);
    }
    if (outcome.error.kind !== 'outcomeUnknown' && !mayHaveCommitted) {
      return failure({ detail: describeError(outcome.error), kind: 'unavailable' });
    }
    mayHaveCommitted = true;
    detail = describeError(outcome.error);
    await wait(RETRY_WAIT_MS);
  }
  return failure({ detail, kind: 'outcomeUnknown' });
}

async function tryCommit(
  { onUnreadableHistory, store }: ConfigWriterOptions,
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
      return failure({ detail: describeError(read.error), kind: 'unavailable' });
    }
    const historyRevision = read.value?.modRevision ?? NO_REVISION;
    const history = parseHistory(read.value?.value);
    guards.push({ key: write.historyKey, modRevision: historyRevision });
    const value = appendVersion(history, createVersion(write));
    writes.push({ key: write.historyKey, kind: 'put', value });
    if (history.unreadableText !== undefined) {
      const preservedKey = unreadableHistoryKey(write.historyKey, historyRevision);
      writes.push({ key: preservedKey, kind: 'put', value: history.unreadableText });
      onUnreadableHistory?.(preservedKey);
    }
  }
  return store.commit({ guards, writes });
}

function createVersion(write: ConfigWrite): ContractVersion {
  return {
    acceptedAtEpochMs: write.nowEpochMs,
    changeId: write.changeId,
    operator: write.operator,
    replacedRevision: write.expectedRevision,
    text: write.text,
  };
}

/**
 * Handles a failed guard: either an earlier attempt of this change or another change was committed.
 */
async function resolveConflict(
  store: PlatformStore,
  write: ConfigWrite,
  mayHaveCommitted: boolean,
): Promise<Result<Revision, ConfigWriteError>> {
  const current = await store.read(write.key);
  const history = write.historyKey === undefined ? undefined : await store.read(write.historyKey);
  if (!current.ok || history?.ok === false) {
    const detail =
      'another change or an earlier attempt of this one was committed; the store does not respond';
    return failure({ detail, kind: mayHaveCommitted ? 'outcomeUnknown' : 'unavailable' });
  }
  const versions = parseHistory(history?.value?.value).versions;
  const ownRevision = mayHaveCommitted && acceptedRevision(write, versions, current.value);
  if (ownRevision) {
    return success(ownRevision);
  }
  return failure({
    actualRevision: current.value?.modRevision ?? NO_REVISION,
    expectedRevision: write.expectedRevision,
    kind: 'conflict',
    operator: versions.at(-1)?.operator,
  });
}

/** Revision at which an earlier attempt was committed, even if later changes have replaced it. */
function acceptedRevision(
  write: ConfigWrite,
  versions: readonly ContractVersion[],
  current: StoredValue | undefined,
): Revision | undefined {
  if (write.historyKey === undefined) {
    return current?.value === write.text ? current.modRevision : undefined;
  }
  const index = versions.findIndex(({ changeId }) => changeId === write.changeId);
  if (index < 0) {
    return undefined;
  }
  const next = versions[index + 1];
  return next ? toNumberId<Revision>(next.replacedRevision) : current?.modRevision;
}

function describeError(error: StoreError): string {
  return 'detail' in error ? error.detail : error.kind;
}

function sleep(durationMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, durationMs));
}
