/** Simulates take-ups of streams with random faults: `npm run fuzz:streams -- --runs 500 --seed 1 [--events] [--young]`. */
import { parseArgs } from 'node:util';
import { simulateStreamOrigins } from './streamOriginsModel.js';

const { values } = parseArgs({
  options: {
    runs: { type: 'string', default: '500' },
    seed: { type: 'string', default: '1' },
    events: { type: 'boolean', default: false },
    young: { type: 'boolean', default: false },
  },
});
const firstSeed = Number(values.seed);
const sums: Record<string, number> = {};
let failedRuns = 0;
for (let seed = firstSeed; seed < firstSeed + Number(values.runs); seed += 1) {
  const { events, failures, counts } = await simulateStreamOrigins(seed, values.young);
  failedRuns += failures.length > 0 ? 1 : 0;
  Object.entries(counts).forEach(([result, count]) => {
    sums[result] = (sums[result] ?? 0) + count;
  });
  const lines = values.events ? [...events, ...failures] : failures;
  lines.forEach((line) => process.stdout.write(`seed ${seed}: ${line}\n`));
}
process.stdout.write(`${JSON.stringify(sums, undefined, 2)}\n`);
process.stdout.write(`${values.runs} simulations, ${failedRuns} failed\n`);
process.exitCode = failedRuns === 0 ? 0 : 1;
