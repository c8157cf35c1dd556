/** A stand-in for a model engine: streams generated words at a set rate and injects faults on request. */
import { createHash } from 'node:crypto';
import { once } from 'node:events';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { LRUCache } from 'lru-cache';
import { HttpStandin, readMessageBody, sendJson, sleep } from './httpStandin.js';

export interface EngineStandinOptions {
  /** Time between the tokens of one response, in milliseconds. Default 5. */
  readonly tokenIntervalMs?: number;
  /** Number of requests that run concurrently. Default 16. */
  readonly slots?: number;
  /** Tokens of a response, unless the request asks for fewer. Default 12. */
  readonly completionTokens?: number;
  /** Increase of the token interval with every slot in use, as a fraction of it. Default 0. */
  readonly fullBatchSlowdown?: number;
  /** Maximum number of requests that wait for a slot, in order of priority; further ones are refused. Default 0. */
  readonly queueCapacity?: number;
  /** Prefill time of a prompt whose prefix is not cached, in milliseconds. Default 0. */
  readonly prefillMs?: number;
  /** Maximum number of cached prompt prefixes. Default 64. */
  readonly prefixCacheSize?: number;
  /** Age of the reported load, in milliseconds. Default 0. */
  readonly loadLagMs?: number;
  /** Called when a request crashes the engine. Default: closes every connection and keeps running. */
  readonly onCrash?: () => void;
}

/** Faults that the engine injects at present. */
export interface EngineFaults {
  /** Accepts requests and sends no response. */
  frozen: boolean;
  /** Sends nothing more on open streams and does not close them. */
  silent: boolean;
  /** Number of next responses that carry the id of another request. */
  crossed: number;
  /** Refuses new requests and signals that the endpoint is leaving. */
  leaving: boolean;
  /** Delay before the first byte, in milliseconds. */
  lateMs: number;
  /** Number of tokens after which a stream's connection is closed. */
  breakAfter: number;
  /** Number of next streams whose first event does not end. */
  endless: number;
}

/** Crashes the engine when a prompt contains it. */
export const CRASH_TEXT = 'CRASH-THE-ENGINE';

const BYTES_PER_TOKEN = 4;
const PREFIX_CHARACTERS = 256;
const LOAD_SAMPLES_MAX = 1_000;
const ENDLESS_TEXT = 'x'.repeat(65_536);
/** Spares the memory of a router that keeps all of them. */
const ENDLESS_BYTES_MAX = 128 * 1_048_576;
const WORDS = ['pole', 'roll', 'ash', 'ferrule', 'pile', 'dye', 'quote', 'offcut', 'river', 'shop'];

export class EngineStandin extends HttpStandin {
  readonly faults: EngineFaults = {
    frozen: false,
    silent: false,
    crossed: 0,
    leaving: false,
    lateMs: 0,
    breakAfter: Number.POSITIVE_INFINITY,
    endless: 0,
  };

  startedRequests = 0;

  /** Number of requests whose caller disconnected before the end of the stream. */
  cancelledRequests = 0;

  /** Bytes sent of events that do not end. */
  endlessBytes = 0;

  /** Number of requests whose prompt prefix was cached. */
  cacheHits = 0;

  private runningRequests = 0;

  private readonly queue: { readonly priority: number; readonly start: () => void }[] = [];

  private readonly prefixCache: LRUCache<string, true>;

  private readonly loadSamples: { readonly at: number; readonly running: number }[] = [];

  constructor(private readonly options: EngineStandinOptions = {}) {
    super();
    this.prefixCache = new LRUCache({ max: options.prefixCacheSize ?? 64 });
  }

  protected override async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = JSON.parse((await readMessageBody(message)).toString() || '{}');
    if (message.url === '/control') {
      Object.assign(this.faults, body);
      sendJson(response, 200, {
        ...this.faults,
        started: this.startedRequests,
        cancelled: this.cancelledRequests,
        endlessBytes: this.endlessBytes,
      });
      return;
    }
    if (message.url === '/load') {
      sendJson(response, 200, this.getReportedLoad());
      return;
    }
    const echo = { 'x-request-id': String(message.headers['x-request-id'] ?? 'none') };
    if (this.faults.leaving) {
      sendJson(response, 503, { error: 'leaving' }, { ...echo, 'x-endpoint-leaving': 'yes' });
      return;
    }
    if (!(await this.acquireSlot(Number(message.headers['x-priority'] ?? 0)))) {
      sendJson(response, 429, { error: 'full' }, echo);
      return;
    }
    if (JSON.stringify(body.messages).includes(CRASH_TEXT)) {
      this.releaseSlot();
      (this.options.onCrash ?? (() => this.dropConnections()))();
      return;
    }
    this.startedRequests += 1;
    try {
      await this.sendCompletion(body, this.getResponseId(message), response);
    } finally {
      this.releaseSlot();
    }
  }

  /** Acquires a slot, queueing by priority if none is free; resolves with false if the queue is full. */
  private async acquireSlot(priority: number): Promise<boolean> {
    const { slots = 16, queueCapacity = 0 } = this.options;
    if (this.runningRequests >= slots) {
      if (this.queue.length >= queueCapacity) {
        return false;
      }
      await new Promise<void>((start) => {
        this.queue.push({ priority, start });
        this.queue.sort((a, b) => b.priority - a.priority);
      });
    }
    this.runningRequests += 1;
    this.recordLoad();
    return true;
  }

  private releaseSlot(): void {
    this.runningRequests -= 1;
    this.recordLoad();
    this.queue.shift()?.start();
  }

  private recordLoad(): void {
    this.loadSamples.push({ at: Date.now(), running: this.runningRequests });
    this.loadSamples.splice(0, this.loadSamples.length - LOAD_SAMPLES_MAX);
  }

  /** Returns the number of running requests `loadLagMs` ago and of waiting ones now. */
  private getReportedLoad(): { running: number; waiting: number } {
    const until = Date.now() - (this.options.loadLagMs ?? 0);
    const running = this.loadSamples.filter(({ at }) => at <= until).at(-1)?.running ?? 0;
    return { running, waiting: this.queue.length };
  }

  /** Simulates the prefill of a prompt, which takes time unless its prefix is cached. */
  private async prefill(prompt: string): Promise<void> {
    const prefix = prompt.slice(0, PREFIX_CHARACTERS);
    if (this.prefixCache.get(prefix)) {
      this.cacheHits += 1;
    } else {
      await sleep(this.options.prefillMs ?? 0);
    }
    this.prefixCache.set(prefix, true);
  }

  private getTokenIntervalMs(): number {
    const { tokenIntervalMs = 5, slots = 16, fullBatchSlowdown = 0 } = this.options;
    return tokenIntervalMs * (1 + (fullBatchSlowdown * this.runningRequests) / slots);
  }

  private getResponseId(message: IncomingMessage): string {
    const id = String(message.headers['x-request-id'] ?? 'none');
    if (this.faults.crossed > 0) {
      this.faults.crossed -= 1;
      return `other-${id}`;
    }
    return id;
  }

  private async sendCompletion(
    body: {
      messages: unknown;
      model: string;
      stream?: boolean;
      max_tokens?: number;
      /** Number of tokens that the caller received from an interrupted attempt. */
      resume_from?: number;
    },
    id: string,
    response: ServerResponse,
  ): Promise<void> {
    const { completionTokens = 12 } = this.options;
    const count = Math.min(body.max_tokens ?? completionTokens, completionTokens);
    const prompt = JSON.stringify(body.messages);
    const words = createWords(prompt, count);
    await this.prefill(prompt);
    await sleep(this.faults.lateMs);
    const usage = {
      prompt_tokens: Math.ceil(prompt.length / BYTES_PER_TOKEN),
      completion_tokens: words.length,
    };
    const head = { id: `chatcmpl-${id}`, created: 0, model: body.model };
    if (!body.stream) {
      await sleep(this.getTokenIntervalMs() * words.length);
      await this.waitWhileFrozen(response);
      const message = { role: 'assistant', content: words.join('') };
      const choices = [{ index: 0, message, finish_reason: 'stop' }];
      const completion = { ...head, object: 'chat.completion', choices, usage };
      sendJson(response, 200, completion, { 'x-request-id': id });
      return;
    }
    await this.waitWhileFrozen(response);
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': id });
    if (this.faults.endless > 0) {
      this.faults.endless -= 1;
      await this.sendEndlessEvent(response);
      return;
    }
    const send = (rest: object) => {
      response.write(
        `data: ${JSON.stringify({ ...head, object: 'chat.completion.chunk', ...rest })}\n\n`,
      );
    };
    for (let index = body.resume_from ?? 0; index < words.length; index += 1) {
      if (response.destroyed) {
        this.cancelledRequests += 1;
        return;
      }
      if (index >= this.faults.breakAfter) {
        response.destroy();
        return;
      }
      send({ choices: [{ index: 0, delta: { content: words[index] }, finish_reason: null }] });
      await sleep(this.getTokenIntervalMs());
      await this.waitWhile(() => this.faults.silent, response);
    }
    send({ choices: [{ index: 0, delta: {}, finish_reason: 'stop' }] });
    send({ choices: [], usage });
    response.end('data: [DONE]\n\n');
  }

  /** Sends one event until the caller closes the connection. */
  private async sendEndlessEvent(response: ServerResponse): Promise<void> {
    const closed = once(response, 'close');
    while (!response.destroyed && this.endlessBytes < ENDLESS_BYTES_MAX) {
      this.endlessBytes += ENDLESS_TEXT.length;
      if (!response.write(ENDLESS_TEXT)) {
        await Promise.race([once(response, 'drain'), closed]);
      }
    }
    await closed;
  }

  private waitWhileFrozen(response: ServerResponse): Promise<void> {
    return this.waitWhile(() => this.faults.frozen, response);
  }

  private async waitWhile(condition: () => boolean, response: ServerResponse): Promise<void> {
    while (condition() && !response.destroyed) {
      await sleep(20);
    }
  }
}

/** Derives the words of a response from the prompt's hash, so that every engine gives the same ones. */
function createWords(prompt: string, count: number): string[] {
  const digest = createHash('sha256').update(prompt).digest();
  return Array.from(
    { length: count },
    (_, index) => ` ${WORDS[digest[index % 32]! % WORDS.length]!}`,
  );
}
