/** A gateway as a process of its own, with the store and endpoints on loopback in the process of the test. */
import { spawn, type ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { createServer as createTcpServer, type AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { TestContext } from 'node:test';
import { stringify } from 'smol-toml';
import { CONFIG_KEY, READINESS_PATH, topics } from '../../platform/names.js';
import { getRepositoryPath } from '../../launch/processes.js';
import { StoreStandin } from '../../standins/storeStandin.js';
import { sleep, waitFor } from './fleetCalls.js';
import { HOST, sendEvents, sendResponse } from './gatewayFleet.js';

/** The paths of calls that may run at most once: one with a buffered response, one with a stream. */
export const callPaths = { booking: '/book/2f', stream: '/quote/2f' } as const;

/** The grace period of the gateways, in seconds. */
export const GRACE_S = 3;

const SERVICE = 'engines';
const BOOKING_MS = 90;
const EVENT_MS = 25;
const EVENT_COUNT = 20;

/** How a process ended. */
export interface ProcessEnd {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** Options of a gateway process. */
export interface SignalledGatewayOptions {
  /** Default: the executable. */
  readonly script?: string;
  /** Occupies the port for peers, so that the start of the gateway fails. Default false. */
  readonly isPeerPortTaken?: boolean;
}

/** A running gateway process. */
export class SignalledGateway {
  /** Calls that an endpoint has run, by id. */
  readonly runs = new Set<string>();

  /** Everything that the process has logged. */
  log = '';

  readonly ended: Promise<ProcessEnd>;

  private constructor(
    private readonly child: ChildProcess,
    readonly ports: readonly number[],
  ) {
    child.stderr!.on('data', (bytes: Buffer) => {
      this.log += bytes.toString();
    });
    this.ended = once(child, 'close').then(([code, signal]) => ({ code, signal }));
  }

  /** Starts the store, an endpoint and the gateway; all of them end with the test. */
  static async spawn(
    context: TestContext,
    options: SignalledGatewayOptions = {},
  ): Promise<SignalledGateway> {
    const { script = 'dist/src/daemons/shallotrock.js', isPeerPortTaken = false } = options;
    const store = new StoreStandin();
    const storePort = await store.listen();
    context.after(() => store.crash());
    const ports = await findFreePorts(3);
    if (isPeerPortTaken) {
      const other = createTcpServer().listen(ports[2], '127.0.0.1');
      await once(other, 'listening');
      context.after(() => other.close());
    }
    const folder = mkdtempSync(join(tmpdir(), 'shallotrock-'));
    context.after(() => rmSync(folder, { recursive: true }));
    const settings = join(folder, 'gateway.toml');
    writeFileSync(settings, stringify(createSettings(ports, storePort)));
    const child = spawn(
      process.execPath,
      [getRepositoryPath(script), 'gateway', '--settings', settings],
      { stdio: ['ignore', 'ignore', 'pipe'] },
    );
    context.after(() => child.kill('SIGKILL'));
    const gateway = new SignalledGateway(child, ports);
    const endpointPort = await startEndpoint(context, gateway.runs);
    store.put(topics.operator, CONFIG_KEY, createConfig());
    store.put(topics.endpoints, 'i-1', {
      service: SERVICE,
      address: `127.0.0.1:${endpointPort}`,
      zone: 'tpe-a',
      version: 'v1',
      slots: 64,
      state: 'ready',
      warmupLeftMs: 0,
      seq: 1,
      born: 1,
    });
    return gateway;
  }

  /** Waits until the gateway reports that it is ready. */
  async waitUntilReady(): Promise<void> {
    await waitFor(async () => {
      const url = `http://127.0.0.1:${this.ports[1]}${READINESS_PATH}`;
      const response = await fetch(url).catch(() => undefined);
      await response?.text();
      return response?.status === 200;
    });
  }

  /** Sends a signal. */
  signal(name: NodeJS.Signals): void {
    this.child.kill(name);
  }

  /** Returns the logged lines with a message. */
  getLogLines(message: string): Record<string, unknown>[] {
    return this.log
      .split('\n')
      .filter((line) => line.startsWith('{') && line.includes(`"message":"${message}"`))
      .map((line) => JSON.parse(line));
  }
}

function createSettings(ports: readonly number[], storePort: number) {
  const [frontend, readiness, controlPlane] = ports.map((port) => `127.0.0.1:${port}`);
  return {
    nodeName: 'edge-a',
    role: 'router',
    ip: '127.0.0.1',
    zone: 'tpe-a',
    region: 'tw-north',
    seeds: [],
    listen: { frontend, readiness, controlPlane },
    limits: { cpuQuota: 0.675, cores: 1 },
    bounds: {
      graceS: GRACE_S,
      drainMs: 2_000,
      stableWindowMs: 3_000,
      retryRatio: 0.2,
      retryWindowS: 10,
      retryBurst: 58,
    },
    platform: { address: `127.0.0.1:${storePort}` },
  };
}

function createConfig() {
  const route = {
    hostname: HOST,
    service: SERVICE,
    attempts: 1,
    timeoutMs: 2_000,
    latencyTargetMs: 300,
    public: true,
    sticky: false,
    resumable: false,
    priority: 2,
  };
  return {
    version: 7,
    routes: [
      { ...route, name: 'r-book', pathPrefix: '/book/', type: 'non_idempotent' },
      { ...route, name: 'r-quote', pathPrefix: '/quote/', type: 'streaming', itlTargetMs: 200 },
    ],
    services: [
      { name: SERVICE, healthPath: '/healthz', maxConns: 300, protocol: 'h1', tls: false },
    ],
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  };
}

/** Starts an endpoint that records the calls that it runs; resolves with its port. */
async function startEndpoint(context: TestContext, runs: Set<string>): Promise<number> {
  const handle = async (message: IncomingMessage, response: ServerResponse) => {
    message.resume();
    await once(message, 'end');
    runs.add(String(message.headers['shallotrock-attempt-id']));
    if (message.url === callPaths.booking) {
      await sleep(BOOKING_MS);
      sendResponse(message, response, 'b'.repeat(800));
      return;
    }
    sendEvents(message, response, []);
    for (let id = 1; id <= EVENT_COUNT && !response.destroyed; id += 1) {
      response.write(`id: ${id}\ndata: t${id}\n\n`);
      await sleep(EVENT_MS);
    }
    response.end();
  };
  const server = createServer((message, response) => {
    if (message.method === 'GET') {
      response.writeHead(200).end();
      return;
    }
    handle(message, response).catch(() => response.destroy());
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  context.after(() => {
    server.close();
    server.closeAllConnections();
  });
  return (server.address() as AddressInfo).port;
}

async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createTcpServer().listen(0, '127.0.0.1'));
  await Promise.all(servers.map((server) => once(server, 'listening')));
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  await Promise.all(servers.map((server) => once(server.close(), 'close')));
  return ports;
}
