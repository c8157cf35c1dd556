/**
 * A stand-in for an engine, as PROTOCOL.md describes it. Paths that begin with `/s` are streams of events with increasing ids;
 * all others are plain requests. It keeps its entry in the store, can crash, and can start again under its id.
 */
import { createServer } from 'node:http';
import { sleep } from './common.mjs';

export class Engine {
  /** What it did with each request: `{ id, engine, version, kind, at, ... }`. */
  runs;

  server;

  sequence = 0;

  born = 0;

  isUp = false;

  isDraining = false;

  options;

  constructor(options) {
    this.options = {
      host: '127.0.0.1',
      heartbeatMs: 1_200,
      slots: 64,
      version: 'v1',
      zone: 'z',
      firstMs: 20,
      eventMs: 50,
      events: 20,
      workMs: 20,
      onCrashPart: undefined,
      ...options,
    };
    this.runs = this.options.runs ?? [];
  }

  /** Starts to listen, then writes its entry. */
  async start({ version = this.options.version } = {}) {
    const { host, store, id } = this.options;
    this.options.version = version;
    this.born = Date.now();
    this.sequence = 0;
    const server = createServer((message, response) => {
      this.handle(message, response, server).catch(() => response.destroy());
    });
    server.keepAliveTimeout = 15_000;
    this.server = server;
    await new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen(this.options.port ?? 0, host, resolve);
    });
    this.options.port = server.address().port;
    this.isUp = true;
    this.beat();
    this.beats = setInterval(() => this.beat(), this.options.heartbeatMs);
    this.options.record?.add(`engine ${id} starts, software ${version}`);
    return store;
  }

  beat() {
    const { store, id, service, host, zone, slots, version } = this.options;
    this.sequence += 1;
    store.putEntry(id, {
      service,
      address: `${host}:${this.options.port}`,
      zone,
      version,
      slots,
      state: this.isDraining ? 'draining' : 'ready',
      warmupLeftMs: 0,
      phase: 'unified',
      models: [{ name: 'm', version: 1, loras: [] }],
      seq: this.sequence,
      born: this.born,
    });
  }

  /** Says in its entry that it leaves. */
  drain() {
    this.isDraining = true;
    this.beat();
  }

  /** Ends after it has drained, and takes its entry away. */
  leave() {
    this.crash();
    this.options.store.removeEntry(this.options.id);
  }

  /** Ends at once: sends nothing more, and its connections are closed. */
  crash() {
    if (!this.isUp) {
      return;
    }
    this.options.record?.add(`engine ${this.options.id} crashes`);
    this.isUp = false;
    clearInterval(this.beats);
    this.server.close();
    this.server.closeAllConnections();
  }

  stop() {
    this.crash();
  }

  async handle(message, response, server) {
    const { id } = this.options;
    const { headers } = message;
    const chunks = [];
    for await (const chunk of message) {
      chunks.push(chunk);
    }
    const attempt = headers['shallotrock-attempt-id'];
    const echo = {
      'Shallotrock-Instance-Id': id,
      ...(attempt === undefined ? {} : { 'Shallotrock-Attempt-Id': attempt }),
    };
    if (message.url === '/healthz') {
      response.writeHead(200, echo).end();
      return;
    }
    if (attempt === undefined) {
      response.writeHead(400, { ...echo, 'Shallotrock-Not-Executed': '1' }).end();
      return;
    }
    const expected = headers['shallotrock-expect-instance'];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { ...echo, 'Shallotrock-Not-Executed': '1' }).end();
      return;
    }
    const run = {
      id: attempt,
      engine: id,
      version: this.options.version,
      born: this.born,
      path: message.url,
      deadlineMs: Number(headers['shallotrock-deadline-ms']),
      at: performance.now(),
    };
    this.runs.push(run);
    this.options.record?.add(`${attempt} runs at engine ${id}, ${message.method} ${message.url}`);
    this.options.onRun?.(run, headers);
    const seal = { ...echo, 'Shallotrock-Instance-Seal': `${id}.${this.born}.${attempt}` };
    if (message.url.startsWith('/s')) {
      await this.stream(message, response, server, seal);
      return;
    }
    await sleep(this.options.workMs);
    response.writeHead(200, { ...seal, 'content-type': 'text/plain' });
    response.end(`done ${attempt} at ${id} ${this.options.version}`);
  }

  async stream({ headers }, response, server, seal) {
    const { id, version, events, firstMs, eventMs, onBegin } = this.options;
    const isGone = () => response.destroyed || this.server !== server || !this.isUp;
    await sleep(firstMs);
    if (isGone()) {
      return;
    }
    if (onBegin?.(headers)) {
      return;
    }
    response.writeHead(200, { ...seal, 'content-type': 'text/event-stream' });
    const first = Number(headers['last-event-id'] ?? 0) + 1;
    for (let event = first; event <= events; event += 1) {
      if (isGone()) {
        return;
      }
      response.write(`id: ${event}\ndata: ${event} at ${id} software ${version}\n\n`);
      await sleep(eventMs);
    }
    response.end();
  }
}
