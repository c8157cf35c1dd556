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
/** Bytes of prompt counted as one token where the engine did not say. */
const BYTES_PER_TOKEN = 4;

/** Options of a chat stream. */
export interface ChatStreamOptions {
  /** The id of the answer towards the caller. */
  readonly id: string;
  readonly promptBytes: number;
}

/**
 * The state of a streamed answer. An answer that broke off is run again from the start; the new run
 * is passed over while it repeats what the caller has, and given up where it differs.
 */
export class ChatStream {
  private delivered = '';

  /** How much of `delivered` the current attempt has repeated. */
  private repeated = 0;

  private attemptId: string | undefined;

  private tokens = 0;

  private reported: Usage | undefined;

  private finish: string | undefined;

  /** Whether something that can't be compared, such as a tool call, was delivered. */
  private opaque = false;

  private started = false;

  constructor(private readonly options: ChatStreamOptions) {}

  /** Starts another attempt. */
  startAttempt(): void {
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

  private handleChoice(chunk: ChatChunk): ChatEvent {
    const [choice] = chunk.choices ?? [];
    if (!choice) {
      return { kind: 'skip' };
    }
    if (choice.finish_reason) {
      if (this.repeated < this.delivered.length) {
        return { kind: 'diverged' };
      }
      this.finish = this.createEvent(chunk);
      return { kind: 'skip' };
    }
    if (choice.delta?.tool_calls !== undefined) {
      this.opaque = true;
    }
    return this.handleContent(chunk, choice.delta?.content ?? '');
  }

  private handleContent(chunk: ChatChunk, content: string): ChatEvent {
    const known = this.delivered.slice(this.repeated, this.repeated + content.length);
    if (!content.startsWith(known)) {
      return { kind: 'diverged' };
    }
    this.repeated += content.length;
    if (this.started && known.length === content.length && !this.opaque) {
      return { kind: 'skip' };
    }
    this.started = true;
    this.tokens += content.length > 0 ? 1 : 0;
    this.delivered += content.slice(known.length);
    const data = known.length > 0 ? replaceContent(chunk, content.slice(known.length)) : chunk;
    return { kind: 'forward', data: this.createEvent(data) };
  }

  /** Every event of one attempt carries the id of its first one. */
  private isOwn(chunk: ChatChunk): boolean {
    this.attemptId ??= chunk.id;
    return chunk.id === this.attemptId;
  }

  private createEvent(chunk: ChatChunk): string {
    return JSON.stringify({ ...chunk, id: this.options.id });
  }
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
