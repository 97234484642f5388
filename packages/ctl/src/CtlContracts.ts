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
import { readFileText, unavailable } from './CtlUtils.js';

const NO_REVISION = toNumberId<Revision>(0);
const REVISION_COMMENT = /^# revision: \d+\n/;

/** Puts the contract of a file in force. */
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
    return unavailable(stored.error);
  }
  const taken = keysTaken(file, contract, stored.value.values);
  if (taken.length > 0) {
    return failure({ kind: 'invalid', problems: taken });
  }
  const key = `${CONTRACT_PREFIX}${contract.team}`;
  const current = stored.value.values.find((value) => value.key === key);
  const revision = current?.modRevision ?? NO_REVISION;
  if (current?.value === text && (expectedRevision ?? revision) === revision) {
    return answer(contract.team, 'unchanged', revision);
  }
  return commit(context, {
    expectedRevision: expectedRevision ?? revision,
    team: contract.team,
    text,
  });
}

/** Takes a team's contract out of force. */
export async function removeContract(
  context: CtlContext,
  team: string,
  expectedRevision?: Revision,
): Promise<CtlOutcome> {
  const current = await readTeam(context, team);
  if (!current.ok) {
    return current;
  }
  const revision = expectedRevision ?? current.value.modRevision;
  return commit(context, { expectedRevision: revision, team, text: TOMBSTONE_TEXT });
}

/** Shows the contract of a team as it was written. */
export async function getContract(context: CtlContext, team: string): Promise<CtlOutcome> {
  const current = await readTeam(context, team);
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
    return unavailable(stored.error);
  }
  const contracts = stored.value.values.flatMap((value) => rowOf(value) ?? []);
  const head = ['TEAM', 'CUSTOMER', 'CLASS', 'REQUESTS/S', 'TOKENS/S', 'CONCURRENT', 'REVISION'];
  const rows = contracts.map((row) => [
    row.team,
    row.customer,
    row.class,
    String(row.requestsPerSecond ?? ''),
    String(row.tokensPerSecond ?? ''),
    String(row.concurrentRequests ?? ''),
    String(row.revision),
  ]);
  return success({ json: contracts, lines: formatTable(head, rows) });
}

/** Compares a file with what is in the store. */
export async function diffContract(context: CtlContext, file: string): Promise<CtlOutcome> {
  const read = await readContractFile(context, file);
  if (!read.ok) {
    return read;
  }
  const { contract, text } = read.value;
  const current = await context.store.read(`${CONTRACT_PREFIX}${contract.team}`);
  if (!current.ok) {
    return unavailable(current.error);
  }
  const before = current.value?.value ?? '';
  const changes = diffLines(before === TOMBSTONE_TEXT ? '' : before, text);
  const revision = current.value?.modRevision ?? NO_REVISION;
  const lines = changes.length === 0 ? ['no difference'] : changes;
  return success({ json: { changes, revision, team: contract.team }, lines });
}

/** Shows the kept versions of a team's contract. */
export async function contractHistory(context: CtlContext, team: string): Promise<CtlOutcome> {
  const read = await context.store.read(`${HISTORY_PREFIX}${team}`);
  if (!read.ok) {
    return unavailable(read.error);
  }
  const { versions } = parseHistory(read.value?.value);
  if (versions.length === 0) {
    return failure({ kind: 'notFound', what: `history of team ${team}` });
  }
  const newest = read.value?.modRevision ?? NO_REVISION;
  const rows = versions.map((version, place) => ({
    acceptedAt: new Date(version.acceptedAtEpochMs).toISOString(),
    change: changeOf(version, versions[place - 1]),
    operator: version.operator,
    revision: versions[place + 1]?.replacedRevision ?? newest,
    text: version.text,
  }));
  const head = ['REVISION', 'ACCEPTED', 'OPERATOR', 'CHANGE'];
  const cells = rows.map((row) => [String(row.revision), row.acceptedAt, row.operator, row.change]);
  return success({ json: rows, lines: formatTable(head, cells) });
}

interface ContractCommit {
  readonly expectedRevision: Revision;
  readonly team: string;
  readonly text: string;
}

async function commit(context: CtlContext, change: ContractCommit): Promise<CtlOutcome> {
  const { environment, settings, store } = context;
  const written = await writeConfig(
    { store, wait: (durationMs) => environment.wait(durationMs) },
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
  return written.ok ? answer(change.team, 'accepted', written.value) : written;
}

function answer(team: string, outcome: 'accepted' | 'unchanged', revision: Revision): CtlOutcome {
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

async function readTeam(context: CtlContext, team: string): Promise<Result<StoredValue, CtlError>> {
  const read = await context.store.read(`${CONTRACT_PREFIX}${team}`);
  if (!read.ok) {
    return unavailable(read.error);
  }
  const isThere = read.value && read.value.value !== TOMBSTONE_TEXT;
  return isThere
    ? success(read.value)
    : failure({ kind: 'notFound', what: `contract of team ${team}` });
}

/** A key that opens another team's contract would open neither. */
function keysTaken(
  file: string,
  contract: Contract,
  stored: readonly StoredValue[],
): DocumentProblem[] {
  const own = new Map(
    contract.keys.filter((key) => !key.revoked).map((key) => [key.sha256, key.id]),
  );
  const hashes = [...own.keys()];
  const mentions = stored.filter(({ value }) => hashes.some((hash) => value.includes(hash)));
  return mentions.flatMap(({ key, value }) => {
    const parsed = parseConfigDocument(key, value);
    const other = parsed.ok && parsed.value.kind === 'contract' ? parsed.value.contract : undefined;
    if (!other || other.team === contract.team) {
      return [];
    }
    return other.keys
      .filter(({ revoked, sha256 }) => !revoked && own.has(sha256))
      .map(({ sha256 }) => ({
        file,
        line: 0,
        message: `expected a key of its own, team ${other.team} has the same`,
        path: `keys.${own.get(sha256) ?? ''}`,
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

function rowOf({ key, modRevision, value }: StoredValue): ContractRow | undefined {
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

function changeOf(version: ContractVersion, before: ContractVersion | undefined): string {
  if (version.text === TOMBSTONE_TEXT) {
    return 'removed';
  }
  const changes = diffLines(before?.text ?? '', version.text);
  const added = changes.filter((line) => line.startsWith('+')).length;
  const removed = changes.filter((line) => line.startsWith('-')).length;
  return `+${added} -${removed} lines`;
}
