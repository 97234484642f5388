import test from 'ava';
import type { MoveOutcome } from '../../index.js';
import { runAfterStop } from '../../index.js';

const OUTCOMES: readonly (readonly [string, MoveOutcome])[] = [
  ['copied', { eventsMade: 7, handle: 'h', kind: 'copied' }],
  ['no room, kept', { handle: 'h', kind: 'noRoom' }],
  ['rejected', { kind: 'noRoom' }],
  ['in progress', { kind: 'inProgress' }],
  ['no such run', { kind: 'noSuchRun' }],
  ['answer lost', { kind: 'unreadable', reason: 'unknown: reset' }],
  ['not sent', { kind: 'notSent', reason: 'refused' }],
];

function tableOf(mayBeStopped: boolean): Readonly<Record<string, string>> {
  return Object.fromEntries(
    OUTCOMES.map(([name, outcome]) => [name, runAfterStop(outcome, mayBeStopped)]),
  );
}

test('a run counts as stopped when its engine names the memory that it keeps', (t) => {
  t.deepEqual(tableOf(false), {
    'answer lost': 'unknown',
    copied: 'stopped',
    'in progress': 'runsOn',
    'no room, kept': 'stopped',
    'no such run': 'ended',
    'not sent': 'runsOn',
    rejected: 'unknown',
  });
});

test('after an order without an outcome, a missing run need not have ended by itself', (t) => {
  t.deepEqual(tableOf(true), {
    'answer lost': 'unknown',
    copied: 'stopped',
    'in progress': 'unknown',
    'no room, kept': 'stopped',
    'no such run': 'unknown',
    'not sent': 'unknown',
    rejected: 'unknown',
  });
});
