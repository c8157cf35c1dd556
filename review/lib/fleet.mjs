/**
 * Stand-ins for the platform, the engines and the clients, and the start of gateways as separate processes. Everything
 * listens on loopback addresses; each gateway has an address of its own in 127.0.0.0/8, as each machine has on the platform.
 */
import { spawn } from 'node:child_process';
import { randomBytes } from 'node:crypto';
import { appendFileSync, mkdtempSync, rmSync, writeFileSync, openSync } from 'node:fs';
import { Agent, createServer, request } from 'node:http';
import { connect, createServer as createTcpServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { StoreStandin } from '../../dist/standins/storeStandin.js';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

export const HOST = 'ficu95.example';

/** The figures of the deployment sheet (jinfeng-hq). */
export const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  stableWindowMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 8,
  lossSlackMs: 200,
  configApplyMs: 2000,
  rollbackSlackMs: 250,
  maxSkewMs: 5000,
  revokeMs: 5000,
  retryRatio: 0.2,
  retryWindowS: 10,
  retryBurst: 58,
  recoverS: 12,
  deliveryLagMs: 120,
  retryAfterS: 10,
  settle_ms: 1500,
};

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Writes lines with the time since the start to `record.txt` and to standard output. */
export class Recorder {
  constructor(file) {
    this.file = file;
    this.startedAt = Date.now();
    writeFileSync(file, '');
  }

  now() {
    return (Date.now() - this.startedAt) / 1000;
  }

  write(text) {
    appendFileSync(this.file, `${this.now().toFixed(3)} ${text}\n`);
  }

  say(text) {
    this.write(text);
    process.stdout.write(`${this.now().toFixed(3)} ${text}\n`);
  }
}

/** The platform's store. `intercept` may take a call: it returns true if it has dealt with it. */
export class Store extends StoreStandin {
  intercept = async () => false;

  async handle(message, response) {
    const url = new URL(message.url ?? '/', 'http://store');
    if (url.pathname === '/shallotrock/log-append') {
      const chunks = [];
      for await (const chunk of message) {
        chunks.push(chunk);
      }
      const body = Buffer.concat(chunks);
      const call = { url, body, from: message.socket.remoteAddress, message, response };
      if (await this.intercept(call)) {
        return;
      }
      this.append(
        this.getTopic(url.searchParams.get('topic')),
        body,
        url.searchParams.get('at'),
        response,
      );
      return;
    }
    if (await this.intercept({ url, from: message.socket.remoteAddress, message, response })) {
      return;
    }
    await super.handle(message, response);
  }

  /** Appends a record as its condition says; returns whether it was stored. */
  tryAppend(url, body) {
    const topic = this.getTopic(url.searchParams.get('topic'));
    const at = url.searchParams.get('at');
    if (at !== null && Number(at) !== topic.records.length) {
      return false;
    }
    topic.append(body);
    return true;
  }

  remove(topicName, key) {
    const keyBytes = Buffer.from(key);
    const head = Buffer.alloc(5);
    head.writeUInt32BE(1 + keyBytes.length);
    head.writeUInt8(keyBytes.length, 4);
    this.getTopic(topicName).append(Buffer.concat([head, keyBytes]));
  }
}

export function refuse(response, status) {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end('{}');
}

/** A free port that is free on every loopback address used. */
export async function findFreePorts(count) {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve, reject) => {
          const server = createTcpServer();
          server.on('error', reject);
          server.listen(0, '0.0.0.0', () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
}

/** One engine or plain server that registers itself in the store. `handle` answers the requests. */
export class Engine {
  seq = 0;

  state = 'ready';

  runs = [];

  constructor({ store, service, host, zone = 'tpe-a', slots = 64, handle, id, recorder }) {
    Object.assign(this, { store, service, host, zone, slots, handle, recorder });
    this.id = id ?? `i-${randomBytes(5).toString('hex')}`;
    this.born = Date.now();
  }

  async start(port = 0) {
    this.server = createServer((message, response) => {
      response.on('error', () => {});
      const expected = message.headers['shallotrock-expect-instance'];
      if (message.url === '/healthz') {
        response.writeHead(200, { 'shallotrock-instance-id': this.id }).end();
        return;
      }
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, { 'shallotrock-instance-id': this.id }).end();
        return;
      }
      this.handle(this, message, response);
    });
    this.server.on('connection', (socket) => socket.on('error', () => {}));
    await new Promise((resolve) => {
      this.server.listen(port, this.host, resolve);
    });
    this.port = this.server.address().port;
    this.beat();
    // Engines write every 1,200 ms, each at a time of its own.
    this.timer = setTimeout(() => {
      this.beat();
      this.timer = setInterval(() => this.beat(), 1200);
    }, Math.random() * 1200);
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

  stopBeating() {
    clearInterval(this.timer);
  }

  stop() {
    this.stopBeating();
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** The headers with which an engine answers a request. */
export function answerHeaders(message, more = {}) {
  return {
    'shallotrock-attempt-id': message.headers['shallotrock-attempt-id'],
    'shallotrock-instance-seal': '3e1b.07.5a2.600.0.c9f2a4d1',
    ...more,
  };
}

/** One gateway process, started with the command of the deploy file. */
export class Gateway {
  constructor({ directory, name, ip, zone, ports, storeAddress, seeds }) {
    Object.assign(this, { name, ip, zone, ports });
    this.file = join(directory, `${name}.toml`);
    this.log = join(directory, `${name}.log`);
    const [frontend, readiness, controlPlane] = ports;
    const bounds = Object.entries(BOUNDS).map(([key, value]) => `${key} = ${value}`);
    writeFileSync(
      this.file,
      [
        `nodeName = "${name}"`,
        'role = "router"',
        'machineClass = "edge"',
        'serves = ["edge", "ctrl"]',
        `ip = "${ip}"`,
        `zone = "${zone}"`,
        'region = "tw-north"',
        `seeds = [${seeds.map((seed) => `"${seed}"`).join(', ')}]`,
        'bootstrap = true',
        'heartbeatMs = 1200',
        '[listen]',
        `frontend = "${ip}:${frontend}"`,
        `readiness = "${ip}:${readiness}"`,
        `controlPlane = "${ip}:${controlPlane}"`,
        '[limits]',
        'cpuQuota = 0.675',
        'cores = 1',
        'memoryMb = 350',
        'maxFds = 4100',
        '[bounds]',
        ...bounds,
        '[platform]',
        `address = "${storeAddress}"`,
        'form = "log"',
        '',
      ].join('\n'),
    );
  }

  start() {
    const fd = openSync(this.log, 'a');
    this.child = spawn(
      process.execPath,
      [
        '--max-old-space-size=160',
        '--max-http-header-size=65536',
        'target/src/daemons/shallotrock.js',
        'gateway',
      ],
      {
        cwd: ROOT,
        env: { PATH: process.env.PATH, HOME: process.env.HOME, SHALLOTROCK_NODE_FILE: this.file },
        stdio: ['ignore', fd, fd],
      },
    );
    this.exited = new Promise((resolve) => {
      this.child.on('exit', (code, signal) => {
        this.ended = { code, signal };
        resolve(this.ended);
      });
    });
  }

  signal(name) {
    this.child.kill(name);
  }

  async isReady() {
    try {
      const response = await fetch(`http://${this.ip}:${this.ports[1]}/shallotrock/readyz`);
      await response.text();
      return response.status === 200;
    } catch {
      return false;
    }
  }

  async waitUntilReady(timeoutMs = 15000) {
    for (let waited = 0; waited < timeoutMs; waited += 50) {
      if (await this.isReady()) {
        return;
      }
      await sleep(50);
    }
    throw new CannotRun(`${this.name} did not get ready`);
  }
}

export class CannotRun extends Error {}

export const createAttemptId = () => randomBytes(8).toString('hex');

/** Sends one request; resolves with what the client saw. */
export function callGateway({
  gateway,
  path,
  method = 'POST',
  headers = {},
  body = 'x',
  agent = false,
  id = createAttemptId(),
  key = 'key-1',
  deadlineMs = 15000,
  onData = () => {},
}) {
  return new Promise((resolve) => {
    const startedAt = Date.now();
    const result = { id, status: undefined, body: '', isComplete: false, headers: {} };
    let isDone = false;
    let timer;
    const finish = (error) => {
      if (!isDone) {
        isDone = true;
        clearTimeout(timer);
        resolve({ ...result, error, ms: Date.now() - startedAt });
      }
    };
    const clientRequest = request({
      host: gateway.ip,
      port: gateway.ports[0],
      agent,
      method,
      path,
      headers: {
        host: HOST,
        'shallotrock-attempt-id': id,
        'shallotrock-credential': key,
        'shallotrock-deadline-ms': String(deadlineMs),
        ...(method === 'GET' ? {} : { 'content-length': Buffer.byteLength(body) }),
        ...headers,
      },
    });
    timer = setTimeout(() => {
      clientRequest.destroy();
      finish('deadline');
    }, deadlineMs);
    clientRequest.on('error', (error) => finish(error.code ?? error.message));
    clientRequest.on('close', () => finish('closed'));
    clientRequest.on('response', (response) => {
      result.status = response.statusCode;
      result.headers = response.headers;
      response.on('data', (chunk) => {
        result.body += chunk.toString('latin1');
        onData(chunk);
      });
      response.on('end', () => {
        result.isComplete = response.complete;
        finish(response.complete ? undefined : 'truncated');
      });
      response.on('error', (error) => finish(error.code ?? error.message));
    });
    clientRequest.end(method === 'GET' ? undefined : body);
  });
}

export const createAgent = () => new Agent({ keepAlive: true, maxSockets: 1000 });

/** Runs a case and exits with its result; ends every process that it started. */
export async function runCase(folder, play) {
  const recorder = new Recorder(join(folder, 'record.txt'));
  const directory = mkdtempSync(join(tmpdir(), 'review-'));
  const gateways = [];
  const cleanups = [];
  let watchdog;
  const end = (code, text) => {
    clearTimeout(watchdog);
    recorder.say(text);
    gateways.forEach(({ child }) => child?.kill('SIGKILL'));
    cleanups.forEach((cleanup) => cleanup());
    if (process.env.KEEP_LOGS) {
      process.stdout.write(`logs: ${directory}\n`);
    } else {
      rmSync(directory, { recursive: true, force: true });
    }
    process.exit(code);
  };
  watchdog = setTimeout(() => end(2, 'the case took too long'), 115_000);
  process.on('SIGTERM', () => end(2, 'stopped'));
  process.on('SIGINT', () => end(2, 'stopped'));
  const context = {
    recorder,
    directory,
    onEnd: (cleanup) => cleanups.push(cleanup),
    /** Starts `count` gateways, each with an address of its own, up to `staggerMs` after one another. */
    async startGateways(count, storeAddress, { staggerMs = 0 } = {}) {
      const zones = ['tpe-a', 'tpe-b', 'tpe-c'];
      const ports = await findFreePorts(3);
      const ips = Array.from({ length: count }, (_, index) => `127.1.0.${40 + index}`);
      const seeds = ips.slice(0, 3).map((ip) => `${ip}:${ports[2]}`);
      const created = ips.map(
        (ip, index) =>
          new Gateway({
            directory,
            name: `edge-${String.fromCharCode(97 + index)}`,
            ip,
            zone: zones[index % zones.length],
            ports,
            storeAddress: Array.isArray(storeAddress) ? storeAddress[index] : storeAddress,
            seeds,
          }),
      );
      for (const gateway of created) {
        gateways.push(gateway);
        gateway.start();
        await sleep(Math.random() * staggerMs);
      }
      await Promise.all(created.map((gateway) => gateway.waitUntilReady()));
      return created;
    },
  };
  try {
    const { isBroken, text } = await play(context);
    end(isBroken ? 1 : 0, `${isBroken ? 'BROKEN' : 'held'}: ${text}`);
  } catch (error) {
    end(2, `could not run: ${error.stack}`);
  }
}

/** A TCP proxy on a loopback address, which can be cut (bytes stop, nothing is closed) and whose connections can be reset. */
export class Proxy {
  pairs = new Set();

  isCut = false;

  constructor({ host, target }) {
    Object.assign(this, { host, target });
  }

  async start() {
    this.server = createTcpServer((inner) => {
      const outer = connect(this.target.port, this.target.host);
      const pair = { inner, outer };
      this.pairs.add(pair);
      const close = () => {
        this.pairs.delete(pair);
        inner.destroy();
        outer.destroy();
      };
      [inner, outer].forEach((socket) => {
        socket.setNoDelay(true);
        socket.on('error', close);
        socket.on('close', close);
      });
      inner.pipe(outer);
      outer.pipe(inner);
      if (this.isCut) {
        this.freeze(pair);
      }
    });
    await new Promise((resolve) => {
      this.server.listen(0, this.host, resolve);
    });
    this.port = this.server.address().port;
  }

  freeze({ inner, outer }) {
    inner.unpipe(outer);
    outer.unpipe(inner);
    inner.pause();
    outer.pause();
  }

  /** Nothing passes any more, on open connections and on new ones. */
  cut() {
    this.isCut = true;
    this.pairs.forEach((pair) => this.freeze(pair));
  }

  heal() {
    this.isCut = false;
    this.pairs.forEach(({ inner, outer }) => {
      inner.pipe(outer);
      outer.pipe(inner);
    });
  }

  /** The open connections go silent for good; new ones work. */
  silence() {
    this.pairs.forEach((pair) => this.freeze(pair));
  }

  /** Resets every open connection. */
  reset() {
    this.pairs.forEach(({ inner, outer }) => {
      inner.resetAndDestroy();
      outer.destroy();
    });
  }

  stop() {
    this.server.close();
    this.pairs.forEach(({ inner, outer }) => {
      inner.destroy();
      outer.destroy();
    });
  }
}
