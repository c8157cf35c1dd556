/** Measures the latency that billing before or after the last chunk adds to a response, on real sockets. */
import { Agent, request } from 'undici';
import { build } from 'hdr-histogram-js';
import { setFaults, sampleKeys, startFleet, waitUntilReady } from '../launch/fleet.js';
import {
  applyRules,
  sleep,
  getMonotonicMs,
  round,
  type Bench,
  type Row,
  type Table,
} from './support.js';

const REQUESTS = 400;
const REQUESTS_PER_SECOND = 40;
const US_PER_MS = 1_000;
const LOG_DELAYS_MS = [0, 20, 100];

async function measureBillingMode(mode: 'before' | 'after', logDelayMs: number): Promise<Row> {
  const fleet = await startFleet({
    routers: 1,
    engines: 2,
    services: 1,
    slotsPerEngine: 200,
    tokensPerBudget: 1e9,
    settings: { logging: { level: 'error' }, billing: { mode } },
  });
  await applyRules(fleet);
  await waitUntilReady(fleet.routerUrls[0]!);
  await sleep(1_000);
  await setFaults(fleet.logUrl, { slowMs: logDelayMs });
  const agent = new Agent({ connections: 200 });
  const completionTimesUs = build({ highestTrackableValue: 60_000_000 });
  const send = async (number: number) => {
    const startedAt = getMonotonicMs();
    const response = await request(`${fleet.routerUrls[0]}/v1/chat/completions`, {
      method: 'POST',
      dispatcher: agent,
      headers: { authorization: `Bearer ${sampleKeys.yard}` },
      body: JSON.stringify({
        model: 'quill-small',
        stream: true,
        max_tokens: 12,
        messages: [{ role: 'user', content: `bill ${number}` }],
      }),
    });
    await response.body.text();
    completionTimesUs.recordValue(Math.round((getMonotonicMs() - startedAt) * US_PER_MS));
  };
  const pendingRequests: Promise<void>[] = [];
  for (let number = 0; number < REQUESTS; number += 1) {
    pendingRequests.push(send(number));
    await sleep(1_000 / REQUESTS_PER_SECOND);
  }
  await Promise.all(pendingRequests);
  await agent.destroy();
  await setFaults(fleet.logUrl, { slowMs: 0 });
  await fleet.stop();
  const getPercentile = (percentile: number) =>
    round(completionTimesUs.getValueAtPercentile(percentile) / US_PER_MS);
  return {
    mode,
    'log delay ms': logDelayMs,
    requests: REQUESTS,
    'whole answer p50 ms': getPercentile(50),
    'whole answer p99 ms': getPercentile(99),
  };
}

async function run(): Promise<readonly Table[]> {
  const rows: Row[] = [];
  for (const logDelayMs of LOG_DELAYS_MS) {
    rows.push(
      await measureBillingMode('after', logDelayMs),
      await measureBillingMode('before', logDelayMs),
    );
  }
  return [{ title: 'Time to the whole answer, 12 tokens', rows }];
}

export const billingBench: Bench = {
  name: 'billing',
  question: 'What does billing before the last chunk add to an answer, against billing after it?',
  run,
};
