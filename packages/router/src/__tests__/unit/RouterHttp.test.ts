import type { DaemonStage } from '@laburnumgap/daemon';
import { startHttpServer } from '@laburnumgap/daemon';
import { NO_DECISION_SINK, createPluginRegistry, toNumberId } from '@laburnumgap/kernel';
import { NO_LOG, NO_METRICS } from '@laburnumgap/telemetry';
import test from 'ava';
import { request } from 'undici';
import { createRouterHttp } from '../../RouterHttp.js';
import type { RequestHandler } from '../../RouterRequestHandler.js';
import { SYSTEM_TIMERS } from '../../RouterTimers.js';

const CASES: readonly { readonly name: string; readonly stage: DaemonStage }[] = [
  { name: 'STARTING', stage: 'starting' },
  { name: 'KEY_REJECTED', stage: 'ready' },
];

for (const { name, stage } of CASES) {
  test(`an unknown key is refused as ${name} while the daemon is ${stage}`, async (t) => {
    const server = await startHttpServer({
      address: '127.0.0.1:0',
      handler: createRouterHttp({
        bodyTimeoutMs: 1_000,
        configuration: {
          contractOfKey: () => 'unknown',
          onChange: () => () => undefined,
          snapshot: () => ({ contracts: new Map(), revision: toNumberId(0), stops: [] }),
        },
        decisions: NO_DECISION_SINK,
        isDraining: () => false,
        handlers: createPluginRegistry<RequestHandler>(),
        log: NO_LOG,
        maxBodyBytes: 1_000,
        metrics: NO_METRICS,
        isStarting: () => stage === 'starting',
        timers: SYSTEM_TIMERS,
      }),
      stage: () => stage,
    });
    t.teardown(() => {
      server.destroy();
    });
    const response = await request(`http://${server.address}/v1/completions`, {
      headers: { authorization: 'Bearer some-key' },
      method: 'POST',
    });
    const body = (await response.body.json()) as { error: { name: string; run: string } };
    t.is(body.error.name, name);
    t.is(body.error.run, 'not_run');
  });
}
