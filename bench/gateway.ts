/** Measures the cost of gateway processes by stage: start, idle second, call, event, change of the configuration. */
import { readFileSync } from 'node:fs';
import { request, Agent } from 'node:http';
import { headerNames } from '../platform/names.js';
import {
  BUDGET_COUNT,
  ENGINE_COUNT,
  GatewayBenchFleet,
  PORTS,
  sum,
  VM_COUNT,
  type Vm,
} from './gatewayFleet.js';
import {
  sleep,
  getMedian,
  getProcessCpuSeconds,
  round,
  type Bench,
  type Row,
  type Table,
} from './support.js';

const IDLE_MS = 6_000;
const CALL_COUNT = 1_200;
const CALLS_PER_SECOND = 200;
const EVENTS_PER_STREAM = 40;
const CONFIG_ROUTE_COUNT = 300;
const CONFIG_CHANGE_COUNT = 8;
const CHANGE_INTERVAL_MS = 500;
const FIRST_RECORDS_MS = 10_000;
const MS_PER_SECOND = 1_000;

/** A stage that sends calls of one kind. */
interface CallStage {
  readonly stage: string;
  readonly path: string;
  readonly hasTokens: boolean;
}

const callStages: readonly CallStage[] = [
  { stage: 'call without tokens, warm-up', path: '/plain/x', hasTokens: false },
  { stage: 'call without tokens', path: '/plain/x', hasTokens: false },
  { stage: 'stream of 1 event', path: '/stream0/x?events=1', hasTokens: true },
  {
    stage: `stream of ${EVENTS_PER_STREAM} events`,
    path: `/stream0/x?events=${EVENTS_PER_STREAM}`,
    hasTokens: true,
  },
];

const agent = new Agent({ keepAlive: true });

function sendCall(
  host: string,
  path: string,
  budget: number,
  hasTokens: boolean,
): Promise<boolean> {
  return new Promise((resolve) => {
    const clientRequest = request({
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
        ...(hasTokens
          ? {
              [headerNames.tokens]: '800,40',
              [headerNames.promptPrefix]: '5c1e07a2:500,e4402b7d:300',
              [headerNames.model]: 'm',
            }
          : {}),
      },
    });
    clientRequest.on('response', (response) => {
      response.resume();
      response.on('end', () => resolve(response.statusCode === 200));
    });
    clientRequest.on('error', () => resolve(false));
    clientRequest.end('x'.repeat(2_000));
  });
}

/** Sends calls spread evenly over time and vms, and returns the number of those that were not served. */
async function sendCalls(
  vms: readonly Vm[],
  path: string,
  hasTokens: boolean,
  count = CALL_COUNT,
): Promise<number> {
  const pendingCalls: Promise<boolean>[] = [];
  const startedAt = Date.now();
  for (let index = 0; index < count; index += 1) {
    const dueMs = startedAt + (index * MS_PER_SECOND) / CALLS_PER_SECOND - Date.now();
    if (dueMs > 0) {
      await sleep(dueMs);
    }
    pendingCalls.push(
      sendCall(vms[index % vms.length]!.host, path, index % BUDGET_COUNT, hasTokens),
    );
  }
  return (await Promise.all(pendingCalls)).filter((isServed) => !isServed).length;
}

/** Measures idle vms after a delay, because vms that are not homes spread their first records over some seconds. */
async function measureIdle(
  fleet: GatewayBenchFleet,
): Promise<{ rows: Row[]; idleCpuShare: number }> {
  await sleep(FIRST_RECORDS_MS);
  const callsBefore = fleet.getStoreCallCount();
  const cpuSeconds = await fleet.measureCpuSeconds(() => sleep(IDLE_MS));
  const vmSeconds = (VM_COUNT * IDLE_MS) / MS_PER_SECOND;
  const idleCpuShare = sum(cpuSeconds) / vmSeconds;
  const calls = (fleet.getStoreCallCount() - callsBefore) / vmSeconds;
  return {
    idleCpuShare,
    rows: [
      createRow('idle second', idleCpuShare * MS_PER_SECOND, 'ms a vm'),
      createRow('idle second', calls, 'store calls a vm'),
    ],
  };
}

/** Measures the processor time of calls of one kind, less that of idle vms. */
async function measureCalls(
  fleet: GatewayBenchFleet,
  idleCpuShare: number,
  { stage, path, hasTokens }: CallStage,
): Promise<Row> {
  let failed = 0;
  const startedAt = Date.now();
  const cpuSeconds = await fleet.measureCpuSeconds(async () => {
    failed = await sendCalls(fleet.vms, path, hasTokens);
  });
  const idleCpuSeconds = (idleCpuShare * VM_COUNT * (Date.now() - startedAt)) / MS_PER_SECOND;
  const perCall = (sum(cpuSeconds) - idleCpuSeconds) / CALL_COUNT;
  return createRow(stage, perCall * MS_PER_SECOND, `ms a call, ${failed} failed`);
}

async function measureConfigChanges(fleet: GatewayBenchFleet, idleCpuShare: number): Promise<Row> {
  const cpuSeconds = await fleet.measureCpuSeconds(async () => {
    for (let change = 0; change < CONFIG_CHANGE_COUNT; change += 1) {
      fleet.configure(CONFIG_ROUTE_COUNT);
      await sleep(CHANGE_INTERVAL_MS);
    }
  });
  const idleCpuSeconds =
    (idleCpuShare * VM_COUNT * CONFIG_CHANGE_COUNT * CHANGE_INTERVAL_MS) / MS_PER_SECOND;
  const perChange = (sum(cpuSeconds) - idleCpuSeconds) / VM_COUNT / CONFIG_CHANGE_COUNT;
  const stage = `configuration of ${CONFIG_ROUTE_COUNT} routes`;
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
    const startCpuSeconds = fleet.vms.map(({ pid }) => getProcessCpuSeconds(pid));
    rows.push(createRow('start', getMedian(startCpuSeconds) * MS_PER_SECOND, 'ms a vm'));
    const idle = await measureIdle(fleet);
    rows.push(...idle.rows);
    for (const stage of callStages) {
      rows.push(await measureCalls(fleet, idle.idleCpuShare, stage));
    }
    rows.push(await measureConfigChanges(fleet, idle.idleCpuShare));
    const peaks = fleet.vms.map(({ pid }) => getPeakResidentMegabytes(pid));
    rows.push(createRow('memory', getMedian(peaks), 'MB, the peak of the median vm'));
  } finally {
    await fleet.stop();
  }
  return [{ title: `${VM_COUNT} vms, ${ENGINE_COUNT} endpoints`, rows }];
}

function getPeakResidentMegabytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/VmHWM:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024;
}

export const gatewayBench: Bench = {
  name: 'gateway',
  question: 'What does a gateway cost by stage, on the processor and in calls to the store?',
  run,
};
