/** A stand-in for the platform's log service that injects faults on request. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { encode } from '@msgpack/msgpack';
import type { Offset } from '../src/types/ids.js';
import { HttpStandin, readMessageBody, sendJson, sleep } from './httpStandin.js';
import { InMemoryStream } from './inMemoryStream.js';

/** Faults that the log injects at present. */
export interface LogFaults {
  /** Responds to every request with 503. */
  outage: boolean;
  /** Delay before each response, in milliseconds. */
  slowMs: number;
  /** Number of next appends that are stored but whose connection is closed without a response. */
  loseAnswers: number;
}

export interface LogStandinOptions {
  /** Limit of appends per second over all streams. Default 500. */
  readonly appendsPerSecond?: number;
  /** Retention of records, in milliseconds. Default one hour. */
  readonly retentionMs?: number;
}

const PAGE_RECORDS_MAX = 1_000;
const RETRY_AFTER_S = '0.05';

export class LogStandin extends HttpStandin {
  readonly faults: LogFaults = { outage: false, slowMs: 0, loseAnswers: 0 };

  /** Number of appends that were stored. */
  appendCount = 0;

  private readonly streams = new Map<string, InMemoryStream>();

  private readonly appendListeners = new Set<() => void>();

  private availableAppends: number;

  private lastRefillAt = Date.now();

  constructor(private readonly options: LogStandinOptions = {}) {
    super();
    this.availableAppends = options.appendsPerSecond ?? 500;
  }

  protected override async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(message.url ?? '/', 'http://log');
    if (url.pathname === '/control') {
      Object.assign(this.faults, JSON.parse((await readMessageBody(message)).toString()));
      sendJson(response, 200, { ...this.faults, appends: this.appendCount });
      return;
    }
    const body = await readMessageBody(message);
    if (this.faults.slowMs > 0) {
      await sleep(this.faults.slowMs);
    }
    if (this.faults.outage) {
      sendJson(response, 503, { error: 'outage' });
      return;
    }
    const name = decodeURIComponent(url.pathname.split('/')[2] ?? '');
    const stream = this.getStream(name);
    if (message.method === 'POST') {
      this.append(stream, body, response);
    } else {
      await this.read(stream, url, response);
    }
  }

  private getStream(name: string): InMemoryStream {
    let stream = this.streams.get(name);
    if (!stream) {
      stream = new InMemoryStream();
      this.streams.set(name, stream);
    }
    stream.trimBefore(Date.now() - (this.options.retentionMs ?? 3_600_000));
    return stream;
  }

  private append(stream: InMemoryStream, body: Buffer, response: ServerResponse): void {
    if (!this.tryAcquireAppend()) {
      sendJson(response, 429, { error: 'append rate' }, { 'retry-after': RETRY_AFTER_S });
      return;
    }
    const offset = stream.append(body, Date.now());
    this.appendCount += 1;
    [...this.appendListeners].forEach((wake) => wake());
    if (this.faults.loseAnswers > 0) {
      this.faults.loseAnswers -= 1;
      response.destroy();
      return;
    }
    sendJson(response, 200, { offset });
  }

  private async read(stream: InMemoryStream, url: URL, response: ServerResponse): Promise<void> {
    const from = Number(url.searchParams.get('from') ?? 0) as Offset;
    if (from < stream.getFirstOffset()) {
      sendJson(response, 410, { first: stream.getFirstOffset() });
      return;
    }
    const deadline = Date.now() + Number(url.searchParams.get('waitMs') ?? 0);
    while (stream.getHeadOffset() <= from && Date.now() < deadline && !this.faults.outage) {
      await this.waitForAppend(deadline - Date.now());
    }
    if (this.faults.outage) {
      sendJson(response, 503, { error: 'outage' });
      return;
    }
    const records = stream.read(from, PAGE_RECORDS_MAX).map(({ offset, data }) => [offset, data]);
    response.writeHead(200, { 'content-type': 'application/msgpack' });
    response.end(encode([stream.getFirstOffset(), stream.getHeadOffset(), records]));
  }

  private waitForAppend(timeoutMs: number): Promise<void> {
    return new Promise((resolve) => {
      let timer: NodeJS.Timeout | undefined;
      const finish = () => {
        clearTimeout(timer);
        this.appendListeners.delete(finish);
        resolve();
      };
      timer = setTimeout(finish, Math.min(timeoutMs, 200));
      this.appendListeners.add(finish);
    });
  }

  private tryAcquireAppend(): boolean {
    const { appendsPerSecond = 500 } = this.options;
    const now = Date.now();
    const refill = ((now - this.lastRefillAt) * appendsPerSecond) / 1_000;
    this.availableAppends = Math.min(appendsPerSecond, this.availableAppends + refill);
    this.lastRefillAt = now;
    if (this.availableAppends < 1) {
      return false;
    }
    this.availableAppends -= 1;
    return true;
  }
}
