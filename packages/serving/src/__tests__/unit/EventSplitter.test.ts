import test from 'ava';
import fc from 'fast-check';
import { EventSplitter } from '../../index.js';

const STREAM = 'id: 1\ndata: a\n\nid: 2\ndata: b\r\n\r\nweight-versions: 3\nid: 10\ndata: c\n\n';

test('whole events are passed on, a half one waits', (t) => {
  const splitter = new EventSplitter();
  const first = splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'));
  t.is(first?.bytes.toString(), 'id: 1\ndata: a\n\n');
  t.is(first?.lastEventId, '1');
  t.true(splitter.pendingBytes() > 0);
  const second = splitter.push(Buffer.from('ta: b\n\n'));
  t.is(second?.bytes.toString(), 'id: 2\ndata: b\n\n');
  t.is(second?.lastEventId, '2');
  t.is(splitter.pendingBytes(), 0);
});

test('a half event is forgotten on reset', (t) => {
  const splitter = new EventSplitter();
  splitter.push(Buffer.from('id: 1\nda'));
  splitter.discardPartialEvent();
  t.is(splitter.push(Buffer.from('id: 1\ndata: a\n\n'))?.bytes.toString(), 'id: 1\ndata: a\n\n');
});

test('any cut of a stream gives the same events', (t) => {
  fc.assert(
    fc.property(fc.array(fc.integer({ max: STREAM.length, min: 0 })), (cuts) => {
      const splitter = new EventSplitter();
      const ends = [...new Set(cuts), STREAM.length].sort((a, b) => a - b);
      let start = 0;
      let text = '';
      let count = 0;
      let lastEventId: string | undefined;
      for (const end of ends) {
        const whole = splitter.push(Buffer.from(STREAM.slice(start, end)));
        start = end;
        text += whole?.bytes.toString() ?? '';
        count += whole?.count ?? 0;
        lastEventId = whole?.lastEventId ?? lastEventId;
      }
      t.is(text, STREAM);
      t.is(count, 3);
      t.is(lastEventId, '10');
    }),
    { seed: 5 },
  );
});
