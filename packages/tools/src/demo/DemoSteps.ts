import { randomUUID } from 'node:crypto';
import { mkdtemp, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { TokenSource } from '@laburnumgap/standins';
import { tokenText } from '@laburnumgap/standins';
import { v7 } from 'uuid';
import type { Deployment } from '../deployment/Deployment.js';
import type { StreamAnswer } from '../deployment/DeploymentCaller.js';
import { callService, streamCompletion } from '../deployment/DeploymentCaller.js';
import type { RunCtl } from '../deployment/DeploymentCtl.js';
import { exampleKey } from '../faults/FaultsFirms.js';
import type { DemoReport } from './DemoReport.js';

/** Dependencies of the demo's steps. */
export interface DemoContext {
  readonly ctl: RunCtl;
  readonly deployment: Deployment;
  readonly report: DemoReport;
}

const MODEL = 'report-writer';
const PROMPT = 'Reconcile the shelf counts of district seven.';
const KILL_AFTER_TOKENS = 40;
/** These two seeds produce long answers. */
const KILLED_ENGINE_SEED = 10;
const LONG_ANSWER_SEED = 7;
const MAX_TOKENS = 400;

/** Streams a long answer and checks every token. */
export async function streamAnswer(context: DemoContext): Promise<void> {
  context.report.step('A long answer, streamed');
  const source: TokenSource = { model: MODEL, prompt: PROMPT, seed: LONG_ANSWER_SEED };
  const answer = await stream(context, source);
  checkAnswer(context, source, answer);
}

/** Sends an at-most-once call twice, through two routers, with the same idempotency key. */
export async function callTwice({ deployment, report }: DemoContext): Promise<void> {
  report.step('A stock transfer, sent twice with one Idempotency-Key');
  const idempotencyKey = v7();
  const routers = deployment.routers();
  const send = (index: number) =>
    callService({
      apiKey: exampleKey('hoa-sen', 'transfers'),
      body: JSON.stringify({ crates: 12, from: 'depot', to: 'shop-17' }),
      idempotencyKey,
      method: 'POST',
      path: '/v1/transfers',
      router: routers[index % routers.length]?.address ?? '',
      service: 'stock',
    });
  const first = await send(0);
  const second = await send(1);
  const effects = await countEffects(deployment, idempotencyKey);
  report.check('both calls are answered', isAnswered(first) && isAnswered(second), 'status 200');
  report.check('the transfer has one effect', effects === 1, `${effects} effect`);
}

/** Kills the engine that serves a stream before the answer is complete. */
export async function killEngine(context: DemoContext): Promise<void> {
  const { deployment, report } = context;
  report.step('An engine is killed in the middle of an answer');
  const source: TokenSource = { model: MODEL, prompt: PROMPT, seed: KILLED_ENGINE_SEED };
  const requestId = randomUUID();
  let killed = '';
  const answer = await stream(context, source, requestId, (index) => {
    if (index === KILL_AFTER_TOKENS) {
      killed = engineOf(deployment, requestId);
      deployment.standins.get(killed)?.kill('SIGKILL');
    }
  });
  report.check('the engine was killed', killed !== '', killed);
  checkAnswer(context, source, answer);
}

/** Changes a contract with laburnumctl and waits until every daemon has applied the revision. */
export async function changeContract({ ctl, deployment, report }: DemoContext): Promise<void> {
  report.step('A contract is changed');
  const contract = deployment.options.contracts.find((text) => text.includes('team: lookups'));
  const folder = await mkdtemp(join(tmpdir(), 'laburnum-demo-'));
  const file = join(folder, 'lookups.yaml');
  await writeFile(
    file,
    (contract ?? '').replace(/requestsPerSecond: \d+/, 'requestsPerSecond: 75'),
  );
  const applied = await ctl('contract', 'apply', file);
  report.check('the change is accepted', applied.code === 0, applied.output.trim());
  const status = await waitUntilInForce(ctl, deployment);
  report.check('it is in force at every daemon', status.passed, status.observed);
}

async function waitUntilInForce(
  ctl: RunCtl,
  deployment: Deployment,
): Promise<{ readonly passed: boolean; readonly observed: string }> {
  const key = '/laburnum/config/contracts/lookups';
  const stored = await deployment.store.read(key);
  const revision = stored.ok ? (stored.value?.modRevision ?? 0) : 0;
  await Promise.all(
    [...deployment.daemons.values()].map((daemon) =>
      daemon.waitForLogLine((line) => line.key === key && Number(line.revision) === revision),
    ),
  );
  const status = await ctl('status');
  return {
    passed: status.code === 0,
    observed: `revision ${revision} at ${deployment.daemons.size} daemons`,
  };
}

function stream(
  { deployment }: DemoContext,
  source: TokenSource,
  requestId: string = randomUUID(),
  onIndex: (index: number) => void = () => undefined,
): Promise<StreamAnswer> {
  return streamCompletion({
    apiKey: exampleKey('hoa-sen', 'reports'),
    maxTokens: MAX_TOKENS,
    model: source.model,
    onToken: ({ index }) => {
      onIndex(index);
    },
    prompt: source.prompt,
    requestId,
    router: deployment.routers()[0]?.address ?? '',
    seed: source.seed,
  });
}

function checkAnswer({ report }: DemoContext, source: TokenSource, answer: StreamAnswer): void {
  const { end, tokens } = answer;
  const inOrder = tokens.every(
    ({ index, text }, position) => index === position && text === tokenText(source, position),
  );
  report.check('the answer is whole', end.kind === 'done', `${tokens.length} tokens, ${end.kind}`);
  report.check('each token came once, in order, from one generation', inOrder, MODEL);
}

function engineOf(deployment: Deployment, requestId: string): string {
  const [line] = deployment.findLogLines(
    ({ decision, event, requestId: id }) =>
      event === 'decision' && decision === 'route' && id === requestId,
  );
  return line?.engineId ?? '';
}

function isAnswered(answer: Awaited<ReturnType<typeof callService>>): boolean {
  return answer.kind === 'answered' && answer.status === 200;
}

async function countEffects(deployment: Deployment, key: string): Promise<number> {
  const counts = await Promise.all(
    deployment.options.services.map(async ({ name }) => {
      const effects = (await deployment.read(name, '/control/effects')) as {
        byKey: Record<string, number>;
      };
      return effects.byKey[key] ?? 0;
    }),
  );
  return counts.reduce((sum, count) => sum + count, 0);
}
