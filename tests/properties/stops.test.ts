import { test } from 'node:test';
import { expect } from 'earl';
import { runStopSoak } from '../support/stopSoak.js';

const TIMEOUT = { timeout: 60_000 };
/** The platform's: callers that read late do so for up to 3 s, which a shorter period need not allow. */
const GRACE_S = 8;
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
