/**
 * What the scripts of this review share: the record, the store, gateways as processes of the deploy file, and engines that
 * follow PROTOCOL.md. Everything listens on loopback addresses.
 */
import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { closeSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer as createHttpServer, request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
export const HAS_TROUBLE = process.env.TROUBLE !== '0';
const HEARTBEAT_MS = 1_200;

const children = new Set();
process.on('exit', () => children.forEach((child) => child.kill('SIGKILL')));
['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((name) => process.on(name, () => process.exit(2)));

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Writes `record.txt` beside a script. */
export class Record {
  constructor(scriptUrl) {
    this.file = join(dirname(fileURLToPath(scriptUrl)), 'record.txt');
    this.startedAt = Date.now();
    this.lines = [];
  }

  add(text) {
    const at = ((Date.now() - this.startedAt) / 1_000).toFixed(3).padStart(8);
    this.lines.push(`${at}  ${text}`);
  }

  /** Writes the file and prints the last lines. */
  save(shownCount = 12) {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
    process.stdout.write(`${this.lines.slice(-shownCount).join('\n')}\n`);
  }
}

/** Returns ports that are free on every loopback address. */
export async function findFreePorts(count) {
  const servers = Array.from({ length: count }, () => createServer().listen(0, '0.0.0.0'));
  await Promise.all(servers.map((server) => once(server, 'listening')));
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map(async (server) => {
      server.close();
      await once(server, 'close');
    }),
  );
  return ports;
}

/** One process of the deploy file's role, which the platform starts again after it has ended. */
export class Gateway {
  isRunning = false;

  constructor(options) {
    this.options = { memoryMb: 350, maxFds: 4_100, graceS: 8, retryBurst: 58, ...options };
    const { directory, name } = this.options;
    this.name = name;
    this.settingsFile = join(directory, `${name}.toml`);
    this.logFile = join(directory, `${name}.log`);
    writeFileSync(this.settingsFile, createSettings(this.options));
  }

  spawn() {
    const log = openSync(this.logFile, 'a');
    const run = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8').match(/^run = "(.*)"$/m)[1];
    const [program, ...args] = run.split(' ');
    this.child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        SHALLOTROCK_NODE_FILE: this.settingsFile,
      },
      stdio: ['ignore', log, log],
    });
    closeSync(log);
    this.isRunning = true;
    const { child } = this;
    children.add(child);
    this.ended = new Promise((resolve) => {
      child.on('exit', (code, signal) => {
        children.delete(child);
        if (this.child === child) {
          this.isRunning = false;
        }
        resolve({ code, signal });
      });
    });
  }

  async start(timeoutMs = 15_000) {
    this.spawn();
    const deadline = Date.now() + timeoutMs;
    while (this.isRunning && Date.now() < deadline) {
      if (await this.isReady()) {
        return true;
      }
      await sleep(50);
    }
    return false;
  }

  signal(name) {
    if (this.isRunning) {
      this.child.kill(name);
    }
  }

  async isReady() {
    const { host, ports } = this.options;
    try {
      const answer = await send({ host, port: ports[1], path: '/shallotrock/readyz' });
      return answer.status === 200;
    } catch {
      return false;
    }
  }

  getResidentMb() {
    try {
      const status = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
      return Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0) / 1_024;
    } catch {
      return 0;
    }
  }

  getLog() {
    return readFileSync(this.logFile, 'utf8')
      .split('\n')
      .filter((line) => line.startsWith('{'))
      .map((line) => JSON.parse(line));
  }
}

/** The settings of the platform's pages, with the bounds of the small deployments. */
function createSettings(options) {
  const { name, host, ports, seeds, storeAddress, graceS, memoryMb, maxFds } = options;
  const { retryBurst, zone = 'tpe-a' } = options;
  return `nodeName = "${name}"
role = "router"
machineClass = "edge"
serves = ["edge","ctrl"]
ip = "${host}"
zone = "${zone}"
region = "tw-north"
seeds = [${seeds.map((seed) => `"${seed}"`).join(',')}]
bootstrap = true
heartbeatMs = ${HEARTBEAT_MS}
[listen]
frontend = "${host}:${ports[0]}"
readiness = "${host}:${ports[1]}"
controlPlane = "${host}:${ports[2]}"
[limits]
cpuQuota = 0.675
cores = 1
memoryMb = ${memoryMb}
maxFds = ${maxFds}
[bounds]
stableWindowMs = 3000
drainMs = 2000
graceS = ${graceS}
configApplyMs = 2000
retryRatio = 0.2
retryWindowS = 10
retryBurst = ${retryBurst}
[platform]
address = "${storeAddress}"
form = "log"
`;
}

export function createDirectory() {
  const directory = mkdtempSync(join(tmpdir(), 'review-'));
  return { directory, remove: () => rmSync(directory, { recursive: true, force: true }) };
}

/** Writes one version of the configuration to the store. */
export function putConfig(store, version, { routes, services, tenants }) {
  store.put('keyed.op', 'config', {
    version,
    routes: routes.map((route) => ({
      hostname: 'shop.example',
      latencyTargetMs: 300,
      itlTargetMs: 200,
      attempts: 1,
      priority: 1,
      ...route,
    })),
    services: services.map((service) => ({ maxConns: 370, ...service })),
    ...(tenants ? { tenants } : {}),
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 4_194_304,
      headerTimeoutMs: 3_000,
      idleTimeoutMs: 15_000,
    },
  });
}

/** An engine that registers itself in the store and hands each request to `handle`. */
export class Engine {
  constructor({ store, id, service, handle, zone = 'tpe-a', slots = 64, host = '127.0.0.1' }) {
    Object.assign(this, { store, id, service, handle, zone, slots, host });
    this.seq = 0;
    this.born = Date.now();
    this.state = 'ready';
    this.server = createHttpServer((message, response) => this.receive(message, response));
    this.server.keepAliveTimeout = 60_000;
  }

  receive(message, response) {
    response.on('error', () => {});
    message.on('error', () => {});
    if (message.headers['shallotrock-expect-instance'] !== this.id) {
      message.resume();
      response.writeHead(421, { 'shallotrock-not-executed': '1' }).end();
      return;
    }
    this.handle(message, response, this);
  }

  async start() {
    this.server.listen(0, this.host);
    await once(this.server, 'listening');
    this.port = this.server.address().port;
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  beat() {
    this.seq += 1;
    this.store.put('keyed.servers', this.id, {
      service: this.service,
      address: `${this.host}:${this.port}`,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: this.state,
      warmupLeftMs: 0,
      seq: this.seq,
      born: this.born,
    });
  }

  /** The headers of a genuine answer. */
  getHeaders(message) {
    return {
      'shallotrock-attempt-id': message.headers['shallotrock-attempt-id'],
      'shallotrock-instance-seal': `${this.id}.seal`,
    };
  }

  /** Ends without a word and starts again at the same address as another incarnation. */
  async crash(downMs) {
    clearInterval(this.timer);
    const closed = once(this.server, 'close');
    this.server.close();
    this.server.closeAllConnections();
    await closed;
    await sleep(downMs);
    this.seq = 0;
    this.born = Date.now();
    this.server.listen(this.port, this.host);
    await once(this.server, 'listening');
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  stop() {
    clearInterval(this.timer);
    this.server.close();
    this.server.closeAllConnections();
  }
}

const RESTART_MS = 500;

/** The platform: "A process that exceeds memoryMb is killed", and is "restarted after a short delay". */
export function watchMemory(gateway, record) {
  const { memoryMb } = gateway.options;
  const watch = { name: gateway.name, ends: 0, peakMb: 0 };
  let isEnding = false;
  let shownAt = 0;
  const timer = setInterval(async () => {
    const residentMb = gateway.getResidentMb();
    watch.peakMb = Math.max(watch.peakMb, residentMb);
    if (Date.now() - shownAt > 2_000) {
      shownAt = Date.now();
      record.add(`${gateway.name}: ${Math.round(residentMb)} MB`);
    }
    if (residentMb <= memoryMb || isEnding) {
      return;
    }
    isEnding = true;
    watch.ends += 1;
    record.add(`${gateway.name}: ${Math.round(residentMb)} MB, killed by the platform`);
    gateway.signal('SIGKILL');
    await gateway.ended;
    await sleep(RESTART_MS);
    await gateway.start();
    isEnding = false;
  }, 20);
  watch.stop = () => clearInterval(timer);
  return watch;
}

/** Sends one request on a connection of its own; resolves with the answer, or rejects when the connection ends early. */
export function send({ body, signal, ...options }) {
  return new Promise((resolve, reject) => {
    const clientRequest = request({ agent: false, signal, ...options }, (response) => {
      const chunks = [];
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', reject);
      response.on('end', () =>
        resolve({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks),
        }),
      );
    });
    clientRequest.on('error', reject);
    clientRequest.end(body);
  });
}
