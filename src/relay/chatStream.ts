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
export type ChatAction =
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
const NON_TEXT_EVENT_PATTERN = /"finish_reason"\s*:\s*"|"usage"\s*:\s*\{|"tool_calls"|"error"/;
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
  private unparsedEvents: string[] = [];

  private deliveredText = '';

  /** How much of the delivered text the current attempt has repeated. */
  private matchedLength = 0;

  private attemptId: string | undefined;

  /** The current attempt's id as it stands in each of its events. */
  private attemptIdJson = '';

  /** The id of the answer towards the caller: that of its first event. */
  private answerId: string | undefined;

  private isFirstAttempt = true;

  private deliveredTokens = 0;

  private reportedUsage: Usage | undefined;

  private finishEvent: string | undefined;

  /** Whether something that can't be compared, such as a tool call, was delivered. */
  private hasOpaqueContent = false;

  private hasStarted = false;

  constructor(private readonly options: ChatStreamOptions) {}

  /** Starts another attempt. */
  startAttempt(): void {
    this.isFirstAttempt = !this.hasStarted;
    this.matchedLength = 0;
    this.attemptId = undefined;
  }

  /** Returns whether a new attempt could continue the answer. */
  canContinue(): boolean {
    return !this.hasOpaqueContent;
  }

  /** Returns whether the caller has got anything. */
  isStarted(): boolean {
    return this.hasStarted;
  }

  /** Returns whether the last event of the answer came. */
  isFinished(): boolean {
    return this.finishEvent !== undefined;
  }

  /** Returns the event that ends the answer's text. */
  getFinishEvent(): string | undefined {
    return this.finishEvent;
  }

  /** Returns what the answer used: as the engine says, else as counted here. */
  getUsage(): Usage {
    if (this.reportedUsage) {
      return this.reportedUsage;
    }
    const promptTokens = this.hasStarted
      ? Math.ceil(this.options.promptBytes / BYTES_PER_TOKEN)
      : 0;
    return { promptTokens, completionTokens: this.deliveredTokens };
  }

  /** Takes one event's data. */
  handle(data: string): ChatAction {
    if (data === DONE) {
      return this.isFinished() ? { kind: 'end' } : { kind: 'error', detail: 'ended too early' };
    }
    if (this.isPlainText(data)) {
      this.unparsedEvents.push(data);
      this.deliveredTokens += 1;
      return { kind: 'forward', data };
    }
    const chunk = tryParse(data);
    if (!chunk || chunk.error !== undefined) {
      return { kind: 'error', detail: chunk ? JSON.stringify(chunk.error) : 'not valid JSON' };
    }
    if (!this.hasAttemptId(chunk)) {
      return { kind: 'crossed' };
    }
    if (chunk.usage) {
      this.reportedUsage = {
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
      this.hasStarted &&
      this.finishEvent === undefined &&
      data.includes(this.attemptIdJson) &&
      !NON_TEXT_EVENT_PATTERN.test(data)
    );
  }

  /** Returns the text that the caller has. */
  private getDeliveredText(): string {
    if (this.unparsedEvents.length > 0) {
      const contents = this.unparsedEvents.map((data) => getContent(tryParse(data)));
      this.deliveredText += contents.join('');
      this.unparsedEvents = [];
    }
    return this.deliveredText;
  }

  private handleChoice(chunk: ChatChunk): ChatAction {
    const [choice] = chunk.choices ?? [];
    if (!choice) {
      return { kind: 'skip' };
    }
    if (choice.finish_reason) {
      if (!this.isFirstAttempt && this.matchedLength < this.getDeliveredText().length) {
        return { kind: 'diverged' };
      }
      this.finishEvent = this.createEvent(chunk);
      return { kind: 'skip' };
    }
    if (choice.delta?.tool_calls !== undefined) {
      this.hasOpaqueContent = true;
    }
    const content = getContent(chunk);
    return this.isFirstAttempt ? this.deliver(chunk, content) : this.matchDelivered(chunk, content);
  }

  private deliver(chunk: ChatChunk, content: string): ChatAction {
    this.hasStarted = true;
    this.deliveredTokens += content.length > 0 ? 1 : 0;
    this.deliveredText = this.getDeliveredText() + content;
    return { kind: 'forward', data: this.createEvent(chunk) };
  }

  /** Passes over what the caller has, and passes on what comes after it. */
  private matchDelivered(chunk: ChatChunk, content: string): ChatAction {
    const known = this.getDeliveredText().slice(
      this.matchedLength,
      this.matchedLength + content.length,
    );
    if (!content.startsWith(known)) {
      return { kind: 'diverged' };
    }
    this.matchedLength += content.length;
    if (known.length === content.length) {
      return { kind: 'skip' };
    }
    this.deliveredTokens += 1;
    const added = content.slice(known.length);
    this.deliveredText += added;
    return { kind: 'forward', data: this.createEvent(replaceContent(chunk, added)) };
  }

  /** Every event of one attempt carries the id of its first one. */
  private hasAttemptId(chunk: ChatChunk): boolean {
    if (this.attemptId === undefined && chunk.id !== undefined) {
      this.attemptId = chunk.id;
      this.attemptIdJson = JSON.stringify(chunk.id);
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
