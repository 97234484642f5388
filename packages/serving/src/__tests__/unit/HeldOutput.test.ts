import test from 'ava';
import fc from 'fast-check';
import type { ServingLogValue } from '../../index.js';
import {
  CountedResponse,
  HeldOutput,
  NO_SERVING_METRICS,
  openReaderBuffers,
  ReaderBuffers,
  SLAB_BYTES,
} from '../../index.js';

const MB = 1_048_576;
const MEMORY_BYTES = 178 * MB;
const CHUNK_BYTES = 65_536;

/** A reader that takes what is written only when it is told to. */
class FakeReader {
  hasEnded = false;
  pausedCount = 0;
  readonly received: Buffer[] = [];
  resumedCount = 0;
  wasAborted = false;
  private readonly written: { readonly chunk: Buffer; readonly onWritten: () => void }[] = [];

  readonly sink = {
    end: () => {
      this.hasEnded = true;
    },
    write: (chunk: Buffer, onWritten: () => void) => {
      this.written.push({ chunk, onWritten });
    },
  };

  readonly source = {
    pause: () => {
      this.pausedCount += 1;
    },
    resume: () => {
      this.resumedCount += 1;
    },
  };

  /** Takes the oldest write; false if there is none. */
  take(): boolean {
    const first = this.written.shift();
    if (!first) {
      return false;
    }
    this.received.push(Buffer.from(first.chunk));
    first.onWritten();
    return true;
  }

  takeAll(): void {
    while (this.take());
  }

  bytes(): Buffer {
    return Buffer.concat(this.received);
  }
}

interface LogLine {
  readonly event: string;
  readonly fields: Readonly<Record<string, ServingLogValue>> | undefined;
}

function fixture(memoryBytes = MEMORY_BYTES) {
  const lines: LogLine[] = [];
  const time = { nowMs: 0 };
  const log = (event: string, fields?: LogLine['fields']) => {
    lines.push({ event, fields });
  };
  const counts: string[] = [];
  const buffers: ReaderBuffers = new ReaderBuffers({
    clock: { nowMs: () => time.nowMs },
    log: { info: log, warn: log },
    memoryBytes,
    metrics: {
      ...NO_SERVING_METRICS,
      increment: (name) => {
        counts.push(name);
      },
    },
    residentBytes: () => 65 * MB + buffers.pool.allocatedBytes(),
  });
  const open = (label: string, kind: 'caller' | 'request' = 'caller') => {
    const reader = new FakeReader();
    const output = new HeldOutput({
      buffers,
      kind,
      label: () => label,
      onOverdue: () => {
        reader.wasAborted = true;
        output.close();
      },
      sink: reader.sink,
    });
    return { output, reader };
  };
  return { buffers, counts, lines, open, time };
}

/** Lets the reviews run that were scheduled. */
function review(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

test('a reader gets all bytes in their order, however they arrive and are taken', (t) => {
  const step = fc.record({ bytes: fc.integer({ max: 200_000, min: 0 }), takes: fc.nat(3) });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 30 }), (steps) => {
      const { buffers, open } = fixture();
      const { output, reader } = open('r1');
      const sent: Buffer[] = [];
      steps.forEach(({ bytes, takes }, index) => {
        const chunk = Buffer.alloc(bytes, index + 1);
        sent.push(Buffer.from(chunk));
        output.write(chunk, reader.source);
        if (bytes > CHUNK_BYTES) {
          // What was copied must not change with the buffer that it came from.
          chunk.fill(0);
        }
        for (let count = 0; count < takes; count += 1) {
          reader.take();
        }
      });
      output.end();
      reader.takeAll();
      return (
        reader.hasEnded &&
        reader.bytes().equals(Buffer.concat(sent)) &&
        buffers.pool.usedBytes() === 0 &&
        buffers.summary().heldBytes === 0
      );
    }),
    { numRuns: 100, seed: 1 },
  );
  t.pass();
});

test('the end waits for the last byte, and the source is free again at once', (t) => {
  const { open, time } = fixture();
  const { output, reader } = open('r1');
  while (reader.pausedCount === 0) {
    output.write(Buffer.alloc(CHUNK_BYTES), reader.source);
  }
  output.end();
  t.is(reader.resumedCount, 1, 'the connection can carry the next request');
  t.false(reader.hasEnded);
  time.nowMs = 60_000;
  reader.takeAll();
  t.true(reader.hasEnded);
});

test('a reader that disconnects frees its memory at once, for others to use', (t) => {
  const { buffers, open } = fixture();
  const first = open('r1');
  first.output.write(Buffer.alloc(4 * MB), first.reader.source);
  const allocatedBytes = buffers.pool.allocatedBytes();
  t.is(buffers.summary().readers, 1);
  first.output.close();
  t.like(buffers.summary(), { heldBytes: 0, readers: 0, usedBytes: 0 });
  const second = open('r2');
  second.output.write(Buffer.alloc(4 * MB), second.reader.source);
  t.is(buffers.pool.allocatedBytes(), allocatedBytes, 'the same memory is used again');
  first.reader.takeAll();
  t.is(buffers.summary().readers, 1, 'writes that end late count nothing');
});

test('sources are paused while room is used up, and resumed when a reader takes bytes', async (t) => {
  const { buffers, open, time } = fixture();
  const { output, reader } = open('r1');
  while (reader.pausedCount === 0) {
    output.write(Buffer.alloc(CHUNK_BYTES), reader.source);
  }
  buffers.onTick();
  t.is(reader.resumedCount, 0, 'it has grown enough in this period');
  time.nowMs = 100;
  buffers.onTick();
  t.is(reader.resumedCount, 1);
  output.write(Buffer.alloc(MEMORY_BYTES / 4), reader.source);
  time.nowMs = 200;
  output.write(Buffer.alloc(MEMORY_BYTES / 5), reader.source);
  time.nowMs = 300;
  buffers.onTick();
  t.is(reader.resumedCount, 1, 'there is no room');
  reader.takeAll();
  await review();
  t.is(reader.resumedCount, 2);
});

test('bytes beyond the bound abort the longest stalled reader, with one log line', async (t) => {
  const { buffers, counts, lines, open, time } = fixture();
  const older = open('older');
  older.output.write(Buffer.alloc(40 * MB), older.reader.source);
  time.nowMs = 50;
  const newer = open('newer');
  newer.output.write(Buffer.alloc(30 * MB), newer.reader.source);
  time.nowMs = 70;
  const slowServer = open('s1', 'request');
  slowServer.output.writeShared(Buffer.alloc(22 * MB));
  await review();
  t.deepEqual(
    [older, newer, slowServer].map(({ reader }) => reader.wasAborted),
    [true, false, false],
  );
  const aborted = lines.filter(({ event }) => event === 'slow-reader-aborted');
  t.is(aborted.length, 1);
  t.like(aborted[0]?.fields, { kind: 'caller', label: 'older', reason: 'bound', stalledMs: 70 });
  t.deepEqual(
    counts.filter((name) => name === 'slow_readers_aborted'),
    ['slow_readers_aborted'],
  );
  t.true(buffers.summary().heldBytes <= buffers.summary().boundBytes);
});

test('a body that a slow server does not take is counted, and seen to be taken in parts', (t) => {
  const { buffers, open } = fixture();
  const { output, reader } = open('s1', 'request');
  output.writeShared(Buffer.alloc(4 * MB));
  t.is(buffers.summary().heldBytes, 4 * MB);
  t.is(buffers.pool.allocatedBytes(), 0, 'the body is not copied');
  reader.take();
  t.is(buffers.summary().heldBytes, 4 * MB - CHUNK_BYTES);
  reader.takeAll();
  t.false(output.hasPending());
  t.is(buffers.summary().heldBytes, 0);
});

test('small events of many streams that nobody reads are counted, and share slabs', (t) => {
  const { buffers, open } = fixture();
  const event = Buffer.alloc(200);
  for (let stream = 0; stream < 100; stream += 1) {
    const { output, reader } = open(`stream-${stream}`);
    for (let count = 0; count < 400; count += 1) {
      output.write(event, reader.source);
    }
  }
  const { heldBytes } = buffers.summary();
  t.true(heldBytes >= 100 * 400 * 200);
  t.true(heldBytes <= 100 * (400 * 200 + 2 * SLAB_BYTES));
});

test('a stream whose caller reads slowly but steadily goes on while a stalled one is aborted', async (t) => {
  const { buffers, open, time } = fixture();
  const stalled = open('stalled');
  const steady = open('steady');
  stalled.output.write(Buffer.alloc(50 * MB), stalled.reader.source);
  for (time.nowMs = 0; time.nowMs <= 20_000; time.nowMs += 500) {
    // One slab in half a second is taken, and more arrives while the source is not paused.
    if (steady.reader.pausedCount === steady.reader.resumedCount) {
      steady.output.write(Buffer.alloc(4 * MB), steady.reader.source);
    }
    steady.reader.take();
    buffers.onTick();
    await review();
  }
  t.true(stalled.reader.wasAborted);
  t.false(steady.reader.wasAborted);
});

test('a collected response is counted, moved on without a copy, and freed when it is dropped', (t) => {
  const { buffers, open } = fixture();
  const bytes = Buffer.alloc(100_000, 7);
  const moved = new CountedResponse(buffers, () => 'r1');
  moved.append(bytes);
  const { heldBytes } = buffers.summary();
  t.true(heldBytes >= bytes.length);
  const { output, reader } = open('r1');
  moved.moveTo(output);
  t.is(buffers.summary().heldBytes, heldBytes);
  reader.takeAll();
  t.true(reader.bytes().equals(bytes));
  const taken = new CountedResponse(buffers, () => 'r2');
  taken.append(bytes);
  t.true(taken.take().equals(bytes));
  const dropped = new CountedResponse(buffers, () => 'r3');
  dropped.append(bytes);
  dropped.discard();
  dropped.append(bytes);
  t.is(buffers.summary().heldBytes, 0);
  t.is(buffers.pool.usedBytes(), 0);
});

test('memory that is not used for a while is given back', (t) => {
  const { buffers, open } = fixture();
  const { output, reader } = open('r1');
  output.write(Buffer.alloc(4 * MB), reader.source);
  reader.takeAll();
  t.true(buffers.pool.allocatedBytes() >= 4 * MB);
  for (let count = 0; count < 100; count += 1) {
    buffers.onTick();
  }
  t.is(buffers.pool.allocatedBytes(), 0);
});

test('buffers are used only where slow readers are expected and the memory is known', (t) => {
  const options = {
    clock: { nowMs: () => 0 },
    log: { info: () => undefined, warn: () => undefined },
    metrics: NO_SERVING_METRICS,
  };
  t.is(openReaderBuffers({}, options), undefined);
  t.is(openReaderBuffers({ expectsSlowReaders: true }, options), undefined);
  t.is(openReaderBuffers({ memoryBytes: MEMORY_BYTES }, options), undefined);
  const settings = { expectsSlowReaders: true, memoryBytes: MEMORY_BYTES };
  t.true(openReaderBuffers(settings, options) instanceof ReaderBuffers);
});
