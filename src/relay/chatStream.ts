/** Follows the events of one streamed answer over one or more attempts. */
import type { Usage } from '../types/exchange.js';

/** The parts of an event that the router looks at. */
interface ChatChunk {
  readonly id?: string;
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string | null; readonly tool_calls?: unknown };
    readonly finish_reason?: string | null;
  }[];
  readonly usage?: { readonly prompt_tokens: number; readonly completion_tokens: number } | null;
  readonly error?: unknown;
}

/** What to do after an event. */
export type ChatEvent =
  /** Send this on. */
  | { readonly kind: 'forward'; readonly data: string }
  | { readonly kind: 'skip' }
  /** The answer is whole: send the last event, after the bill. */
  | { readonly kind: 'end' }
  /** The event belongs to another answer. */
  | { readonly kind: 'crossed' }
  /** The answer differs from what the caller already has. */
  | { readonly kind: 'diverged' }
  | { readonly kind: 'error'; readonly detail: string };

const DONE = '[DONE]';
/** What makes an event more than a piece of text; others are passed on as they came. */
const SPECIAL_EVENT = /"finish_reason"\s*:\s*"|"usage"\s*:\s*\{|"tool_calls"|"error"/;
/** Bytes of prompt counted as one token where the engine did not say. */
const BYTES_PER_TOKEN = 4;

/** Options of a chat stream. */
export interface ChatStreamOptions {
  readonly promptBytes: number;
}

/**
 * The state of a streamed answer. An answer that broke off is run again from the start; the new run
 * is passed over while it repeats what the caller has, and given up where it differs.
 */
export class ChatStream {
  /** Events that were passed on unread; their text is taken out only when an answer is run again. */
  private unread: string[] = [];

  private deliveredText = '';

  /** How much of the delivered text the current attempt has repeated. */
  private repeated = 0;

  private attemptId: string | undefined;

  /** The current attempt's id as it stands in each of its events. */
  private idMark = '';

  /** The id of the answer towards the caller: that of its first event. */
  private answerId: string | undefined;

  private isFirstAttempt = true;

  private tokens = 0;

  private reported: Usage | undefined;

  private finish: string | undefined;

  /** Whether something that can't be compared, such as a tool call, was delivered. */
  private opaque = false;

  private started = false;

  constructor(private readonly options: ChatStreamOptions) {}

  /** Starts another attempt. */
  startAttempt(): void {
    this.isFirstAttempt = !this.started;
    this.repeated = 0;
    this.attemptId = undefined;
  }

  /** Returns whether a new attempt could continue the answer. */
  canContinue(): boolean {
    return !this.opaque;
  }

  /** Returns whether the caller has got anything. */
  isStarted(): boolean {
    return this.started;
  }

  /** Returns whether the last event of the answer came. */
  isFinished(): boolean {
    return this.finish !== undefined;
  }

  /** Returns the event that ends the answer's text. */
  getFinish(): string | undefined {
    return this.finish;
  }

  /** Returns what the answer used: as the engine says, else as counted here. */
  getUsage(): Usage {
    if (this.reported) {
      return this.reported;
    }
    const promptTokens = this.started ? Math.ceil(this.options.promptBytes / BYTES_PER_TOKEN) : 0;
    return { promptTokens, completionTokens: this.tokens };
  }

  /** Takes one event's data. */
  handle(data: string): ChatEvent {
    if (data === DONE) {
      return this.isFinished() ? { kind: 'end' } : { kind: 'error', detail: 'ended too early' };
    }
    if (this.isPlainText(data)) {
      this.unread.push(data);
      this.tokens += 1;
      return { kind: 'forward', data };
    }
    const chunk = tryParse(data);
    if (!chunk || chunk.error !== undefined) {
      return { kind: 'error', detail: chunk ? JSON.stringify(chunk.error) : 'not valid JSON' };
    }
    if (!this.isOwn(chunk)) {
      return { kind: 'crossed' };
    }
    if (chunk.usage) {
      this.reported = {
        promptTokens: chunk.usage.prompt_tokens,
        completionTokens: chunk.usage.completion_tokens,
      };
    }
    return this.handleChoice(chunk);
  }

  /** Returns the id of the answer, once its first event came. */
  getId(): string | undefined {
    return this.answerId;
  }

  /** Returns whether an event of a first attempt is a piece of text and nothing else. */
  private isPlainText(data: string): boolean {
    return (
      this.isFirstAttempt &&
      this.started &&
      this.finish === undefined &&
      data.includes(this.idMark) &&
      !SPECIAL_EVENT.test(data)
    );
  }

  /** Returns the text that the caller has. */
  private getDelivered(): string {
    if (this.unread.length > 0) {
      const contents = this.unread.map((data) => getContent(tryParse(data)));
      this.deliveredText += contents.join('');
      this.unread = [];
    }
    return this.deliveredText;
  }

  private handleChoice(chunk: ChatChunk): ChatEvent {
    const [choice] = chunk.choices ?? [];
    if (!choice) {
      return { kind: 'skip' };
    }
    if (choice.finish_reason) {
      if (!this.isFirstAttempt && this.repeated < this.getDelivered().length) {
        return { kind: 'diverged' };
      }
      this.finish = this.createEvent(chunk);
      return { kind: 'skip' };
    }
    if (choice.delta?.tool_calls !== undefined) {
      this.opaque = true;
    }
    const content = getContent(chunk);
    return this.isFirstAttempt ? this.deliver(chunk, content) : this.repeat(chunk, content);
  }

  private deliver(chunk: ChatChunk, content: string): ChatEvent {
    this.started = true;
    this.tokens += content.length > 0 ? 1 : 0;
    this.deliveredText = this.getDelivered() + content;
    return { kind: 'forward', data: this.createEvent(chunk) };
  }

  /** Passes over what the caller has, and passes on what comes after it. */
  private repeat(chunk: ChatChunk, content: string): ChatEvent {
    const known = this.getDelivered().slice(this.repeated, this.repeated + content.length);
    if (!content.startsWith(known)) {
      return { kind: 'diverged' };
    }
    this.repeated += content.length;
    if (known.length === content.length) {
      return { kind: 'skip' };
    }
    this.tokens += 1;
    const added = content.slice(known.length);
    this.deliveredText += added;
    return { kind: 'forward', data: this.createEvent(replaceContent(chunk, added)) };
  }

  /** Every event of one attempt carries the id of its first one. */
  private isOwn(chunk: ChatChunk): boolean {
    if (this.attemptId === undefined && chunk.id !== undefined) {
      this.attemptId = chunk.id;
      this.idMark = JSON.stringify(chunk.id);
      this.answerId ??= chunk.id;
    }
    return chunk.id === this.attemptId;
  }

  private createEvent(chunk: ChatChunk): string {
    return JSON.stringify({ ...chunk, id: this.answerId });
  }
}

function getContent(chunk: ChatChunk | undefined): string {
  return chunk?.choices?.[0]?.delta?.content ?? '';
}

function replaceContent(chunk: ChatChunk, content: string): ChatChunk {
  const choices = chunk.choices?.map((choice) => ({
    ...choice,
    delta: { ...choice.delta, content },
  }));
  return { ...chunk, choices };
}

function tryParse(data: string): ChatChunk | undefined {
  try {
    const chunk: unknown = JSON.parse(data);
    return typeof chunk === 'object' && chunk !== null ? chunk : undefined;
  } catch {
    return undefined;
  }
}
