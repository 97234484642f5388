import test from 'ava';
import { ResumePosition } from '../../index.js';

const CASES: [
  title: string,
  mayRestart: boolean,
  callerEventId: string | undefined,
  forwardedEventIds: (string | undefined)[],
  restartAfter: string | undefined,
  continueAfter: string,
][] = [
  ['nothing was received', true, undefined, [], undefined, '0'],
  ['the caller resumes', true, '7', [], '7', '7'],
  ['the caller resumes at event 0', true, '0', [], '0', '0'],
  ['the daemon resumes', true, undefined, ['1', '2'], '2', '2'],
  ['the caller resumes, then the daemon', true, '7', ['8', '9'], '9', '9'],
  ['events without ids', true, '7', [undefined], '7', '7'],
  ['a route without resuming ignores the caller', false, '7', [], undefined, '0'],
  ['a route without resuming continues a moved run', false, '7', ['1', '2'], '2', '2'],
];

for (const [title, mayRestart, callerEventId, forwarded, restartAfter, continueAfter] of CASES) {
  test(`resume position: ${title}`, (t) => {
    const position = new ResumePosition(mayRestart, callerEventId);
    forwarded.forEach((eventId) => {
      position.advance(eventId);
    });
    t.is(position.restartAfter(), restartAfter);
    t.is(position.continueAfter(), continueAfter);
  });
}
