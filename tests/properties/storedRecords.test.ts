import { test } from 'node:test';
import { expect } from 'earl';
import fc from 'fast-check';
import {
  decodeHolderRecord,
  encodeHolderRecord,
  type HolderRecord,
} from '../../src/escrow/holderRecord.js';
import { STREAM_KEY_BYTES } from '../../src/gateway/streams/streamKey.js';
import { decodeStreamRecord, encodeStreamRecord } from '../../src/gateway/streams/streamRecord.js';
import { decodePattern, encodePattern } from '../../src/poison/patternRecord.js';

// Failure: a record is stored that no reader accepts, so what it says is forgotten at the next start.

const RUNS = { seed: 53, numRuns: 3_000 };
const { MAX_SAFE_INTEGER: MAX, MIN_SAFE_INTEGER: MIN, NaN: NONE, POSITIVE_INFINITY } = Number;

/** Mostly values within the bounds, and every value in `odd`. */
const mix = <Value>(usual: fc.Arbitrary<Value>, ...odd: readonly Value[]) =>
  fc.oneof({ arbitrary: usual, weight: 40 }, fc.constantFrom(...odd));
const shape = <Value>(model: { [Key in keyof Value]: fc.Arbitrary<Value[Key]> }) =>
  fc.record<Value>(model, { noNullPrototype: true });
const text = mix<string>(fc.string({ unit: 'grapheme' }), '\ud800', 'a\udfffb');
const isText = (value: string) => !/\p{Surrogate}/u.test(value);
const odd = [0, -1, 0.5, MAX, MIN, MAX + 1, MIN - 1, 1e300, NONE, POSITIVE_INFINITY];
const amount = mix(fc.maxSafeInteger(), ...odd);
const count = mix(fc.nat(), ...odd);
const isCount = (value: number) => Number.isFinite(value) && value >= 0;
const balance = shape({
  claimed: amount,
  activated: amount,
  settled: amount,
  lost: amount,
  shortfall: amount,
  total: amount,
  totalVersion: amount,
});
const account = shape({
  run: text,
  sequence: mix(fc.integer({ min: 1 }), ...odd),
  address: text,
  cores: count,
  generation: count,
  era: count,
  witnesses: fc.array(shape({ vm: text, run: text }), { maxLength: 5 }),
  balances: fc
    .dictionary(text, balance, { maxKeys: 4 })
    .map((rows) => new Map(Object.entries(rows))),
});

test('an account record is encoded exactly if its values are in their bounds, and is read as it was', () => {
  const outcomes = { stored: 0, refused: 0 };
  fc.assert(
    fc.property(account, (sample) => {
      const { run, sequence, address, cores, generation, era, witnesses, balances } = sample;
      const texts = [run, address, ...witnesses.flatMap(Object.values), ...balances.keys()];
      const amounts = [sequence, ...[...balances.values()].flatMap(Object.values)];
      const isValid =
        texts.every(isText) &&
        amounts.every(Number.isSafeInteger) &&
        sequence >= 1 &&
        [cores, generation, era].every(isCount);
      const encoded = encodeHolderRecord(sample as unknown as HolderRecord);
      expect(encoded.ok).toEqual(isValid);
      outcomes[encoded.ok ? 'stored' : 'refused'] += 1;
      if (encoded.ok) {
        expect<unknown>(decodeHolderRecord(encoded.val).unwrap()).toEqual(sample);
      }
    }),
    RUNS,
  );
  expect(Math.min(outcomes.stored, outcomes.refused)).toBeGreaterThan(RUNS.numRuns / 10);
});

test('a pattern is encoded exactly if it has features that are texts, and is read as it was', () => {
  fc.assert(
    fc.property(fc.array(text, { maxLength: 5 }), (unsorted) => {
      const features = unsorted.sort();
      const encoded = encodePattern({ features: features as never });
      expect(encoded.ok).toEqual(features.length > 0 && features.every(isText));
      if (encoded.ok) {
        expect<unknown>(decodePattern(encoded.val).unwrap()).toEqual({ features });
      }
    }),
    RUNS,
  );
});

const version = fc.option(fc.string({ unit: 'grapheme' }), { nil: undefined });
const keys = fc.uint8Array({ maxLength: 5 * STREAM_KEY_BYTES }).map((bytes) => Buffer.from(bytes));
const row = shape({ service: fc.string({ unit: 'grapheme' }), version, keys });
const storeEra = fc.oneof(fc.nat(), fc.constantFrom(-1, 0.5, 2 ** 53 - 1, 2 ** 53, Infinity));

test('a record of streams is encoded exactly if its keys are whole and its era is, and is read as it was', () => {
  fc.assert(
    fc.property(storeEra, fc.array(row, { maxLength: 3 }), (era, rows) => {
      const record = { era, rows };
      const areKeysWhole = rows.every((item) => item.keys.length % STREAM_KEY_BYTES === 0);
      if (areKeysWhole && era >= 0 && Number.isSafeInteger(era)) {
        const encoded = encodeStreamRecord(record as never);
        expect<unknown>(decodeStreamRecord(encoded).unwrap()).toEqual(record);
      } else {
        expect(() => encodeStreamRecord(record as never)).toThrow();
      }
    }),
    RUNS,
  );
});
