import { test } from 'node:test';
import { expect } from 'earl';
import { checkInterleavings, describeFailure } from './interleaving.js';
import { runInParallel } from './parallel.js';

test('the guarantees hold over 1,000 interleavings with all kinds of faults', async () => {
  expect(await runInParallel({ runs: 1_000, seed: 1 })).toEqual([]);
});

test('the guarantees hold over 500 interleavings while the log trims old records', async () => {
  const interleaving = { retentionMs: 12_000, checkService: false };
  expect(await runInParallel({ runs: 500, seed: 2, interleaving })).toEqual([]);
});

test('the guarantees hold over 500 interleavings with five routers and few tokens', async () => {
  const interleaving = { tokens: 400, routers: 5, idleReturnMs: 1_000 };
  expect(await runInParallel({ runs: 500, seed: 3, interleaving })).toEqual([]);
});

test('the guarantees hold over 500 interleavings with one home of the budget', async () => {
  const interleaving = { tokens: 1_000, routers: 4, homesPerZone: 1, idleReturnMs: 3_000 };
  expect(await runInParallel({ runs: 500, seed: 4, interleaving })).toEqual([]);
});

test('homes recall idle tokens from the routers that they lent them to', async () => {
  const interleaving = { tokens: 1_000, routers: 4, homesPerZone: 1 };
  const details = await checkInterleavings({ runs: 125, seed: 7_007, interleaving, shrink: false });
  expect(describeFailure(details)).toEqual('');
});
