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
import { delay, getMedian, getProcessCpuSeconds, round, type Bench, type Row } from './support.js';

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
const PORTS = { frontend: 18_080, readiness: 18_081, peers: 18_082 };
const PROGRAM = process.env.GATEWAY_PROGRAM ?? 'target/src/daemons/shallotrock.js';
const MS_PER_SECOND = 1_000;

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

async function run() {
  const fleet = new GatewayBenchFleet();
  const rows: Row[] = [];
  try {
    await fleet.start();
    const started = fleet.vms.map(({ pid }) => getProcessCpuSeconds(pid));
    rows.push({
      stage: 'start',
      'cpu ms': round(getMedian(started) * MS_PER_SECOND),
      unit: 'a vm',
    });
    // First records of vms that are no homes are spread over some seconds.
    await delay(10_000);
    const callsBefore = fleet.getStoreCalls();
    const idle = await fleet.measure(() => delay(IDLE_MS));
    const idlePerSecond = sum(idle) / VMS / (IDLE_MS / MS_PER_SECOND);
    rows.push({
      stage: 'idle second',
      'cpu ms': round(idlePerSecond * MS_PER_SECOND),
      unit: 'a vm',
    });
    rows.push({
      stage: 'idle store calls',
      'cpu ms': round((fleet.getStoreCalls() - callsBefore) / VMS / (IDLE_MS / MS_PER_SECOND)),
      unit: 'calls a vm and second',
    });
    for (const [stage, path, tokens] of [
      ['warm-up, not counted', '/plain/x', false],
      ['call without tokens', '/plain/x', false],
      ['stream of 1 event with tokens', '/stream0/x?events=1', true],
      [`stream of ${EVENTS} events with tokens`, `/stream0/x?events=${EVENTS}`, true],
    ] as const) {
      let failed = 0;
      const at = Date.now();
      const cpu = await fleet.measure(async () => {
        failed = await sendCalls(fleet.vms, path, tokens);
      });
      const idleSeconds = (idlePerSecond * VMS * (Date.now() - at)) / MS_PER_SECOND;
      const perCall = (sum(cpu) - idleSeconds) / CALLS;
      rows.push({
        stage,
        'cpu ms': round(perCall * MS_PER_SECOND),
        unit: `a call, ${failed} failed`,
      });
    }
    const changes = await fleet.measure(async () => {
      for (let change = 0; change < CONFIG_CHANGES; change += 1) {
        fleet.configure(CONFIG_ROUTES);
        await delay(500);
      }
    });
    const changeSeconds = sum(changes) - (idlePerSecond * VMS * CONFIG_CHANGES) / 2;
    rows.push({
      stage: `configuration of ${CONFIG_ROUTES} routes`,
      'cpu ms': round((changeSeconds / VMS / CONFIG_CHANGES) * MS_PER_SECOND),
      unit: 'a vm and change',
    });
    rows.push({
      stage: 'memory',
      'cpu ms': round(getMedian(fleet.vms.map(({ pid }) => readPeakMegabytes(pid)))),
      unit: 'MB, the peak of the median vm',
    });
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
