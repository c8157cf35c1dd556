/** Compares the latency of streams through one router with that of direct calls to the engines, on real sockets. */
import { Agent, request } from 'undici';
import { build, type Histogram } from 'hdr-histogram-js';
import { sampleKeys, startFleet, waitUntilReady, type Fleet } from '../launch/fleet.js';
import {
  applyRules,
  sleep,
  fitLine,
  getMonotonicMs,
  getProcessCpuSeconds,
  getResidentMegabytes,
  round,
  type Bench,
  type Row,
  type Table,
} from './support.js';

const TOKENS_PER_STREAM = 340;
const TOKEN_INTERVAL_MS = 5;
const PHASE_MS = 6_000;
const PAIRS_PER_RATE = 2;
const REQUEST_RATES_PER_SECOND = [10, 25, 50, 75, 100];
const US_PER_MS = 1_000;

interface LatencySample {
  readonly first: Histogram;
  readonly between: Histogram;
  events: number;
  requests: number;
  failed: number;
}

interface PhaseResult extends LatencySample {
  readonly seconds: number;
  readonly cpuSeconds: number;
}

function createSample(): LatencySample {
  const create = () =>
    build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: 60_000_000,
      numberOfSignificantValueDigits: 3,
    });
  return { first: create(), between: create(), events: 0, requests: 0, failed: 0 };
}

/** Sends one streamed chat and records the times between its chunks. */
async function sendChat(
  agent: Agent,
  url: string,
  number: number,
  sample: LatencySample,
): Promise<void> {
  const startedAt = getMonotonicMs();
  let lastAt = 0;
  const response = await request(`${url}/v1/chat/completions`, {
    method: 'POST',
    dispatcher: agent,
    headers: { authorization: `Bearer ${sampleKeys.yard}`, 'content-type': 'application/json' },
    body: JSON.stringify({
      model: 'quill-small',
      stream: true,
      stream_options: { include_usage: true },
      max_tokens: TOKENS_PER_STREAM,
      messages: [{ role: 'user', content: `quote ${number}` }],
    }),
  });
  sample.failed += response.statusCode === 200 ? 0 : 1;
  for await (const chunk of response.body) {
    const now = getMonotonicMs();
    const histogram = lastAt === 0 ? sample.first : sample.between;
    histogram.recordValue(Math.max(1, Math.round((now - (lastAt || startedAt)) * US_PER_MS)));
    lastAt = now;
    sample.events += countEvents(chunk as Buffer);
  }
  sample.requests += 1;
}

function countEvents(chunk: Buffer): number {
  let count = 0;
  for (let at = chunk.indexOf('data: '); at >= 0; at = chunk.indexOf('data: ', at + 6)) {
    count += 1;
  }
  return count;
}

/** Sends requests at a constant rate during one phase, then waits until all of them finished. */
async function runPhase(
  urls: readonly string[],
  perSecond: number,
  pid: number,
): Promise<PhaseResult> {
  const agent = new Agent({ pipelining: 1, connections: 2_000 });
  const sample = createSample();
  const cpuBefore = getProcessCpuSeconds(pid);
  const startedAt = getMonotonicMs();
  const pendingRequests: Promise<void>[] = [];
  const count = Math.round((perSecond * PHASE_MS) / 1_000);
  for (let number = 0; number < count; number += 1) {
    const dueMs = startedAt + (number * 1_000) / perSecond - getMonotonicMs();
    if (dueMs > 0) {
      await sleep(dueMs);
    }
    pendingRequests.push(
      sendChat(agent, urls[number % urls.length]!, number, sample).catch(() => {
        sample.failed += 1;
      }),
    );
  }
  await Promise.all(pendingRequests);
  const seconds = (getMonotonicMs() - startedAt) / 1_000;
  await agent.destroy();
  return { ...sample, seconds, cpuSeconds: getProcessCpuSeconds(pid) - cpuBefore };
}

function getPercentileMs(histogram: Histogram, percentile: number): number {
  return round(histogram.getValueAtPercentile(percentile) / US_PER_MS);
}

function createRow(requestsPerSecond: number, path: string, phase: PhaseResult): Row {
  return {
    'requests/s': requestsPerSecond,
    way: path,
    requests: phase.requests,
    failed: phase.failed,
    'events/s': Math.round(phase.events / phase.seconds),
    'first p50 ms': getPercentileMs(phase.first, 50),
    'first p99 ms': getPercentileMs(phase.first, 99),
    'between p50 ms': getPercentileMs(phase.between, 50),
    'between p99 ms': getPercentileMs(phase.between, 99),
    'router core share': round(phase.cpuSeconds / phase.seconds),
  };
}

async function startBenchFleet(): Promise<Fleet> {
  const fleet = await startFleet({
    routers: 1,
    engines: 4,
    services: 1,
    tokensPerBudget: 1_000_000_000,
    engineArgs: [
      '--token-ms',
      String(TOKEN_INTERVAL_MS),
      '--answer-tokens',
      String(TOKENS_PER_STREAM),
      '--slots',
      '2000',
    ],
    settings: { logging: { level: 'error' }, limits: { queueLength: 5_000 } },
    slotsPerEngine: 2_000,
  });
  await applyRules(fleet);
  await waitUntilReady(fleet.routerUrls[0]!);
  await sleep(1_000);
  return fleet;
}

async function run(): Promise<readonly Table[]> {
  const fleet = await startBenchFleet();
  const pid = fleet.routers[0]!.child.pid!;
  const directUrls = fleet.engines.map(({ port }) => `http://127.0.0.1:${port}`);
  await runPhase(fleet.routerUrls, 10, pid);
  const rows: Row[] = [];
  const overheadRows: Row[] = [];
  const cpuPoints: [number, number][] = [];
  for (const requestsPerSecond of REQUEST_RATES_PER_SECOND) {
    for (let pair = 0; pair < PAIRS_PER_RATE; pair += 1) {
      const direct = await runPhase(directUrls, requestsPerSecond, pid);
      const routed = await runPhase(fleet.routerUrls, requestsPerSecond, pid);
      rows.push(
        createRow(requestsPerSecond, 'straight', direct),
        createRow(requestsPerSecond, 'router', routed),
      );
      overheadRows.push(createOverheadRow(requestsPerSecond, direct, routed));
      cpuPoints.push([routed.events / routed.seconds, routed.cpuSeconds / routed.seconds]);
    }
  }
  const megabytes = round(getResidentMegabytes(pid));
  await fleet.stop();
  const fit = fitLine(cpuPoints);
  return [
    { title: 'Each phase', rows },
    { title: 'Added by the router, pair by pair', rows: overheadRows },
    {
      title: 'Processor time of the router',
      rows: [
        {
          'us/event': round(fit.slope * 1e6),
          'core at rest': round(fit.intercept),
          r2: round(fit.r2),
          'events/s at one core': Math.round((1 - fit.intercept) / fit.slope),
          'resident MB after': megabytes,
        },
      ],
    },
  ];
}

function createOverheadRow(
  requestsPerSecond: number,
  direct: PhaseResult,
  routed: PhaseResult,
): Row {
  const subtract = (name: 'first' | 'between', percentile: number) =>
    round(getPercentileMs(routed[name], percentile) - getPercentileMs(direct[name], percentile));
  return {
    'requests/s': requestsPerSecond,
    'first p50 ms': subtract('first', 50),
    'first p99 ms': subtract('first', 99),
    'between p50 ms': subtract('between', 50),
    'between p99 ms': subtract('between', 99),
  };
}

export const relayBench: Bench = {
  name: 'relay',
  question:
    'What does one router add to the first token and between tokens, and what can it carry?',
  run,
};
