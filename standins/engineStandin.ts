/** A stand-in for a model engine: streams made-up tokens at a rate, with its faults on command. */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { LRUCache } from 'lru-cache';
import { HttpStandin, readMessageBody, sendJson, sleep } from './httpStandin.js';

/** Options of the stand-in. */
export interface EngineStandinOptions {
  /** Time between the tokens of one answer, in milliseconds. Default 5. */
  readonly tokenIntervalMs?: number;
  /** How many requests run at a time. Default 16. */
  readonly slots?: number;
  /** Tokens of an answer, unless the request asks for fewer. Default 12. */
  readonly completionTokens?: number;
  /** How much longer a token takes with every slot in use, as a share. Default 0. */
  readonly fullBatchSlowdown?: number;
  /** Requests that wait for a slot, by priority; more are refused. Default 0. */
  readonly queueCapacity?: number;
  /** Time to read a prompt whose start is not cached, in milliseconds. Default 0. */
  readonly prefillMs?: number;
  /** Prompt starts that the cache holds. Default 64. */
  readonly prefixCacheSize?: number;
  /** How old the load report is, in milliseconds. Default 0. */
  readonly loadLagMs?: number;
  /** Called when a request crashes the engine. Default: breaks every connection and goes on. */
  readonly onCrash?: () => void;
}

/** What the engine does wrong at the moment. */
export interface EngineFaults {
  /** Takes requests and answers nothing. */
  frozen: boolean;
  /** Stops open streams without closing them. */
  silent: boolean;
  /** Gives the next answers the id of another request. */
  crossed: number;
  /** Refuses new work. */
  leaving: boolean;
  /** Waits so long before the first byte, in milliseconds. */
  lateMs: number;
  /** Breaks the connection after so many tokens. */
  breakAfter: number;
}

/** A prompt with this text crashes the engine. */
export const CRASH_TEXT = 'CRASH-THE-ENGINE';

const BYTES_PER_TOKEN = 4;
const PREFIX_CHARACTERS = 256;
const LOAD_SAMPLES_MAX = 1_000;
const WORDS = ['pole', 'roll', 'ash', 'ferrule', 'pile', 'dye', 'quote', 'offcut', 'river', 'shop'];

/** The engine. */
export class EngineStandin extends HttpStandin {
  readonly faults: EngineFaults = {
    frozen: false,
    silent: false,
    crossed: 0,
    leaving: false,
    lateMs: 0,
    breakAfter: Number.POSITIVE_INFINITY,
  };

  /** Requests that were started. */
  startedRequests = 0;

  /** Requests whose caller went away before the end. */
  cancelledRequests = 0;

  /** Requests whose prompt's start was cached. */
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
      });
      return;
    }
    if (message.url === '/load') {
      sendJson(response, 200, this.getReportedLoad());
      return;
    }
    if (this.faults.leaving) {
      sendJson(response, 503, { error: 'leaving' }, { 'x-endpoint-leaving': 'yes' });
      return;
    }
    if (!(await this.acquireSlot(Number(message.headers['x-priority'] ?? 0)))) {
      sendJson(response, 429, { error: 'full' });
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

  /** Takes a slot, waiting in the order of priority; resolves with false where the queue is full. */
  private async acquireSlot(priority: number): Promise<boolean> {
    const { slots = 16, queueCapacity: queueCapacity = 0 } = this.options;
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

  /** Returns the load as it was a lag ago. */
  private getReportedLoad(): { running: number; waiting: number } {
    const until = Date.now() - (this.options.loadLagMs ?? 0);
    const running = this.loadSamples.filter(({ at }) => at <= until).at(-1)?.running ?? 0;
    return { running, waiting: this.queue.length };
  }

  /** Reads the prompt: slow where its start is not in the cache. */
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
    const {
      tokenIntervalMs: tokenIntervalMs = 5,
      slots = 16,
      fullBatchSlowdown: fullBatchSlowdown = 0,
    } = this.options;
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
      /** Tokens that the caller has already from a run that broke off. */
      resume_from?: number;
    },
    id: string,
    response: ServerResponse,
  ): Promise<void> {
    const { completionTokens: completionTokens = 12 } = this.options;
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
      const answer = { ...head, object: 'chat.completion', choices, usage };
      sendJson(response, 200, answer, { 'x-request-id': id });
      return;
    }
    await this.waitWhileFrozen(response);
    response.writeHead(200, { 'content-type': 'text/event-stream', 'x-request-id': id });
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

  private waitWhileFrozen(response: ServerResponse): Promise<void> {
    return this.waitWhile(() => this.faults.frozen, response);
  }

  private async waitWhile(condition: () => boolean, response: ServerResponse): Promise<void> {
    while (condition() && !response.destroyed) {
      await sleep(20);
    }
  }
}

/** The same prompt gets the same words on every engine. */
function createWords(prompt: string, count: number): string[] {
  const digest = createHash('sha256').update(prompt).digest();
  return Array.from(
    { length: count },
    (_, index) => ` ${WORDS[digest[index % 32]! % WORDS.length]!}`,
  );
}
