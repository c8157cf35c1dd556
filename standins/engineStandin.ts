/** A stand-in for a model engine: streams made-up tokens at a rate, with its faults on command. */
import { createHash } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { HttpStandin, readAll, sendJson, sleep } from './httpStandin.js';

/** Options of the stand-in. */
export interface EngineStandinOptions {
  /** Time between the tokens of one answer, in milliseconds. Default 5. */
  readonly tokenMs?: number;
  /** How many requests run at a time. Default 16. */
  readonly slots?: number;
  /** Tokens of an answer, unless the request asks for fewer. Default 12. */
  readonly answerTokens?: number;
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
  /** Breaks the connection after so many tokens. */
  breakAfter: number;
}

/** A prompt with this text crashes the engine. */
export const CRASH_TEXT = 'CRASH-THE-ENGINE';

const BYTES_PER_TOKEN = 4;
const WORDS = ['pole', 'roll', 'ash', 'ferrule', 'pile', 'dye', 'quote', 'offcut', 'river', 'shop'];

/** The engine. */
export class EngineStandin extends HttpStandin {
  readonly faults: EngineFaults = {
    frozen: false,
    silent: false,
    crossed: 0,
    leaving: false,
    breakAfter: Number.POSITIVE_INFINITY,
  };

  /** Requests that were started. */
  started = 0;

  /** Requests whose caller went away before the end. */
  cancelled = 0;

  private running = 0;

  constructor(private readonly options: EngineStandinOptions = {}) {
    super();
  }

  protected override async handle(
    message: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const body = JSON.parse((await readAll(message)).toString() || '{}');
    if (message.url === '/control') {
      Object.assign(this.faults, body);
      sendJson(response, 200, { ...this.faults, started: this.started, cancelled: this.cancelled });
      return;
    }
    if (this.faults.leaving) {
      sendJson(response, 503, { error: 'leaving' }, { 'x-endpoint-leaving': 'yes' });
      return;
    }
    const { slots = 16 } = this.options;
    if (this.running >= slots) {
      sendJson(response, 429, { error: 'full' });
      return;
    }
    if (JSON.stringify(body.messages).includes(CRASH_TEXT)) {
      (this.options.onCrash ?? (() => this.breakConnections()))();
      return;
    }
    this.running += 1;
    this.started += 1;
    try {
      await this.answer(body, this.getId(message), response);
    } finally {
      this.running -= 1;
    }
  }

  private getId(message: IncomingMessage): string {
    const id = String(message.headers['x-request-id'] ?? 'none');
    if (this.faults.crossed > 0) {
      this.faults.crossed -= 1;
      return `other-${id}`;
    }
    return id;
  }

  private async answer(
    body: { messages: unknown; model: string; stream?: boolean; max_tokens?: number },
    id: string,
    response: ServerResponse,
  ): Promise<void> {
    const { answerTokens = 12, tokenMs = 5 } = this.options;
    const count = Math.min(body.max_tokens ?? answerTokens, answerTokens);
    const words = createWords(JSON.stringify(body.messages), count);
    const usage = {
      prompt_tokens: Math.ceil(JSON.stringify(body.messages).length / BYTES_PER_TOKEN),
      completion_tokens: words.length,
    };
    const head = { id: `chatcmpl-${id}`, created: 0, model: body.model };
    if (!body.stream) {
      await sleep(tokenMs * words.length);
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
    for (let index = 0; index < words.length; index += 1) {
      if (response.destroyed) {
        this.cancelled += 1;
        return;
      }
      if (index >= this.faults.breakAfter) {
        response.destroy();
        return;
      }
      send({ choices: [{ index: 0, delta: { content: words[index] }, finish_reason: null }] });
      await sleep(tokenMs);
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
