import { test } from 'node:test';
import { expect } from 'earl';
import {
  assessFeatures,
  type Assessment,
  type CrashContext,
  type CrashEvidence,
} from '../../src/poison/assessFeatures.js';
import { brandId } from '../../src/types/ids.js';
import type { AnswerCounts, Feature, PoisonPattern } from '../../src/types/poison.js';

const HEALTHY: AnswerCounts = { recent: 300, usual: 300 };
const STARVED: AnswerCounts = { recent: 10, usual: 300 };
const SECOND_MS = 1_000;

let callCount = 0;

/** Returns a crashed call with the given parts; without a name it is like no other call. */
function createCall(
  second: number,
  parts: readonly string[],
  fields: { name?: string; endpoint?: string; answers?: AnswerCounts } = {},
): CrashEvidence {
  callCount += 1;
  const { name = `call${callCount}`, endpoint = 'e', answers = HEALTHY } = fields;
  return {
    route: brandId('chat'),
    features: [...parts.map((part) => brandId<Feature>(`part:${part}`)), brandId(`call:${name}`)],
    crash: brandId(`${endpoint}@${second}`),
    at: second * SECOND_MS,
    answers,
  };
}

function assess(
  evidence: readonly CrashEvidence[],
  options: { answeredAt?: Record<string, number>; knownPatterns?: PoisonPattern[] } = {},
): Assessment {
  const { answeredAt = {}, knownPatterns = [] } = options;
  const context: CrashContext = {
    evidence,
    features: evidence.flatMap(({ features }) => features),
    knownPatterns,
    getAnsweredAt: (feature) => {
      const second = answeredAt[feature.replace('part:', '')];
      return second === undefined ? undefined : second * SECOND_MS;
    },
    getAnswerCounts: () => HEALTHY,
  };
  return assessFeatures(context);
}

function getPoison(...args: Parameters<typeof assess>): readonly string[] | undefined {
  return assess(...args).poison?.pattern.features;
}

const ALWAYS_ANSWERED = { system: 100 };

test('three crashes with one part that no endpoint answered show the part to be poisonous', () => {
  const calls = [1, 2, 3].map((second) => createCall(second, ['system', 'dead']));
  expect(getPoison(calls, { answeredAt: ALWAYS_ANSWERED })).toEqual(['part:dead', 'part:system']);
  expect(getPoison(calls.slice(1), { answeredAt: ALWAYS_ANSWERED })).toEqual(undefined);
});

test('a part that an endpoint answered after the crashes is harmless', () => {
  const calls = [1, 2, 3, 4].map((second) => createCall(second, ['system', 'book']));
  expect(getPoison(calls, { answeredAt: { system: 5, book: 5 } })).toEqual(undefined);
});

test('a part that was answered before the crashes needs more of them', () => {
  const calls = [1, 2, 3, 4, 5].map((second) => createCall(second, ['system', 'book']));
  const options = { answeredAt: { ...ALWAYS_ANSWERED, book: 0 } };
  expect(getPoison(calls.slice(0, 3), options)).toEqual(undefined);
  expect(getPoison(calls, options)).toEqual(['part:book', 'part:system']);
});

test('the harmless part that all poisonous calls hold is refused only together with the poisonous one', () => {
  const calls = [1, 2, 3].map((second) => createCall(second, ['system', 'book', 'dead']));
  const pattern = getPoison(calls, { answeredAt: ALWAYS_ANSWERED });
  expect(pattern).toEqual(['part:book', 'part:dead', 'part:system']);
});

test('a harmless call that met one of the crashes does not widen the pattern', () => {
  const poisonous = [1, 3, 4].map((second) => createCall(second, ['system', 'book', 'dead']));
  const calls = [...poisonous, createCall(2, ['system', 'book'])];
  const options = { answeredAt: ALWAYS_ANSWERED };
  expect(getPoison(calls.slice(0, 2).concat(calls.slice(3)), options)).toEqual(undefined);
  expect(getPoison(calls, options)).toEqual(['part:book', 'part:dead', 'part:system']);
});

test('a harmless call that met the crash of a repeated call is no evidence against their part', () => {
  const repeats = [1, 2].map((second) =>
    createCall(second, ['system', 'book', 'dead'], { name: 'repeated' }),
  );
  const calls = [
    ...repeats,
    createCall(2, ['system', 'book']),
    createCall(3, ['system', 'book', 'dead']),
  ];
  expect(getPoison(calls, { answeredAt: ALWAYS_ANSWERED })).toEqual(undefined);
});

test('the repeats of one call show the call to be poisonous, not its parts', () => {
  const calls = [1, 2, 3].map((second) => createCall(second, ['system', 'book'], { name: 'same' }));
  const options = { answeredAt: ALWAYS_ANSWERED };
  expect(getPoison(calls, options)).toEqual(['call:same', 'part:book', 'part:system']);
});

test('a second call with a part of a known poisonous call shows the part to be poisonous', () => {
  const repeats = [1, 2, 3].map((second) =>
    createCall(second, ['system', 'dead'], { name: 'same' }),
  );
  const calls = [...repeats, createCall(4, ['system', 'dead'])];
  const knownPatterns = [{ features: repeats[0]!.features.toSorted() }];
  const options = { answeredAt: ALWAYS_ANSWERED, knownPatterns };
  expect(getPoison(calls, options)).toEqual(['part:dead', 'part:system']);
});

test('crashes that a known pattern explains are no evidence against other parts', () => {
  const calls = [1, 2, 3, 4].flatMap((second) => [
    createCall(second, ['system', 'dead']),
    createCall(second, ['system', 'book']),
  ]);
  const knownPatterns = [{ features: [brandId<Feature>('part:dead')] }];
  expect(getPoison(calls, { answeredAt: ALWAYS_ANSWERED, knownPatterns })).toEqual(undefined);
});

test('endpoints that crash together are one crash', () => {
  const calls = ['a', 'b', 'c', 'd'].map((endpoint) =>
    createCall(1, ['system', 'book'], { endpoint }),
  );
  expect(getPoison(calls, { answeredAt: ALWAYS_ANSWERED })).toEqual(undefined);
});

test('the parts of calls that wait long are not blamed for crashes that most of these calls meet', () => {
  // Each crash of a crowded endpoint breaks off ten waiting calls of a kind that is rarely served.
  const calls = [1, 2, 3, 4, 5, 6].flatMap((second) =>
    Array.from({ length: 10 }, (_, index) =>
      createCall(second, ['system', `book${index}`], { answers: STARVED }),
    ),
  );
  const { poison, suspect } = assess(calls);
  expect(poison).toEqual(undefined);
  expect(suspect?.crashCount).toEqual(6);
});

test('two poisonous parts are found one after the other', () => {
  const calls = [1, 2, 3, 4].flatMap((second) => [
    createCall(second, ['system', 'dead']),
    createCall(second + 0.5, ['system', 'lethal']),
  ]);
  const options = { answeredAt: ALWAYS_ANSWERED };
  const first = assess(calls, options).poison!.pattern;
  const second = getPoison(calls, { ...options, knownPatterns: [first] });
  expect([...first.features, ...second!].toSorted()).toEqual([
    'part:dead',
    'part:lethal',
    'part:system',
    'part:system',
  ] as never);
});
