/** A fleet of gateway processes for benchmarks; the store and the engines run in this process. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { headerNames, READINESS_PATH, SETTINGS_FILE_VARIABLE, topics } from '../platform/names.js';
import { StoreStandin } from '../standins/storeStandin.js';
import { sleep, getProcessCpuSeconds } from './support.js';

/** More vms than are homes, so that not every vm is one. */
export const VM_COUNT = 12;
export const ENGINE_COUNT = 60;
export const BUDGET_COUNT = 24;
export const PORTS = { frontend: 18_080, readiness: 18_081, peers: 18_082 } as const;

const ROUTE_COUNT = 8;
const HEARTBEAT_MS = 1_200;
const PROGRAM_PATH = process.env.GATEWAY_PROGRAM ?? 'target/src/daemons/shallotrock.js';

/** One gateway process and its listen address. */
export interface Vm {
  readonly host: string;
  readonly child: ChildProcess;
  readonly pid: number;
}

export class GatewayBenchFleet {
  readonly store = new StoreStandin();

  private readonly folder = mkdtempSync(join(tmpdir(), 'gateway-bench-'));

  private engine!: Server;

  private storePort = 0;

  private configVersion = 0;

  private heartbeatSequence = 0;

  private heartbeatTimer: NodeJS.Timeout | undefined;

  readonly vms: Vm[] = [];

  async start(): Promise<void> {
    this.storePort = await this.store.listen();
    this.engine = createServer({ keepAliveTimeout: 30_000 }, (message, response) => {
      message.resume();
      message.on('end', () =>
        respondToCall(message.headers[headerNames.callId] as string, message.url!, response),
      );
    });
    this.engine.listen(0, '127.0.0.1');
    await once(this.engine, 'listening');
    this.configure(0);
    this.publishHeartbeats();
    this.heartbeatTimer = setInterval(() => this.publishHeartbeats(), HEARTBEAT_MS);
    for (let index = 0; index < VM_COUNT; index += 1) {
      this.startVm(index);
    }
    await Promise.all(this.vms.map(({ host }) => waitUntilReady(host)));
  }

  async stop(): Promise<void> {
    clearInterval(this.heartbeatTimer);
    this.vms.forEach(({ child }) => child.kill('SIGKILL'));
    this.engine.close();
    this.engine.closeAllConnections();
    await this.store.crash();
    rmSync(this.folder, { recursive: true });
  }

  /** Publishes a configuration with `extraRouteCount` additional routes. */
  configure(extraRouteCount: number): void {
    this.configVersion += 1;
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
      version: this.configVersion,
      routes: [
        ...Array.from({ length: ROUTE_COUNT }, (_, index) =>
          route(`stream${index}`, 'streaming', 'engines'),
        ),
        route('plain', 'idempotent', 'engines'),
        ...Array.from({ length: extraRouteCount }, (_, index) =>
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
      tenants: Array.from({ length: BUDGET_COUNT }, (_, index) => ({
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

  private publishHeartbeats(): void {
    const { port } = this.engine.address() as AddressInfo;
    this.heartbeatSequence += 1;
    for (let index = 0; index < ENGINE_COUNT; index += 1) {
      setTimeout(
        () =>
          this.store.put(topics.endpoints, `engine-${index}`, {
            service: 'engines',
            address: `127.0.0.1:${port}`,
            zone: 'zone-a',
            version: 'v1',
            slots: 64,
            state: 'ready',
            seq: this.heartbeatSequence,
            born: 1,
          }),
        (index * HEARTBEAT_MS) / ENGINE_COUNT,
      );
    }
  }

  private startVm(index: number): void {
    const host = `127.0.1.${index + 1}`;
    const file = join(this.folder, `vm${index}.toml`);
    writeFileSync(file, createSettings(index, host, this.storePort));
    const child = spawn(process.execPath, ['--max-old-space-size=160', PROGRAM_PATH, 'gateway'], {
      env: { ...process.env, [SETTINGS_FILE_VARIABLE]: file },
      stdio: ['ignore', 'ignore', 'ignore'],
    });
    this.vms.push({ host, child, pid: child.pid! });
  }

  /** Runs a function and returns the processor time of each vm meanwhile, in seconds. */
  async measureCpuSeconds(run: () => Promise<void>): Promise<number[]> {
    const before = this.vms.map(({ pid }) => getProcessCpuSeconds(pid));
    await run();
    return this.vms.map(({ pid }, index) => getProcessCpuSeconds(pid) - before[index]!);
  }

  getStoreCallCount(): number {
    return sum([...this.store.callCounts.values()]);
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

function respondToCall(id: string, url: string, response: ServerResponse): void {
  const isStream = url.startsWith('/stream');
  response.writeHead(200, {
    [headerNames.callId]: id,
    [headerNames.seal]: 'seal',
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
    await sleep(50);
  }
}

export function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
