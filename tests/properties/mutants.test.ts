import { test } from 'node:test';
import { expect } from 'earl';
import { checkInterleavings } from './interleaving.js';
import { mutants } from './mutants.js';

const RUNS = 400;
const SEED = 20_261_204;

mutants.forEach(({ name, options }) => {
  test(`the interleavings detect that ${name}`, async () => {
    const details = await checkInterleavings({
      runs: RUNS,
      seed: SEED,
      interleaving: options,
      shrink: false,
    });
    expect(details.failed).toEqual(true);
  });
});
