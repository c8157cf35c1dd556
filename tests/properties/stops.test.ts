import { test } from 'node:test';
import { expect } from 'earl';
import { runStopSoak } from '../support/stopSoak.js';

const TIMEOUT = { timeout: 60_000 };
/** A short grace period saves time; `npm run fuzz:stops` has the platform's. */
const GRACE_S = 5;
const SEED = 7;

test(
  'every call that a gateway runs is answered, whatever happens around its stop',
  TIMEOUT,
  async () => {
    const { findings, counts } = await runStopSoak({ seed: SEED, graceS: GRACE_S });
    expect(findings).toEqual([]);
    expect(counts['200, ran, in a stop'] ?? 0).toBeGreaterThan(0);
  },
);
