import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import { ByteCollector } from '../../src/core/byteCollector.js';
import { MemoryBudget } from '../../src/core/memoryBudget.js';

test('collected bytes equal the chunks in order, and the chunks stay unchanged', () => {
  fc.assert(
    fc.property(fc.array(fc.uint8Array({ maxLength: 20 })), (chunks) => {
      const copies = chunks.map((chunk) => Buffer.from(chunk));
      const collector = new ByteCollector();
      chunks.forEach((chunk) => collector.append(chunk));
      expect(collector.getBytes().equals(Buffer.concat(copies))).toEqual(true);
      expect(collector.length).toEqual(Buffer.concat(copies).length);
      chunks.forEach((chunk, index) => expect(copies[index]!.equals(chunk)).toEqual(true));
    }),
    { seed: 35 },
  );
});

test('when the limit is exceeded the largest shares are given up, and the small ones stay', () => {
  const budget = new MemoryBudget({ limitBytes: 1_000 });
  const givenUp: string[] = [];
  const open = (name: string) => budget.open((used) => givenUp.push(`${name} at ${used}`));
  const [small, first, second] = [open('small'), open('first'), open('second')];
  small.add(10);
  first.add(500);
  second.add(490);
  expect(givenUp).toEqual([]);
  small.add(1);
  expect(givenUp).toEqual(['first at 1001']);
  first.add(10_000);
  expect(budget.getUsedBytes()).toEqual(501);
  second.close();
  second.close();
  expect([budget.getUsedBytes(), small.bytes]).toEqual([11, 11]);
});

test('the memory in use never exceeds the limit, whatever the order of the chunks', () => {
  const steps = fc.array(fc.tuple(fc.nat(9), fc.integer({ min: 1, max: 400 }), fc.boolean()));
  fc.assert(
    fc.property(steps, (chunks) => {
      const budget = new MemoryBudget({ limitBytes: 1_000 });
      const shares = Array.from({ length: 10 }, () => budget.open(() => {}));
      chunks.forEach(([index, bytes, isClosed]) => {
        shares[index]!.add(bytes);
        expect(budget.getUsedBytes()).toBeLessThanOrEqual(1_000);
        if (isClosed) {
          shares[index]!.close();
        }
      });
      shares.forEach((share) => share.close());
      expect(budget.getUsedBytes()).toEqual(0);
    }),
    { seed: 35 },
  );
});
