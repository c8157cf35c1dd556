/**
 * A stand-in for the platform's store, as PROTOCOL.md describes it: keyed topics, appends under a condition, reads that wait,
 * the newest record of each key. Entries of engines are removed after three heartbeats of silence.
 */
import { createServer } from 'node:http';
import { sleep } from './common.mjs';

const APPEND_MS = 4;
const ENTRIES_MAX = 500;

class Topic {
  records = [];

  listeners = new Set();

  append(bytes) {
    for (let position = 0; position < bytes.length;) {
      const length = bytes.readUInt32BE(position);
      const record = bytes.subarray(position, position + 4 + length);
      const keyEnd = 5 + record[4];
      this.records.push({
        bytes: record,
        key: record.toString('utf8', 5, keyEnd),
        value: record.subarray(keyEnd),
        at: performance.now(),
      });
      position += 4 + length;
    }
    this.wake();
  }

  /** Forgets the records of the last `ms`. */
  rewind(ms) {
    const oldestLost = performance.now() - ms;
    this.records = this.records.filter(({ at }) => at < oldestLost);
    this.wake();
  }

  wake() {
    const { listeners } = this;
    this.listeners = new Set();
    listeners.forEach((wake) => wake());
  }

  /** Resolves at the next append, or after a time. */
  wait(ms) {
    return new Promise((resolve) => {
      const timer = setTimeout(resolve, ms);
      this.listeners.add(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }

  getNewest() {
    const newest = new Map();
    this.records.forEach(({ key, value }, offset) => {
      newest.delete(key);
      if (value.length > 0) {
        newest.set(key, { value, offset });
      }
    });
    return newest;
  }
}

export class Store {
  topics = new Map();

  lastBeats = new Map();

  /** What the operator and the engines wrote last, by topic and key. */
  written = new Map();

  /** The number in `Store-Era`; `undefined` for a store that names none. */
  era;

  isAway = false;

  server = createServer({ keepAlive: true }, (message, response) => {
    this.handle(message, response).catch(() => response.destroy());
  });

  constructor({ heartbeatMs = 1_200 } = {}) {
    // A store that is not idle for long closes no connection.
    this.server.keepAliveTimeout = 0;
    this.expiry = setInterval(() => this.expire(3 * heartbeatMs), 100);
  }

  listen(port = 0, host = '127.0.0.1') {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, () => resolve(this.server.address().port));
    });
  }

  stop() {
    clearInterval(this.expiry);
    this.server.close();
    this.server.closeAllConnections();
  }

  getTopic(name) {
    if (!this.topics.has(name)) {
      this.topics.set(name, new Topic());
    }
    return this.topics.get(name);
  }

  /** Appends a record at once, as the operator and the engines do; `undefined` drops the key. */
  put(topic, key, value) {
    const keyBytes = Buffer.from(key);
    const valueBytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    const head = Buffer.alloc(5);
    head.writeUInt32BE(1 + keyBytes.length + valueBytes.length);
    head.writeUInt8(keyBytes.length, 4);
    this.written.set(`${topic}/${key}`, { topic, key, value });
    if (!this.isAway) {
      this.getTopic(topic).append(Buffer.concat([head, keyBytes, valueBytes]));
    }
  }

  /** Is away: connections are closed without an answer. */
  goAway() {
    this.isAway = true;
    this.server.closeAllConnections();
  }

  /** Comes back from a copy; the operator and the engines write again what they wrote. */
  comeBack(copyAgeMs) {
    this.era += 1;
    this.topics.forEach((topic) => topic.rewind(copyAgeMs));
    this.isAway = false;
    this.written.forEach(({ topic, key, value }) => this.put(topic, key, value));
  }

  putConfig(config) {
    this.put('keyed.op', 'config', config);
  }

  getEraHeaders() {
    return this.era === undefined ? {} : { 'Store-Era': String(this.era) };
  }

  /** The beat of an engine. */
  putEntry(id, entry) {
    this.lastBeats.set(id, performance.now());
    this.put('keyed.servers', id, entry);
  }

  removeEntry(id) {
    if (this.lastBeats.delete(id)) {
      this.put('keyed.servers', id, undefined);
    }
  }

  expire(lifetimeMs) {
    const oldest = performance.now() - lifetimeMs;
    [...this.lastBeats].filter(([, at]) => at < oldest).forEach(([id]) => this.removeEntry(id));
  }

  async handle(message, response) {
    if (this.isAway) {
      response.destroy();
      return;
    }
    const url = new URL(message.url, 'http://store');
    const query = url.searchParams;
    const chunks = [];
    for await (const chunk of message) {
      chunks.push(chunk);
    }
    const topic = this.getTopic(
      query.get('part') === '0' ? query.get('topic') : `${query.get('topic')}/${query.get('part')}`,
    );
    const sendJson = (status, body) => {
      response.writeHead(status, { 'content-type': 'application/json', ...this.getEraHeaders() });
      response.end(JSON.stringify(body));
    };
    switch (`${message.method} ${url.pathname}`) {
      case 'POST /shallotrock/log-append': {
        await sleep(APPEND_MS);
        const at = query.get('at');
        if (/^keyed\.(op|servers)$/.test(query.get('topic'))) {
          sendJson(403, {});
        } else if (at !== null && Number(at) !== topic.records.length) {
          sendJson(412, { endOffset: topic.records.length });
        } else {
          const offset = topic.records.length;
          topic.append(Buffer.concat(chunks));
          sendJson(200, { offset, endOffset: topic.records.length });
        }
        break;
      }
      case 'GET /shallotrock/log-read': {
        const from = Number(query.get('from'));
        if (from > topic.records.length) {
          sendJson(410, { startOffset: 0 });
          break;
        }
        if (from === topic.records.length && Number(query.get('waitMs') ?? 0) > 0) {
          await topic.wait(Number(query.get('waitMs')));
        }
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(topic.records.length));
        response.writeHead(200, this.getEraHeaders());
        response.end(Buffer.concat([head, ...topic.records.slice(from).map(({ bytes }) => bytes)]));
        break;
      }
      case 'GET /shallotrock/log-newest': {
        const after = query.get('after') ?? '';
        const rest = [...topic.getNewest()]
          .filter(([key]) => key > after)
          .sort(([a], [b]) => (a < b ? -1 : 1));
        const entries = rest.slice(0, ENTRIES_MAX).map(([key, { value, offset }]) => ({
          key,
          data: value.toString('base64'),
          offset,
        }));
        sendJson(200, {
          entries,
          hasMore: rest.length > entries.length,
          endOffset: topic.records.length,
        });
        break;
      }
      default:
        sendJson(404, {});
    }
  }
}
