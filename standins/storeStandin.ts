/** A stand-in for the platform's store: keyed topics with one partition each, over HTTP. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { headerNames, storePaths } from '../platform/names.js';
import { encodeKeyedRecord } from '../platform/recordCodec.js';
import { SystemTimers } from '../src/core/timers.js';
import { HttpStandin, readMessageBody, sendJson } from './httpStandin.js';

const clock = new SystemTimers();

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;
const PAGE_RECORDS_MAX = 500;

interface StoredRecord {
  readonly key: string;
  readonly value: Buffer;
  readonly bytes: Buffer;
}

/** The records of one topic and the reads that wait for the next one. */
class StoredTopic {
  readonly records: StoredRecord[] = [];

  private readonly storedAt: number[] = [];

  private readonly appendListeners = new Set<() => void>();

  append(bytes: Buffer): void {
    const keyLength = bytes[LENGTH_BYTES]!;
    const valueStart = LENGTH_BYTES + 1 + keyLength;
    const key = bytes.toString('utf8', LENGTH_BYTES + 1, valueStart);
    this.records.push({ key, value: bytes.subarray(valueStart), bytes });
    this.storedAt.push(clock.now());
    this.wakeReads();
  }

  /** Removes the records stored within the last `ms` and answers the waiting reads. */
  rewind(ms: number): void {
    const oldestLost = clock.now() - ms;
    const kept = this.storedAt.filter((storedAt) => storedAt < oldestLost).length;
    this.records.splice(kept);
    this.storedAt.splice(kept);
    this.wakeReads();
  }

  private wakeReads(): void {
    this.appendListeners.forEach((wake) => wake());
    this.appendListeners.clear();
  }

  /** Resolves at the next append, or after `waitMs`. */
  async waitForRecord(waitMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, waitMs);
      this.appendListeners.add(() => {
        clearTimeout(timer);
        resolve();
      });
    });
  }
}

/** The store. Counts the calls by path, topic and partition. */
export class StoreStandin extends HttpStandin {
  readonly callCounts = new Map<string, number>();

  private readonly topics = new Map<string, StoredTopic>();

  /** The value of the header with the era; `undefined` for a store without the header. */
  private era: number | undefined;

  /** Sends the header with the era from now on. */
  sendEra(era = 1): void {
    this.era = era;
  }

  /** Returns to a copy that is `ms` old: later records are lost and their offsets are assigned again. */
  rewind(ms: number): void {
    this.era = (this.era ?? 0) + 1;
    this.topics.forEach((topic) => topic.rewind(ms));
  }

  /** Appends a record without a check of the topic's end offset. */
  put(topic: string, key: string, value: unknown): void {
    this.getTopic(topic).append(encodeKeyedRecord(key, Buffer.from(JSON.stringify(value))));
  }

  /** Appends a record that removes a key. */
  remove(topic: string, key: string): void {
    this.getTopic(topic).append(encodeKeyedRecord(key, Buffer.alloc(0)));
  }

  protected async handle(message: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(message.url ?? '/', 'http://store');
    const name = `${url.searchParams.get('topic')}/${url.searchParams.get('part')}`;
    const call = `${url.pathname} ${name}`;
    this.callCounts.set(call, (this.callCounts.get(call) ?? 0) + 1);
    const topic = this.getTopic(name.replace(/\/0$/, ''));
    const body = await readMessageBody(message);
    if (this.era !== undefined) {
      response.setHeader(headerNames.storeEra, String(this.era));
    }
    switch (url.pathname) {
      case storePaths.append:
        this.append(topic, body, url.searchParams.get('at'), response);
        break;
      case storePaths.read:
        await this.read(topic, url.searchParams, response);
        break;
      case storePaths.newest:
        StoreStandin.readNewest(topic, url.searchParams.get('after') ?? '', response);
        break;
      default:
        sendJson(response, 404, {});
    }
  }

  private getTopic(name: string): StoredTopic {
    const topic = this.topics.get(name) ?? new StoredTopic();
    this.topics.set(name, topic);
    return topic;
  }

  private append(
    topic: StoredTopic,
    bytes: Buffer,
    at: string | null,
    response: ServerResponse,
  ): void {
    const isExpectedOffset = at === null || Number(at) === topic.records.length;
    if (isExpectedOffset) {
      topic.append(bytes);
    }
    sendJson(response, isExpectedOffset ? 200 : 412, { endOffset: topic.records.length });
  }

  private async read(
    topic: StoredTopic,
    query: URLSearchParams,
    response: ServerResponse,
  ): Promise<void> {
    const from = Number(query.get('from'));
    const waitMs = Number(query.get('waitMs') ?? 0);
    if (waitMs > 0 && from >= topic.records.length) {
      await topic.waitForRecord(waitMs);
      if (this.era !== undefined) {
        response.setHeader(headerNames.storeEra, String(this.era));
      }
    }
    if (from > topic.records.length) {
      sendJson(response, 410, { startOffset: 0 });
      return;
    }
    const header = Buffer.alloc(2 * OFFSET_BYTES);
    header.writeBigUInt64BE(BigInt(topic.records.length));
    response.end(Buffer.concat([header, ...topic.records.slice(from).map(({ bytes }) => bytes)]));
  }

  private static readNewest(topic: StoredTopic, after: string, response: ServerResponse): void {
    const newest = new Map(topic.records.map(({ key, value }, offset) => [key, { value, offset }]));
    const remaining = [...newest]
      .filter(([key]) => key > after)
      .sort(([a], [b]) => (a < b ? -1 : 1));
    const entries = remaining.slice(0, PAGE_RECORDS_MAX).map(([key, { value, offset }]) => ({
      key,
      data: value.toString('base64'),
      offset,
    }));
    const hasMore = remaining.length > entries.length;
    sendJson(response, 200, { entries, hasMore, endOffset: topic.records.length });
  }
}
