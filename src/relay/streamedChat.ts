/** Relays a streamed chat response. */
import { StringDecoder } from 'node:string_decoder';
import { createParser } from 'eventsource-parser';
import { EndpointError, type EndpointResponse, type EndpointCall } from '../types/endpoints.js';
import type { ChatBody, Exchange } from '../types/exchange.js';
import { createErrorBody } from '../server/errorBody.js';
import { createRefusal, type Refusal } from '../core/codes.js';
import {
  checkResponseHead,
  createFailedResult,
  failAttempt,
  type Attempt,
  type AttemptResult,
} from './attempt.js';
import { createChatCall, checkErrorStatus } from './chatCall.js';
import { ChatStream } from './chatStream.js';

/** Far above the size of an event, which holds a few tokens. */
const EVENT_CHARACTERS_MAX = 262_144;
const SSE_HEADERS = {
  'content-type': 'text/event-stream',
  'cache-control': 'no-cache',
};

/** Options of a streamed chat. */
export interface StreamedChatOptions {
  readonly exchange: Exchange;
  readonly chat: ChatBody;
  /** Records that a claimed call ended; streamed responses are not stored. */
  readonly recordOutcome: () => Promise<void>;
}

/** A streamed response over all attempts of its call. */
export class StreamedChat {
  private readonly stream: ChatStream;

  private readonly created: number;

  private readonly exchange: Exchange;

  private readonly chat: ChatBody;

  constructor(private readonly options: StreamedChatOptions) {
    const { exchange, chat } = options;
    this.exchange = exchange;
    this.chat = chat;
    this.created = Math.floor(exchange.arrivedAt / 1_000);
    this.stream = new ChatStream({ promptBytes: exchange.request.body.length });
  }

  /** Returns whether another attempt can complete the response. */
  canContinue(): boolean {
    return this.stream.canContinue();
  }

  /** Runs one attempt. */
  async run(attempt: Attempt): Promise<AttemptResult> {
    this.stream.startAttempt();
    const fields = { ...this.chat.fields, stream: true, stream_options: { include_usage: true } };
    const call: EndpointCall = createChatCall(attempt, {
      ...fields,
      max_tokens: this.chat.maxTokens,
    });
    const startedAt = attempt.timers.now();
    const sent = await attempt.client.send(call);
    if (sent.err) {
      return failAttempt(attempt, sent.val);
    }
    const endpointResponse = sent.val;
    const finalResult =
      checkResponseHead(attempt, endpointResponse, call) ??
      (await checkErrorStatus(attempt, endpointResponse, this.stream.isStarted()));
    return finalResult ?? this.relay(attempt, endpointResponse, startedAt);
  }

  /** Ends a response that can't be completed. If the stream has started, an error event is sent in it. */
  async endWithRefusal(refusal: Refusal): Promise<Refusal> {
    const { response } = this.exchange;
    if (!response.isHeadSent()) {
      return refusal;
    }
    const { retryAfterMs } = refusal;
    const cutRefusal = createRefusal('answerCut', { detail: refusal.detail, retryAfterMs });
    await response.write(`data: ${JSON.stringify(createErrorBody(cutRefusal))}\n\n`);
    response.end();
    return cutRefusal;
  }

  private async relay(
    attempt: Attempt,
    endpointResponse: EndpointResponse,
    startedAt: number,
  ): Promise<AttemptResult> {
    const events: string[] = [];
    let isOverlong = false;
    const parser = createParser({
      maxBufferSize: EVENT_CHARACTERS_MAX,
      onEvent: ({ data }) => events.push(data),
      onError: ({ type }) => {
        isOverlong ||= type === 'max-buffer-size-exceeded';
      },
    });
    const decoder = new StringDecoder('utf8');
    let firstTokenMs: number | undefined;
    try {
      for await (const bytes of endpointResponse.body) {
        parser.feed(decoder.write(bytes));
        firstTokenMs ??= attempt.timers.now() - startedAt;
        const result = await this.handleEvents(attempt, endpointResponse, events.splice(0));
        if (result?.kind === 'done') {
          attempt.slot.release({ kind: 'success', latencyMs: firstTokenMs });
        }
        if (result) {
          return result;
        }
        if (isOverlong) {
          return this.abortAttempt(attempt, endpointResponse, 'broken', 'an event is too long');
        }
      }
    } catch (error) {
      return this.handleBodyError(attempt, error);
    }
    return this.handleBodyEnd(attempt);
  }

  private async handleEvents(
    attempt: Attempt,
    endpointResponse: EndpointResponse,
    events: readonly string[],
  ): Promise<AttemptResult | undefined> {
    let output = '';
    for (let index = 0; index < events.length; index += 1) {
      const event = this.stream.handle(events[index]!);
      switch (event.kind) {
        case 'forward':
          output += `data: ${event.data}\n\n`;
          break;
        case 'end':
          await this.forward(attempt, output);
          await this.finish();
          return { kind: 'done' };
        case 'crossed':
          attempt.metrics.crossedResponses.inc();
          await this.forward(attempt, output);
          return this.abortAttempt(
            attempt,
            endpointResponse,
            'crossed',
            'an event belonged to another request',
          );
        case 'diverged':
          return this.abortAttempt(
            attempt,
            endpointResponse,
            'cut',
            'a second run gave another answer',
          );
        case 'error':
          await this.forward(attempt, output);
          return this.abortAttempt(attempt, endpointResponse, 'serverError', event.detail);
        default:
      }
    }
    await this.forward(attempt, output);
    return this.isOverHold()
      ? this.abortAttempt(attempt, endpointResponse, 'cut', 'the answer passed its hold')
      : undefined;
  }

  private async forward(attempt: Attempt, output: string): Promise<void> {
    const { exchange } = this;
    exchange.usage = this.stream.getUsage();
    if (output === '') {
      return;
    }
    if (!exchange.response.isHeadSent()) {
      const elapsedMs = attempt.timers.now() - exchange.arrivedAt;
      const service = exchange.permission.service.name;
      attempt.metrics.firstTokenSeconds.observe({ service }, elapsedMs / 1_000);
      exchange.response.sendHead(200, { ...SSE_HEADERS, 'x-request-id': exchange.id });
    }
    await exchange.response.write(output);
  }

  /** Sends the final events and ends the response to the caller, after a bill that must be stored first. */
  private async finish(): Promise<void> {
    const { exchange, chat, stream } = this;
    const { response } = exchange;
    exchange.usage = stream.getUsage();
    this.options.recordOutcome();
    await exchange.storeBill('whole');
    if (!response.isHeadSent()) {
      response.sendHead(200, { ...SSE_HEADERS, 'x-request-id': exchange.id });
    }
    const usage = chat.includeUsage ? `data: ${this.createUsageEvent()}\n\n` : '';
    await response.write(`data: ${stream.getFinishEvent()}\n\n${usage}data: [DONE]\n\n`);
    response.end();
  }

  private createUsageEvent(): string {
    const { promptTokens, completionTokens } = this.stream.getUsage();
    return JSON.stringify({
      id: this.stream.getId(),
      object: 'chat.completion.chunk',
      created: this.created,
      model: this.chat.model,
      choices: [],
      usage: {
        prompt_tokens: promptTokens,
        completion_tokens: completionTokens,
        total_tokens: promptTokens + completionTokens,
      },
    });
  }

  private isOverHold(): boolean {
    const { usage, worstCaseTokens } = this.exchange;
    return usage.promptTokens + usage.completionTokens > worstCaseTokens;
  }

  private abortAttempt(
    attempt: Attempt,
    endpointResponse: EndpointResponse,
    reason: 'broken' | 'crossed' | 'cut' | 'serverError',
    detail: string,
  ): AttemptResult {
    endpointResponse.abort();
    attempt.slot.release({ kind: 'failure' });
    return createFailedResult(
      reason,
      true,
      this.stream.isStarted() ? 'answerCut' : 'endpointFailed',
      detail,
    );
  }

  private handleBodyError(
    attempt: Attempt,
    error: unknown,
  ): Promise<AttemptResult> | AttemptResult {
    if (!(error instanceof EndpointError)) {
      attempt.slot.release({ kind: 'neutral' });
      throw error;
    }
    if (this.stream.isFinished()) {
      return this.handleBodyEnd(attempt);
    }
    return failAttempt(attempt, error.failure);
  }

  /** Handles a body that ended without `[DONE]`: complete if the finish reason was received, otherwise broken. */
  private async handleBodyEnd(attempt: Attempt): Promise<AttemptResult> {
    if (!this.stream.isFinished()) {
      return failAttempt(attempt, { kind: 'broken', detail: 'the stream ended too early' });
    }
    await this.finish();
    attempt.slot.release({ kind: 'success', latencyMs: 0 });
    return { kind: 'done' };
  }
}
