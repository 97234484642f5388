import type { EngineStream } from '@laburnumgap/engine';
import { GapEstimator } from '@laburnumgap/generation';
import type { EngineStreamEvent, GenerationId } from '@laburnumgap/kernel';
import { toId, toNumberId } from '@laburnumgap/kernel';
import test from 'ava';
import { RouterStreamReader } from '../../RouterStreamReader.js';
import { FakeTimers, settleMicrotasks } from '../utils/FakeTimers.js';

function tokenAt(index: number): EngineStreamEvent {
  const generationId = toId<GenerationId>('g-1');
  return { kind: 'token', token: { attempt: toNumberId(1), generationId, index, text: 't' } };
}

/** A stream whose events the test sends. */
class ManualStream implements EngineStream {
  readCount = 0;
  private readonly events: EngineStreamEvent[] = [];
  private waiting: ((event: EngineStreamEvent) => void) | undefined;

  close(): void {
    this.waiting?.({ detail: 'closed', kind: 'lost', reason: 'reset' });
  }

  next(): Promise<EngineStreamEvent> {
    this.readCount += 1;
    return new Promise((resolve) => {
      const event = this.events.shift();
      if (event) {
        resolve(event);
        return;
      }
      this.waiting = resolve;
    });
  }

  send(event: EngineStreamEvent): void {
    const { waiting } = this;
    this.waiting = undefined;
    if (waiting) {
      waiting(event);
      return;
    }
    this.events.push(event);
  }
}

interface ReaderSetup {
  readonly reader: RouterStreamReader;
  readonly stream: ManualStream;
  readonly timers: FakeTimers;
}

function createReader(): ReaderSetup {
  const timers = new FakeTimers();
  const stream = new ManualStream();
  const gaps = { betweenTokens: new GapEstimator(), firstToken: new GapEstimator() };
  return {
    reader: new RouterStreamReader({ clock: timers, gapEstimators: gaps, stream, timers }),
    stream,
    timers,
  };
}

test('silence is reported repeatedly, with a timeout that doubles up to the limit', async (t) => {
  const { reader, stream, timers } = createReader();
  const suspectedAtMs: number[] = [];
  for (let suspicion = 0; suspicion < 6; suspicion += 1) {
    t.deepEqual(await timers.runUntil(reader.next()), { kind: 'silent' });
    suspectedAtMs.push(timers.nowMs());
  }
  t.deepEqual(suspectedAtMs, [2_000, 6_000, 14_000, 24_000, 34_000, 44_000]);
  t.is(stream.readCount, 1, 'the pending read is kept');
});

test('an event that arrives between reads is kept, and time between reads is not silence', async (t) => {
  const { reader, stream, timers } = createReader();
  t.deepEqual(await timers.runUntil(reader.next()), { kind: 'silent' });
  stream.send(tokenAt(0));
  await settleMicrotasks();
  t.true(reader.hasBufferedEvent());
  timers.passTime(60_000);
  t.deepEqual(await reader.next(), tokenAt(0));
  t.false(reader.hasBufferedEvent());
});

test('an interrupted read loses nothing', async (t) => {
  const { reader, stream } = createReader();
  const waiting = reader.next();
  reader.interrupt();
  t.deepEqual(await waiting, { kind: 'interrupted' });
  stream.send(tokenAt(0));
  t.deepEqual(await reader.next(), tokenAt(0));
});
