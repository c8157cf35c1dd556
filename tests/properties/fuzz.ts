/**
 * Runs random interleavings:
 * `npm run fuzz -- --runs 100000 --seed 1 [--tokens N] [--routers N] [--retention-ms N] [--homes N]`.
 */
import { parseArgs } from 'node:util';
import { runInParallel } from './parallel.js';

const { values } = parseArgs({
  options: {
    runs: { type: 'string', default: '1000' },
    seed: { type: 'string', default: '1' },
    tokens: { type: 'string' },
    routers: { type: 'string' },
    'retention-ms': { type: 'string' },
    homes: { type: 'string' },
  },
});

const retentionMs =
  values['retention-ms'] === undefined ? undefined : Number(values['retention-ms']);
const runs = Number(values.runs);
const failures = await runInParallel({
  runs,
  seed: Number(values.seed),
  interleaving: {
    tokens: values.tokens === undefined ? undefined : Number(values.tokens),
    routers: values.routers === undefined ? undefined : Number(values.routers),
    retentionMs,
    checkService: retentionMs === undefined,
    homesPerZone: values.homes === undefined ? undefined : Number(values.homes),
  },
  onProgress: (done) => {
    if (process.stderr.isTTY) {
      process.stderr.write(`${done} of ${runs}\n`);
    }
  },
});
failures.forEach((failure) => process.stdout.write(`${failure}\n`));
process.stdout.write(`${runs} interleavings, ${failures.length} chunks failed\n`);
process.exitCode = failures.length === 0 ? 0 : 1;
