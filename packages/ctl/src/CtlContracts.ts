import type { ContractVersion } from '@laburnumgap/config-sync';
import { parseHistory, writeConfig } from '@laburnumgap/config-sync';
import type { Contract, DocumentProblem } from '@laburnumgap/contracts';
import {
  CONTRACT_PREFIX,
  HISTORY_PREFIX,
  TOMBSTONE_TEXT,
  parseConfigDocument,
  parseContract,
} from '@laburnumgap/contracts';
import type { Result, Revision, StoredValue } from '@laburnumgap/kernel';
import { failure, success, toNumberId } from '@laburnumgap/kernel';
import type { CtlContext, CtlOutcome } from './CtlContext.js';
import { diffLines } from './CtlDiff.js';
import type { CtlError } from './CtlError.js';
import { formatTable } from './CtlTable.js';
import { readFileText, storeUnavailable } from './CtlUtils.js';

const NO_REVISION = toNumberId<Revision>(0);
const REVISION_COMMENT = /^# revision: \d+\n/;

/** Validates the contract in a file and puts it in force. */
export async function applyContract(
  context: CtlContext,
  file: string,
  expectedRevision?: Revision,
): Promise<CtlOutcome> {
  const read = await readContractFile(context, file);
  if (!read.ok) {
    return read;
  }
  const { contract, text } = read.value;
  const stored = await context.store.range(CONTRACT_PREFIX);
  if (!stored.ok) {
    return storeUnavailable(stored.error);
  }
  const keyConflicts = findKeysInUse(file, contract, stored.value.values);
  if (keyConflicts.length > 0) {
    return failure({ kind: 'invalid', problems: keyConflicts });
  }
  const key = `${CONTRACT_PREFIX}${contract.team}`;
  const current = stored.value.values.find((value) => value.key === key);
  const revision = current?.modRevision ?? NO_REVISION;
  if (current?.value === text && (expectedRevision ?? revision) === revision) {
    return changeOutcome(contract.team, 'unchanged', revision);
  }
  return commitChange(context, {
    expectedRevision: expectedRevision ?? revision,
    team: contract.team,
    text,
  });
}

/** Removes a team's contract by replacing it with a tombstone. */
export async function removeContract(
  context: CtlContext,
  team: string,
  expectedRevision?: Revision,
): Promise<CtlOutcome> {
  const current = await readContract(context, team);
  if (!current.ok) {
    return current;
  }
  const revision = expectedRevision ?? current.value.modRevision;
  return commitChange(context, { expectedRevision: revision, team, text: TOMBSTONE_TEXT });
}

/** Shows a team's contract as it is stored. */
export async function getContract(context: CtlContext, team: string): Promise<CtlOutcome> {
  const current = await readContract(context, team);
  if (!current.ok) {
    return current;
  }
  const { modRevision, value } = current.value;
  const lines = [`# revision: ${modRevision}`, ...value.trimEnd().split('\n')];
  return success({ json: { revision: modRevision, team, text: value }, lines });
}

/** Lists the contracts in the store. */
export async function listContracts(context: CtlContext): Promise<CtlOutcome> {
  const stored = await context.store.range(CONTRACT_PREFIX);
  if (!stored.ok) {
    return storeUnavailable(stored.error);
  }
  const contracts = stored.value.values.flatMap((value) => toContractRow(value) ?? []);
  const columns = ['TEAM', 'CUSTOMER', 'CLASS', 'REQUESTS/S', 'TOKENS/S', 'CONCURRENT', 'REVISION'];
  const rows = contracts.map((row) => [
    row.team,
    row.customer,
    row.class,
    String(row.requestsPerSecond ?? ''),
    String(row.tokensPerSecond ?? ''),
    String(row.concurrentRequests ?? ''),
    String(row.revision),
  ]);
  return success({ json: contracts, lines: formatTable(columns, rows) });
}

/** Compares a contract file with the stored contract. */
export async function diffContract(context: CtlContext, file: string): Promise<CtlOutcome> {
  const read = await readContractFile(context, file);
  if (!read.ok) {
    return read;
  }
  const { contract, text } = read.value;
  const current = await context.store.read(`${CONTRACT_PREFIX}${contract.team}`);
  if (!current.ok) {
    return storeUnavailable(current.error);
  }
  const before = current.value?.value ?? '';
  const changes = diffLines(before === TOMBSTONE_TEXT ? '' : before, text);
  const revision = current.value?.modRevision ?? NO_REVISION;
  const lines = changes.length === 0 ? ['no difference'] : changes;
  return success({ json: { changes, revision, team: contract.team }, lines });
}

/** Shows the version history of a team's contract. */
export async function getContractHistory(context: CtlContext, team: string): Promise<CtlOutcome> {
  const read = await context.store.read(`${HISTORY_PREFIX}${team}`);
  if (!read.ok) {
    return storeUnavailable(read.error);
  }
  const { unreadableText, versions } = parseHistory(read.value?.value);
  if (unreadableText !== undefined) {
    return failure({ kind: 'notFound', what: `readable history of team ${team}` });
  }
  if (versions.length === 0) {
    return failure({ kind: 'notFound', what: `history of team ${team}` });
  }
  const newestRevision = read.value?.modRevision ?? NO_REVISION;
  const rows = versions.map((version, index) => ({
    acceptedAt: new Date(version.acceptedAtEpochMs).toISOString(),
    change: describeChange(version, versions[index - 1]),
    operator: version.operator,
    revision: versions[index + 1]?.replacedRevision ?? newestRevision,
    text: version.text,
  }));
  const columns = ['REVISION', 'ACCEPTED', 'OPERATOR', 'CHANGE'];
  const rowCells = rows.map((row) => [
    String(row.revision),
    row.acceptedAt,
    row.operator,
    row.change,
  ]);
  return success({ json: rows, lines: formatTable(columns, rowCells) });
}

interface ContractCommit {
  readonly expectedRevision: Revision;
  readonly team: string;
  readonly text: string;
}

async function commitChange(context: CtlContext, change: ContractCommit): Promise<CtlOutcome> {
  const { environment, settings, store } = context;
  let preservedKey: string | undefined;
  const written = await writeConfig(
    {
      onUnreadableHistory: (key) => {
        preservedKey = key;
      },
      store,
      wait: (durationMs) => environment.wait(durationMs),
    },
    {
      changeId: environment.newId(),
      expectedRevision: change.expectedRevision,
      historyKey: `${HISTORY_PREFIX}${change.team}`,
      key: `${CONTRACT_PREFIX}${change.team}`,
      nowEpochMs: environment.nowEpochMs(),
      operator: settings.operator,
      text: change.text,
    },
  );
  if (!written.ok) {
    return written;
  }
  const outcome = changeOutcome(change.team, 'accepted', written.value);
  if (!outcome.ok || preservedKey === undefined) {
    return outcome;
  }
  const warning = `the earlier history was unreadable; its text is kept under ${preservedKey}`;
  return success({ ...outcome.value, lines: [...outcome.value.lines, warning] });
}

function changeOutcome(
  team: string,
  outcome: 'accepted' | 'unchanged',
  revision: Revision,
): CtlOutcome {
  const line = `contract of team ${team} ${outcome} at revision ${revision}`;
  return success({ json: { outcome, revision, team }, lines: [line] });
}

async function readContractFile(
  context: CtlContext,
  file: string,
): Promise<Result<{ contract: Contract; text: string }, CtlError>> {
  const read = await readFileText(context.environment, file);
  if (!read.ok) {
    return read;
  }
  const text = read.value.replace(REVISION_COMMENT, '');
  const parsed = parseContract({ file, text });
  return parsed.ok
    ? success({ contract: parsed.value, text })
    : failure({ kind: 'invalid', problems: parsed.error });
}

async function readContract(
  context: CtlContext,
  team: string,
): Promise<Result<StoredValue, CtlError>> {
  const read = await context.store.read(`${CONTRACT_PREFIX}${team}`);
  if (!read.ok) {
    return storeUnavailable(read.error);
  }
  const exists = read.value && read.value.value !== TOMBSTONE_TEXT;
  return exists
    ? success(read.value)
    : failure({ kind: 'notFound', what: `contract of team ${team}` });
}

/**
 * Finds keys that are valid in another team's contract: such a key would count as revoked in both.
 */
function findKeysInUse(
  file: string,
  contract: Contract,
  stored: readonly StoredValue[],
): DocumentProblem[] {
  const ownKeys = new Map(
    contract.keys.filter((key) => !key.revoked).map((key) => [key.sha256, key.id]),
  );
  const hashes = [...ownKeys.keys()];
  const candidates = stored.filter(({ value }) => hashes.some((hash) => value.includes(hash)));
  return candidates.flatMap(({ key, value }) => {
    const parsed = parseConfigDocument(key, value);
    const otherContract =
      parsed.ok && parsed.value.kind === 'contract' ? parsed.value.contract : undefined;
    if (!otherContract || otherContract.team === contract.team) {
      return [];
    }
    return otherContract.keys
      .filter(({ revoked, sha256 }) => !revoked && ownKeys.has(sha256))
      .map(({ sha256 }) => ({
        file,
        line: 0,
        message: `expected a unique key, team ${otherContract.team} uses the same one`,
        path: `keys.${ownKeys.get(sha256) ?? ''}`,
      }));
  });
}

interface ContractRow {
  readonly class: string;
  readonly concurrentRequests?: number;
  readonly customer: string;
  readonly requestsPerSecond?: number;
  readonly revision: Revision;
  readonly team: string;
  readonly tokensPerSecond?: number;
}

function toContractRow({ key, modRevision, value }: StoredValue): ContractRow | undefined {
  const parsed = parseConfigDocument(key, value);
  const team = key.slice(CONTRACT_PREFIX.length);
  if (!parsed.ok) {
    return { class: 'INVALID, kept out', customer: '', revision: modRevision, team };
  }
  if (parsed.value.kind !== 'contract') {
    return undefined;
  }
  const { customer, limits, scheduling } = parsed.value.contract;
  return {
    class: scheduling.class,
    concurrentRequests: limits.concurrentRequests,
    customer,
    requestsPerSecond: limits.requestsPerSecond,
    revision: modRevision,
    team,
    tokensPerSecond: limits.tokensPerSecond,
  };
}

function describeChange(version: ContractVersion, previous: ContractVersion | undefined): string {
  if (version.text === TOMBSTONE_TEXT) {
    return 'removed';
  }
  const changes = diffLines(previous?.text ?? '', version.text);
  const added = changes.filter((line) => line.startsWith('+')).length;
  const removed = changes.filter((line) => line.startsWith('-')).length;
  return `+${added} -${removed} lines`;
}
