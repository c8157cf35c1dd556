/** Tracks the events of one streamed response over one or more attempts. */
import type { Usage } from '../types/exchange.js';

/** The parts of an event that the router reads. */
interface ChatChunk {
  readonly id?: string;
  readonly choices?: readonly {
    readonly delta?: { readonly content?: string | null; readonly tool_calls?: unknown };
    readonly finish_reason?: string | null;
  }[];
  readonly usage?: { readonly prompt_tokens: number; readonly completion_tokens: number } | null;
  readonly error?: unknown;
}

/** The action to take for an event. */
export type ChatAction =
  /** Send `data` to the caller. */
  | { readonly kind: 'forward'; readonly data: string }
  | { readonly kind: 'skip' }
  /** The response is complete: send the final events after the bill. */
  | { readonly kind: 'end' }
  /** The event belongs to another response. */
  | { readonly kind: 'crossed' }
  /** The text differs from the text already delivered to the caller. */
  | { readonly kind: 'diverged' }
  | { readonly kind: 'error'; readonly detail: string };

const DONE = '[DONE]';
/** Matches events that carry more than text; the first attempt forwards all others without parsing. */
const NON_TEXT_EVENT_PATTERN = /"finish_reason"\s*:\s*"|"usage"\s*:\s*\{|"tool_calls"|"error"/;
/** Prompt bytes counted as one token if the engine reports no usage. */
const BYTES_PER_TOKEN = 4;

/** Options of a chat stream. */
export interface ChatStreamOptions {
  readonly promptBytes: number;
}

/**
 * The state of a streamed response. After a failure the call is run again from the start: text that the
 * caller already has is skipped, and the new run is given up if its text differs.
 */
export class ChatStream {
  /** Events forwarded without parsing; their text is extracted only if the call is run again. */
  private unparsedEvents: string[] = [];

  private deliveredText = '';

  /** Length of the delivered text that the current attempt has matched, in UTF-16 code units. */
  private matchedLength = 0;

  private attemptResponseId: string | undefined;

  /** The JSON form of the current attempt's response id, which each of its events contains. */
  private attemptResponseIdJson = '';

  /** The response id sent to the caller: the id of the first event of the first attempt that has one. */
  private responseId: string | undefined;

  private isFirstAttempt = true;

  private deliveredTokens = 0;

  private reportedUsage: Usage | undefined;

  private finishEvent: string | undefined;

  /** Whether content that can't be compared, such as a tool call, was delivered. */
  private hasOpaqueContent = false;

  private hasStarted = false;

  constructor(private readonly options: ChatStreamOptions) {}

  /** Starts another attempt. */
  startAttempt(): void {
    this.isFirstAttempt = !this.hasStarted;
    this.matchedLength = 0;
    this.attemptResponseId = undefined;
  }

  /** Returns whether another attempt can continue the response. */
  canContinue(): boolean {
    return !this.hasOpaqueContent;
  }

  /** Returns whether any event was delivered to the caller. */
  isStarted(): boolean {
    return this.hasStarted;
  }

  /** Returns whether the event with the finish reason was received. */
  isFinished(): boolean {
    return this.finishEvent !== undefined;
  }

  /** Returns the event with the finish reason. */
  getFinishEvent(): string | undefined {
    return this.finishEvent;
  }

  /** Returns the usage reported by the engine, or an estimate if it reported none. */
  getUsage(): Usage {
    if (this.reportedUsage) {
      return this.reportedUsage;
    }
    const promptTokens = this.hasStarted
      ? Math.ceil(this.options.promptBytes / BYTES_PER_TOKEN)
      : 0;
    return { promptTokens, completionTokens: this.deliveredTokens };
  }

  /** Handles the data of one event. */
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
      return { kind: 'error', detail: chunk ? this.describeError(chunk) : 'not valid JSON' };
    }
    if (!this.hasAttemptResponseId(chunk)) {
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

  /** Returns the id of the response, once its first event was received. */
  getId(): string | undefined {
    return this.responseId;
  }

  /** Returns whether an event of a first attempt carries text only. */
  private isPlainText(data: string): boolean {
    return (
      this.isFirstAttempt &&
      this.hasStarted &&
      this.finishEvent === undefined &&
      data.includes(this.attemptResponseIdJson) &&
      !NON_TEXT_EVENT_PATTERN.test(data)
    );
  }

  /** Returns the text delivered to the caller. */
  private getDeliveredText(): string {
    if (this.unparsedEvents.length > 0) {
      const contents = this.unparsedEvents.map((data) => getContent(tryParse(data)));
      this.deliveredText += contents.join('');
      this.unparsedEvents = [];
    }
    return this.deliveredText;
  }

  /** Quotes the engine's error only if no event was delivered: its text must not appear in a stream. */
  private describeError({ error }: ChatChunk): string {
    return this.hasStarted ? 'the engine sent an error' : JSON.stringify(error);
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

  /** Skips text that matches the delivered text and forwards the text after it. */
  private matchDelivered(chunk: ChatChunk, content: string): ChatAction {
    const expected = this.getDeliveredText().slice(
      this.matchedLength,
      this.matchedLength + content.length,
    );
    if (!content.startsWith(expected)) {
      return { kind: 'diverged' };
    }
    this.matchedLength += content.length;
    if (expected.length === content.length) {
      return { kind: 'skip' };
    }
    this.deliveredTokens += 1;
    const added = content.slice(expected.length);
    this.deliveredText += added;
    return { kind: 'forward', data: this.createEvent(replaceContent(chunk, added)) };
  }

  /** Returns whether a chunk has the response id of the current attempt, set by its first event. */
  private hasAttemptResponseId(chunk: ChatChunk): boolean {
    if (this.attemptResponseId === undefined && chunk.id !== undefined) {
      this.attemptResponseId = chunk.id;
      this.attemptResponseIdJson = JSON.stringify(chunk.id);
      this.responseId ??= chunk.id;
    }
    return chunk.id === this.attemptResponseId;
  }

  private createEvent(chunk: ChatChunk): string {
    return JSON.stringify({ ...chunk, id: this.responseId });
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
