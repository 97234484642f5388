import test from 'ava';
import { GrowableBuffer } from '../../index.js';

test('bytes come back in their order, and a new buffer begins', (t) => {
  const buffer = new GrowableBuffer();
  for (let index = 0; index < 5_000; index += 1) {
    buffer.append(Buffer.from([index % 251]));
  }
  t.is(buffer.length, 5_000);
  t.deepEqual([...buffer.tail(2)], [4_998 % 251, 4_999 % 251]);
  const bytes = buffer.take();
  buffer.append(Buffer.from('x'));
  t.true(bytes.every((byte, index) => byte === index % 251));
  t.is(buffer.take().toString(), 'x');
});

test('pieces of one byte take little memory', (t) => {
  const allocated: number[] = [];
  const allocUnsafe = Buffer.allocUnsafe.bind(Buffer);
  Buffer.allocUnsafe = (size) => {
    allocated.push(size);
    return allocUnsafe(size);
  };
  const buffer = new GrowableBuffer();
  const piece = Buffer.from('x');
  for (let index = 0; index < 262_144; index += 1) {
    buffer.append(piece);
  }
  Buffer.allocUnsafe = allocUnsafe;
  t.true(allocated.reduce((sum, size) => sum + size, 0) <= 4 * 262_144);
});
