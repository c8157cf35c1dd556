/** What gateway processes cost by stage: start, second at rest, call, event, change of the configuration. */
import { readFileSync } from 'node:fs';
import { request, Agent } from 'node:http';
import { headerNames } from '../platform/names.js';
import { BUDGETS, ENGINES, GatewayBenchFleet, PORTS, sum, VMS, type Vm } from './gatewayFleet.js';
import {
  delay,
  getMedian,
  getProcessCpuSeconds,
  round,
  type Bench,
  type Row,
  type Table,
} from './support.js';

const IDLE_MS = 6_000;
const CALLS = 1_200;
const CALLS_PER_SECOND = 200;
const EVENTS = 40;
const CONFIG_ROUTES = 300;
const CONFIG_CHANGES = 8;
const CHANGE_INTERVAL_MS = 500;
const FIRST_RECORDS_MS = 10_000;
const MS_PER_SECOND = 1_000;

/** Calls of one kind. */
interface CallStage {
  readonly stage: string;
  readonly path: string;
  readonly hasTokens: boolean;
}

const callStages: readonly CallStage[] = [
  { stage: 'call without tokens, warm-up', path: '/plain/x', hasTokens: false },
  { stage: 'call without tokens', path: '/plain/x', hasTokens: false },
  { stage: 'stream of 1 event', path: '/stream0/x?events=1', hasTokens: true },
  { stage: `stream of ${EVENTS} events`, path: `/stream0/x?events=${EVENTS}`, hasTokens: true },
];

const agent = new Agent({ keepAlive: true });

function sendCall(host: string, path: string, budget: number, tokens: boolean): Promise<boolean> {
  return new Promise((resolve) => {
    const outgoing = request({
      host,
      port: PORTS.frontend,
      method: 'POST',
      path,
      agent,
      headers: {
        host: 'bench.example',
        [headerNames.callId]: Math.random().toString(16).slice(2),
        [headerNames.credential]: `key${budget}`,
        [headerNames.deadlineMs]: '10000',
        ...(tokens
          ? {
              [headerNames.tokens]: '800,40',
              [headerNames.promptPrefix]: '5c1e07a2:500,e4402b7d:300',
              [headerNames.model]: 'm',
            }
          : {}),
      },
    });
    outgoing.on('response', (answer) => {
      answer.resume();
      answer.on('end', () => resolve(answer.statusCode === 200));
    });
    outgoing.on('error', () => resolve(false));
    outgoing.end('x'.repeat(2_000));
  });
}

/** Spreads calls evenly over time and vms; returns how many were not served. */
async function sendCalls(
  vms: readonly Vm[],
  path: string,
  tokens: boolean,
  count = CALLS,
): Promise<number> {
  const running: Promise<boolean>[] = [];
  const startedAt = Date.now();
  for (let index = 0; index < count; index += 1) {
    const dueMs = startedAt + (index * MS_PER_SECOND) / CALLS_PER_SECOND - Date.now();
    if (dueMs > 0) {
      await delay(dueMs);
    }
    running.push(sendCall(vms[index % vms.length]!.host, path, index % BUDGETS, tokens));
  }
  return (await Promise.all(running)).filter((isServed) => !isServed).length;
}

/** Measures a vm at rest; first records of vms that are no homes are spread over some seconds before. */
async function measureRest(fleet: GatewayBenchFleet): Promise<{ rows: Row[]; perSecond: number }> {
  await delay(FIRST_RECORDS_MS);
  const callsBefore = fleet.getStoreCalls();
  const cpu = await fleet.measure(() => delay(IDLE_MS));
  const vmSeconds = (VMS * IDLE_MS) / MS_PER_SECOND;
  const perSecond = sum(cpu) / vmSeconds;
  const calls = (fleet.getStoreCalls() - callsBefore) / vmSeconds;
  return {
    perSecond,
    rows: [
      createRow('idle second', perSecond * MS_PER_SECOND, 'ms a vm'),
      createRow('idle second', calls, 'store calls a vm'),
    ],
  };
}

/** Measures calls of one kind beyond what the vms use at rest. */
async function measureCalls(
  fleet: GatewayBenchFleet,
  restPerSecond: number,
  { stage, path, hasTokens }: CallStage,
): Promise<Row> {
  let failed = 0;
  const startedAt = Date.now();
  const cpu = await fleet.measure(async () => {
    failed = await sendCalls(fleet.vms, path, hasTokens);
  });
  const restSeconds = (restPerSecond * VMS * (Date.now() - startedAt)) / MS_PER_SECOND;
  const perCall = (sum(cpu) - restSeconds) / CALLS;
  return createRow(stage, perCall * MS_PER_SECOND, `ms a call, ${failed} failed`);
}

async function measureChanges(fleet: GatewayBenchFleet, restPerSecond: number): Promise<Row> {
  const cpu = await fleet.measure(async () => {
    for (let change = 0; change < CONFIG_CHANGES; change += 1) {
      fleet.configure(CONFIG_ROUTES);
      await delay(CHANGE_INTERVAL_MS);
    }
  });
  const restSeconds = (restPerSecond * VMS * CONFIG_CHANGES * CHANGE_INTERVAL_MS) / MS_PER_SECOND;
  const perChange = (sum(cpu) - restSeconds) / VMS / CONFIG_CHANGES;
  const stage = `configuration of ${CONFIG_ROUTES} routes`;
  return createRow(stage, perChange * MS_PER_SECOND, 'ms a vm and change');
}

function createRow(stage: string, figure: number, unit: string): Row {
  return { stage, figure: round(figure), unit };
}

async function run(): Promise<readonly Table[]> {
  const fleet = new GatewayBenchFleet();
  const rows: Row[] = [];
  try {
    await fleet.start();
    const starts = fleet.vms.map(({ pid }) => getProcessCpuSeconds(pid));
    rows.push(createRow('start', getMedian(starts) * MS_PER_SECOND, 'ms a vm'));
    const rest = await measureRest(fleet);
    rows.push(...rest.rows);
    for (const stage of callStages) {
      rows.push(await measureCalls(fleet, rest.perSecond, stage));
    }
    rows.push(await measureChanges(fleet, rest.perSecond));
    const peaks = fleet.vms.map(({ pid }) => readPeakMegabytes(pid));
    rows.push(createRow('memory', getMedian(peaks), 'MB, the peak of the median vm'));
  } finally {
    await fleet.stop();
  }
  return [{ title: `${VMS} vms, ${ENGINES} endpoints`, rows }];
}

function readPeakMegabytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024;
}

/** The bench. */
export const gatewayBench: Bench = {
  name: 'gateway',
  question: 'What does a gateway cost by stage, on the processor and in calls to the store?',
  run,
};
