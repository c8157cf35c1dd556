/** What gateway processes cost by stage: start, idle second, call, event, configuration, record of another vm. */
import { createServer, request, Agent, type Server, type ServerResponse } from 'node:http';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { join } from 'node:path';
import { tmpdir } from 'node:os';
import type { AddressInfo } from 'node:net';
import { headers, READINESS_PATH, SETTINGS_VARIABLE, topics } from '../platform/names.js';
import { StoreStandin } from '../standins/storeStandin.js';
import {
  delay,
  getMedian,
  getProcessCpuSeconds,
  round,
  type Bench,
  type Row,
  type Table,
} from './support.js';

const VMS = 12; // more than a fleet in which each vm is a home
const ENGINES = 60;
const BUDGETS = 24;
const ROUTES = 8;
const HEARTBEAT_MS = 1_200;
const IDLE_MS = 6_000;
const CALLS = 1_200;
const CALLS_PER_SECOND = 200;
const EVENTS = 40;
const CONFIG_ROUTES = 300;
const CONFIG_CHANGES = 8;
const CHANGE_INTERVAL_MS = 500;
const FIRST_RECORDS_MS = 10_000;
const PORTS = { frontend: 18_080, readiness: 18_081, peers: 18_082 };
const PROGRAM = process.env.GATEWAY_PROGRAM ?? 'target/src/daemons/shallotrock.js';
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

interface Vm {
  readonly host: string;
  readonly child: ChildProcess;
  readonly pid: number;
}

/** A fleet of gateways before a store and engines of this process. */
class GatewayBenchFleet {
  readonly store = new StoreStandin();

  private readonly folder = mkdtempSync(join(tmpdir(), 'gateway-bench-'));

  private engine!: Server;

  private storePort = 0;

  private version = 0;

  private sequence = 0;

  private heartbeat: NodeJS.Timeout | undefined;

  readonly vms: Vm[] = [];

  async start(): Promise<void> {
    this.storePort = await this.store.listen();
    this.engine = createServer({ keepAliveTimeout: 30_000 }, (message, response) => {
      message.resume();
      message.on('end', () =>
        answerCall(message.headers[headers.callId] as string, message.url!, response),
      );
    });
    this.engine.listen(0, '127.0.0.1');
    await once(this.engine, 'listening');
    this.configure(0);
    this.beat();
    this.heartbeat = setInterval(() => this.beat(), HEARTBEAT_MS);
    for (let index = 0; index < VMS; index += 1) {
      this.startVm(index);
    }
    await Promise.all(this.vms.map(({ host }) => waitUntilReady(host)));
  }

  async stop(): Promise<void> {
    clearInterval(this.heartbeat);
    this.vms.forEach(({ child }) => child.kill('SIGKILL'));
    this.engine.close();
    this.engine.closeAllConnections();
    await this.store.crash();
    rmSync(this.folder, { recursive: true });
  }

  /** Publishes a configuration with so many further routes. */
  configure(further: number): void {
    this.version += 1;
    const route = (name: string, type: string, service: string) => ({
      name,
      hostname: 'bench.example',
      pathPrefix: `/${name}/`,
      type,
      service,
      timeoutMs: 10_000,
      attempts: 2,
    });
    this.store.put(topics.operator, 'config', {
      version: this.version,
      routes: [
        ...Array.from({ length: ROUTES }, (_, index) =>
          route(`stream${index}`, 'streaming', 'engines'),
        ),
        route('plain', 'idempotent', 'engines'),
        ...Array.from({ length: further }, (_, index) =>
          route(`further${index}`, 'idempotent', 'engines'),
        ),
      ],
      services: [
        {
          name: 'engines',
          maxConns: 500,
          backendType: { slots: 64, kvCapacity: 500_000, stride: 5 },
        },
      ],
      tenants: Array.from({ length: BUDGETS }, (_, index) => ({
        name: `workspace${index}`,
        apiKeys: [`key${index}`],
        prepaid: 1_000_000_000,
      })),
      limits: {
        maxHeaderBytes: 16_384,
        maxBodyBytes: 1_000_000,
        headerTimeoutMs: 5_000,
        idleTimeoutMs: 30_000,
      },
    });
  }

  private beat(): void {
    const { port } = this.engine.address() as AddressInfo;
    this.sequence += 1;
    for (let index = 0; index < ENGINES; index += 1) {
      setTimeout(
        () =>
          this.store.put(topics.endpoints, `engine-${index}`, {
            service: 'engines',
            address: `127.0.0.1:${port}`,
            zone: 'zone-a',
            slots: 64,
            state: 'ready',
            seq: this.sequence,
            born: 1,
          }),
        (index * HEARTBEAT_MS) / ENGINES,
      );
    }
  }

  private startVm(index: number): void {
    const host = `127.0.1.${index + 1}`;
    const file = join(this.folder, `vm${index}.toml`);
    writeFileSync(file, createSettings(index, host, this.storePort));
    const child = spawn(process.execPath, ['--max-old-space-size=160', PROGRAM, 'gateway'], {
      env: { ...process.env, [SETTINGS_VARIABLE]: file },
      stdio: ['ignore', 'ignore', 'ignore'],
    });
    this.vms.push({ host, child, pid: child.pid! });
  }

  /** Returns processor seconds of each vm while something is done. */
  async measure(act: () => Promise<void>): Promise<number[]> {
    const before = this.vms.map(({ pid }) => getProcessCpuSeconds(pid));
    await act();
    return this.vms.map(({ pid }, index) => getProcessCpuSeconds(pid) - before[index]!);
  }

  getStoreCalls(): number {
    return sum([...this.store.calls.values()]);
  }
}

function createSettings(index: number, host: string, storePort: number): string {
  return `nodeName = "vm${index}"
zone = "zone-a"
ip = "${host}"
seeds = ["127.0.1.1:${PORTS.peers}", "127.0.1.2:${PORTS.peers}"]
[listen]
frontend = "${host}:${PORTS.frontend}"
readiness = "${host}:${PORTS.readiness}"
controlPlane = "${host}:${PORTS.peers}"
[platform]
address = "127.0.0.1:${storePort}"
[bounds]
graceS = 8
retryRatio = 0.2
retryBurst = 200
retryWindowS = 10
stableWindowMs = 4000
drainMs = 3000
`;
}

function answerCall(id: string, url: string, response: ServerResponse): void {
  const isStream = url.startsWith('/stream');
  response.writeHead(200, {
    [headers.callId]: id,
    [headers.seal]: 'seal',
    'content-type': isStream ? 'text/event-stream' : 'text/plain',
  });
  if (!isStream) {
    response.end('x'.repeat(800));
    return;
  }
  const events = Number(/events=(\d+)/.exec(url)?.[1] ?? 1);
  let sent = 0;
  const send = () => {
    sent += 1;
    response.write(`id: ${sent}\ndata: ${'t'.repeat(60)}\n\n`);
    if (sent >= events) {
      response.end();
    } else {
      setTimeout(send, 15);
    }
  };
  send();
}

async function waitUntilReady(host: string): Promise<void> {
  const isReady = async () => {
    try {
      return (await fetch(`http://${host}:${PORTS.readiness}${READINESS_PATH}`)).status === 200;
    } catch {
      return false;
    }
  };
  while (!(await isReady())) {
    await delay(50);
  }
}

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
        [headers.callId]: Math.random().toString(16).slice(2),
        [headers.credential]: `key${budget}`,
        [headers.deadlineMs]: '10000',
        ...(tokens
          ? {
              [headers.tokens]: '800,40',
              [headers.promptPrefix]: '5c1e07a2:500,e4402b7d:300',
              [headers.model]: 'm',
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

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
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
