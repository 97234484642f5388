import type { PlannedStop } from '@laburnumgap/contracts';
import type { Revision } from '@laburnumgap/kernel';
import { failure, toNumberId } from '@laburnumgap/kernel';
import { DEFAULT_STOP_MS } from './CtlConstants.js';
import type { CtlContext, CtlOutcome } from './CtlContext.js';
import {
  applyContract,
  contractHistory,
  diffContract,
  getContract,
  listContracts,
  removeContract,
} from './CtlContracts.js';
import { explainRequest, showStatus } from './CtlInspect.js';
import { cancelStop, listStops, planStop } from './CtlStops.js';
import { parseTime, targetOfOptions } from './CtlStopOptions.js';
import { textOf } from './CtlUtils.js';

/** Options as the command line gives them. */
export type CtlOptions = Readonly<Record<string, unknown>>;

/** A command that works on the platform's service or asks the daemons. */
export interface Command {
  /** Name of the argument that the command needs. */
  readonly argument?: string;
  readonly description: string;
  readonly name: string;
  /** Options besides the common ones, with what they mean. */
  readonly options?: Readonly<Record<string, string>>;
  run(context: CtlContext, argument: string, options: CtlOptions): Promise<CtlOutcome>;
}

const EXPECT_REVISION = { 'expect-revision': 'Revision that is to be replaced' };

/** The commands that need settings, by name. */
export const STORE_COMMANDS: readonly Command[] = [
  {
    argument: 'file',
    description: 'Check a contract and put it in force',
    name: 'contract apply',
    options: EXPECT_REVISION,
    run: withRevision(applyContract),
  },
  {
    argument: 'file',
    description: 'Compare a contract file with what is in force',
    name: 'contract diff',
    run: diffContract,
  },
  {
    argument: 'team',
    description: "Show a team's contract",
    name: 'contract get',
    run: getContract,
  },
  {
    argument: 'team',
    description: "Show the kept versions of a team's contract",
    name: 'contract history',
    run: contractHistory,
  },
  { description: 'List all contracts', name: 'contract list', run: listContracts },
  {
    argument: 'team',
    description: "Take a team's contract out of force",
    name: 'contract remove',
    options: EXPECT_REVISION,
    run: withRevision(removeContract),
  },
  {
    argument: 'request-id',
    description: 'Show why a request was routed, held or refused',
    name: 'explain',
    run: explainRequest,
  },
  { description: 'Show what is in force at each daemon', name: 'status', run: showStatus },
  { argument: 'id', description: 'Cancel a planned stop', name: 'stop cancel', run: cancelStop },
  { description: 'List the planned stops', name: 'stop list', run: listStops },
  {
    description: 'Plan a stop of a back end, an entry VM or a failure domain',
    name: 'stop plan',
    options: {
      deadline: 'By when it must have ended: a time, or +MINUTESm; 30 minutes after its start',
      'entry-vm': 'Entry VM that is to stop',
      'failure-domain': 'Failure domain that is to stop',
      id: 'Id of the stop; one is made up',
      reason: 'Reason, for people',
      server: 'Back end that is to stop',
      start: 'When it starts: a time, or +MINUTESm; now',
    },
    run: runPlanStop,
  },
];

function withRevision(
  run: (context: CtlContext, argument: string, expected?: Revision) => Promise<CtlOutcome>,
): Command['run'] {
  return (context, argument, options) => {
    const given = options['expect-revision'];
    if (given === undefined) {
      return run(context, argument);
    }
    const revision = /^\d+$/.test(textOf(given)) ? Number(given) : Number.NaN;
    if (!Number.isSafeInteger(revision)) {
      const detail = '--expect-revision: expected a whole number, 0 for a new contract';
      return Promise.resolve(failure({ detail, kind: 'usage' }));
    }
    return run(context, argument, toNumberId<Revision>(revision));
  };
}

function runPlanStop(
  context: CtlContext,
  _argument: string,
  options: CtlOptions,
): Promise<CtlOutcome> {
  const { environment } = context;
  const target = targetOfOptions(options);
  const startEpochMs = parseTime(options.start ?? '+0m', environment.nowEpochMs());
  if (target === undefined || startEpochMs === undefined) {
    const detail =
      target === undefined
        ? 'expected one of --server, --entry-vm and --failure-domain'
        : '--start: expected a time such as 2026-12-03T22:00:00Z, or +10m';
    return Promise.resolve(failure({ detail, kind: 'usage' }));
  }
  const deadlineEpochMs =
    options.deadline === undefined
      ? startEpochMs + DEFAULT_STOP_MS
      : parseTime(options.deadline, startEpochMs);
  if (deadlineEpochMs === undefined) {
    const detail = '--deadline: expected a time such as 2026-12-03T22:00:00Z, or +30m';
    return Promise.resolve(failure({ detail, kind: 'usage' }));
  }
  const stop: PlannedStop = {
    deadlineEpochMs,
    id: options.id === undefined ? `stop-${environment.newId()}` : textOf(options.id),
    reason: options.reason === undefined ? '' : textOf(options.reason),
    startEpochMs,
    target,
  };
  return planStop(context, stop);
}
