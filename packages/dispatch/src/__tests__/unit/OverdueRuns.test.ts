import type { FailureDomainId, ServerId, ServiceId } from '@laburnumgap/kernel';
import { toId } from '@laburnumgap/kernel';
import test from 'ava';
import type { BackendServer, EngineShare } from '../../index.js';
import { EngineLoad, isFirstEventOverdue, rankEngines, unreadPromptTokens } from '../../index.js';

const ENGINE = {
  bytesPerToken: 1,
  canCopy: false,
  canMove: false,
  linkMbps: 1_000,
  memoryTokens: 27_000,
  slots: 24,
  tokensPerEvent: 4,
};
const ENGINES = ['e1', 'e2', 'e3', 'e4'];
const PROMPT = { maxOutputTokens: 800, model: 'm', parts: [], promptTokens: 3_000 };
const HANG_MS = 5_800;
const USUAL_INTERVAL_MS = 200;
/** A burst begins after the engine has fallen silent. */
const BURST_INTERVAL_MS = 70;
const BURST_FROM_MS = 2_500;
const RUN_MS = 2_500;
/** Time in which an engine prefills a prompt beside others. */
const PREFILL_MS = 900;
const SILENT_ENGINE = 'e1';

interface Run {
  readonly engine: string;
  readonly sentMs: number;
}

function serverOf(id: string): BackendServer {
  return {
    failureDomain: toId<FailureDomainId>('a'),
    host: '10.0.0.1',
    leaving: false,
    port: 1,
    serverId: toId<ServerId>(id),
    service: toId<ServiceId>('engines'),
    slots: 24,
    startedEpochMs: 0,
  };
}

function shareOf({ engine, sentMs }: Run, nowMs: number): EngineShare {
  const sinceSentMs = nowMs - sentMs;
  const hasEvent = engine !== SILENT_ENGINE && sinceSentMs >= PREFILL_MS;
  const isOverdue = isFirstEventOverdue({ hasEvent, sinceSentMs });
  return {
    ...(isOverdue && { overdueRuns: 1 }),
    plannedTokens: 3_200,
    readingTokens: hasEvent ? 0 : unreadPromptTokens(3_000, sinceSentMs),
    runs: 1,
    serverId: toId<ServerId>(engine),
    usedTokens: 3_000,
  };
}

function intervalMs(nowMs: number): number {
  return nowMs < BURST_FROM_MS ? USUAL_INTERVAL_MS : BURST_INTERVAL_MS;
}

/** Sends a stream every so often while one engine accepts requests and produces nothing. */
function sentToSilentEngine(avoidsOverdue: boolean): number {
  let runs: Run[] = [];
  let sent = 0;
  for (let nowMs = 0; nowMs < HANG_MS; nowMs += intervalMs(nowMs)) {
    runs = runs.filter(({ engine, sentMs }) => engine === SILENT_ENGINE || nowMs - sentMs < RUN_MS);
    const load = new EngineLoad();
    const shares = new Map<string, EngineShare[]>();
    for (const run of runs) {
      shares.set(run.engine, [...(shares.get(run.engine) ?? []), shareOf(run, nowMs)]);
    }
    load.setOwnShares(
      [...shares.values()].map((list) =>
        list.reduce((sum, share) => ({
          ...sum,
          overdueRuns: (sum.overdueRuns ?? 0) + (share.overdueRuns ?? 0),
          plannedTokens: sum.plannedTokens + share.plannedTokens,
          readingTokens: sum.readingTokens + share.readingTokens,
          runs: sum.runs + share.runs,
          usedTokens: sum.usedTokens + share.usedTokens,
        })),
      ),
    );
    const [best] = rankEngines({
      avoidsOverdue,
      candidates: ENGINES.map((id) => ({
        cachedTokens: 0,
        failureShare: 0,
        server: serverOf(id),
        totals: load.totals(toId<ServerId>(id), nowMs),
      })),
      engine: ENGINE,
      failureDomain: toId<FailureDomainId>('a'),
      prompt: PROMPT,
      randomUnit: () => 0,
    });
    const engine = best?.server.serverId ?? '';
    sent += engine === SILENT_ENGINE ? 1 : 0;
    runs.push({ engine, sentMs: nowMs });
  }
  return sent;
}

test('an engine that accepts requests and starts none gets no more once a first event is overdue', (t) => {
  const sent = sentToSilentEngine(true);
  const baseline = sentToSilentEngine(false);
  t.log(`sent to the silent engine: ${sent}, as before: ${baseline}`);
  t.true(sent < baseline);
});

test('a first event is overdue from when callers may give up, and no evidence later', (t) => {
  t.false(isFirstEventOverdue({ hasEvent: false, sinceSentMs: 1_999 }));
  t.true(isFirstEventOverdue({ hasEvent: false, sinceSentMs: 2_000 }));
  t.false(isFirstEventOverdue({ hasEvent: true, sinceSentMs: 2_000 }));
  t.false(isFirstEventOverdue({ hasEvent: false, sinceSentMs: 6_000 }));
});

test('overdue runs of other daemons count until their report is replaced', (t) => {
  const load = new EngineLoad();
  const share = shareOf({ engine: SILENT_ENGINE, sentMs: 0 }, 2_500);
  load.recordMemberReport(toId('m2'), [share], 2_500);
  t.is(load.totals(toId<ServerId>(SILENT_ENGINE), 2_600).overdueRuns, 1);
  load.recordMemberReport(toId('m2'), [], 3_000);
  t.is(load.totals(toId<ServerId>(SILENT_ENGINE), 3_000).overdueRuns, undefined);
});
