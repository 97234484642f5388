import type { BackendServer } from '@laburnumgap/dispatch';
import type { ServerId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import { EngineReports } from '../../servers/EngineReports.js';

test('no report is requested from an engine that is evacuated', async (t) => {
  let isEvacuated = true;
  let sentCount = 0;
  const reports = new EngineReports({
    engineControl: {
      send: () => {
        sentCount += 1;
        return Promise.resolve({ kind: 'notSent', reason: 'test' });
      },
    },
    log: { info: () => undefined, warn: () => undefined },
    onLeaving: () => undefined,
    protocol: {
      parseReport: () => {
        throw new Error('no response in this test');
      },
      reportRequest: () => ({ body: '', headers: [], method: 'GET', path: '/status' }),
    },
    serverAccess: { avoidsEvacuated: () => isEvacuated },
  });
  const engine = { serverId: toId<ServerId>('e1') } as BackendServer;
  await reports.requestReport(engine);
  t.is(sentCount, 0);
  isEvacuated = false;
  await reports.requestReport(engine);
  t.is(sentCount, 1);
});
