/** Passes the answer of an endpoint on to the caller, whole or event by event. */
import type { IncomingMessage } from 'node:http';
import type { TimerService } from '../../core/timers.js';
import type { AnswerFacts } from '../../types/gateway.js';
import type { GatewayCall } from '../call.js';
import { EventSplitter, type StreamEvent } from './eventSplitter.js';

/** How an answer ended. */
export type RelayEnd =
  | { readonly kind: 'complete' }
  /** The endpoint broke off, or sent what can't be passed on. */
  | { readonly kind: 'broken'; readonly detail: string };

const WHOLE_ANSWER_BYTES_MAX = 8 * 1_048_576;
const DISCARDED_BYTES_MAX = 65_536; // a refusal says why in less
const DISCARDED_MS_MAX = 1_000; // a new connection costs less than one that is held for longer

/** An answer that comes in, with whether its connection has had no error. */
export interface IncomingAnswer {
  readonly message: IncomingMessage;
  readonly isSound: () => boolean;
}

/** Reads a whole answer; `undefined` where the endpoint broke off. */
export function readWholeAnswer({
  message: answer,
  isSound,
}: IncomingAnswer): Promise<Buffer | undefined> {
  return new Promise((resolve) => {
    const parts: Buffer[] = [];
    let length = 0;
    answer.on('data', (part: Buffer) => {
      length += part.length;
      if (length > WHOLE_ANSWER_BYTES_MAX) {
        answer.destroy();
      } else {
        parts.push(part);
      }
    });
    answer.on('end', () =>
      resolve(answer.complete && isSound() ? Buffer.concat(parts) : undefined),
    );
    answer.on('error', () => resolve(undefined));
    answer.on('close', () => resolve(undefined));
  });
}

/**
 * Reads the rest of an answer that goes to nobody, so that its connection can be used again; one that is long or slow
 * ends with its connection.
 */
export function discardAnswer(answer: IncomingMessage, timers: TimerService): void {
  let length = 0;
  const cancel = timers.subscribe(DISCARDED_MS_MAX, () => answer.destroy());
  answer.on('data', (part: Buffer) => {
    length += part.length;
    if (length > DISCARDED_BYTES_MAX) {
      answer.destroy();
    }
  });
  answer.on('error', () => {});
  answer.on('close', cancel);
}

/** Options of a stream's relay. */
export interface StreamRelayOptions {
  readonly call: GatewayCall;
  readonly tokensPerEvent: number;
  /** Called with the first event of each endpoint. */
  readonly onFirstEvent: () => void;
}

/** One stream to a caller over all endpoints that make it. */
export class StreamRelay {
  private lastEventId: string | undefined;

  private events = 0;

  constructor(private readonly options: StreamRelayOptions) {}

  /** Returns whether events went to the caller. */
  isStarted(): boolean {
    return this.events > 0;
  }

  /** Returns the last event that the caller has. */
  getLastEventId(): string | undefined {
    return this.lastEventId;
  }

  /** Passes events on as they come; the head goes out with the first one. */
  relay({ message: answer, isSound }: IncomingAnswer, facts: AnswerFacts): Promise<RelayEnd> {
    const splitter = new EventSplitter();
    return new Promise((resolve) => {
      let isFirst = true;
      answer.on('data', (bytes: Buffer) => {
        const events = splitter.push(bytes).filter((event) => this.isNew(event));
        if (splitter.isOverlong()) {
          resolve({ kind: 'broken', detail: 'an event is too long' });
          answer.destroy();
        }
        if (events.length === 0) {
          return;
        }
        if (isFirst) {
          isFirst = false;
          this.options.onFirstEvent();
        }
        this.forward(answer, facts, events);
      });
      answer.on('end', () =>
        resolve(
          answer.complete && isSound()
            ? this.finish(facts, splitter.getRest())
            : { kind: 'broken', detail: 'the answer was cut off' },
        ),
      );
      answer.on('error', (error) => resolve({ kind: 'broken', detail: error.message }));
      answer.on('close', () => resolve({ kind: 'broken', detail: 'the answer was cut off' }));
    });
  }

  /** Passes over what the caller has from an endpoint before. */
  private isNew({ id }: StreamEvent): boolean {
    const last = Number(this.lastEventId);
    return id === undefined || Number.isNaN(last) || Number.isNaN(Number(id)) || Number(id) > last;
  }

  private forward(
    answer: IncomingMessage,
    facts: AnswerFacts,
    events: readonly StreamEvent[],
  ): void {
    const { call, tokensPerEvent } = this.options;
    if (!call.caller.isStarted()) {
      call.caller.open(facts.status, facts.passedHeaders);
    }
    this.events += events.length;
    this.lastEventId = events.findLast(({ id }) => id !== undefined)?.id ?? this.lastEventId;
    call.deliveredTokens = this.events * tokensPerEvent;
    if (!call.caller.write(Buffer.concat(events.map(({ bytes }) => bytes)))) {
      answer.pause();
      call.caller.onDrain(() => answer.resume());
    }
  }

  private finish(facts: AnswerFacts, rest: Buffer): RelayEnd {
    const { call } = this.options;
    if (!call.caller.isStarted()) {
      call.caller.open(facts.status, facts.passedHeaders);
    }
    if (rest.length > 0) {
      call.caller.write(rest);
    }
    call.caller.end();
    return { kind: 'complete' };
  }
}
