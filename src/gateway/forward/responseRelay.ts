/** Relays the response of an endpoint to the caller, buffered or event by event. */
import type { IncomingMessage } from 'node:http';
import { ByteCollector } from '../../core/byteCollector.js';
import type { MemoryBudget } from '../../core/memoryBudget.js';
import type { TimerService } from '../../core/timers.js';
import type { ResponseMetadata } from '../../types/gateway.js';
import type { GatewayCall } from '../call.js';
import { isCloseDelimited } from './endpointCall.js';
import { EventSplitter, type StreamEvent } from './eventSplitter.js';
import { classifyEvent, findHeadMismatch, type StreamHead } from './streamContinuation.js';

/** How a relayed stream ended. */
export type RelayResult =
  | { readonly kind: 'complete' }
  /** The endpoint truncated the response, or sent one that can't be relayed. */
  | { readonly kind: 'broken'; readonly detail: string };

const BUFFERED_BODY_BYTES_MAX = 8 * 1_048_576;
/** An endpoint that sends comments, blank lines or events again without end sends no answer. */
const BYTES_WITHOUT_EVENT_MAX = 262_144;
const DISCARD_BYTES_MAX = 65_536; // more than the body of a refusal
const DISCARD_TIMEOUT_MS = 1_000; // opening a new connection costs less than a longer wait

/** A response being received. */
export interface IncomingResponse {
  readonly message: IncomingMessage;
  /** Returns whether the connection has had no error so far. */
  readonly isErrorFree: () => boolean;
}

/** The body of a response, or the reason why it can't be used. */
export type BodyResult =
  | { readonly kind: 'complete'; readonly body: Buffer }
  /** The response is complete, but its body was not needed any more. */
  | { readonly kind: 'discarded' }
  | { readonly kind: 'broken'; readonly detail: string };

/**
 * Reads the body of a response. Gives up one that is truncated or too long, alone or together with other bodies. Once
 * `unneeded` is aborted, the body is still read to its end, but no bytes are kept.
 */
export function readResponseBody(
  { message: response, isErrorFree }: IncomingResponse,
  memory: MemoryBudget,
  unneeded?: AbortSignal,
): Promise<BodyResult> {
  return new Promise((resolve) => {
    let body = new ByteCollector();
    let receivedBytes = 0;
    const giveUp = (detail: string) => {
      resolve({ kind: 'broken', detail });
      response.destroy();
    };
    const share = memory.open((usedBytes) => giveUp(describeEviction(usedBytes)));
    const discard = () => {
      share.close();
      body = new ByteCollector();
    };
    unneeded?.addEventListener('abort', discard);
    const fail = () => resolve({ kind: 'broken', detail: 'response truncated' });
    response.on('data', (chunk: Buffer) => {
      if (response.destroyed) {
        return;
      }
      receivedBytes += chunk.length;
      if (!unneeded?.aborted) {
        body.append(chunk);
        share.add(chunk.length);
      }
      if (receivedBytes > BUFFERED_BODY_BYTES_MAX) {
        giveUp(`response exceeds ${BUFFERED_BODY_BYTES_MAX} bytes`);
      }
    });
    response.on('end', () => {
      if (!response.complete || !isErrorFree()) {
        fail();
      } else if (unneeded?.aborted) {
        resolve({ kind: 'discarded' });
      } else {
        resolve({ kind: 'complete', body: body.getBytes() });
      }
    });
    response.on('error', fail);
    response.on('close', () => {
      unneeded?.removeEventListener('abort', discard);
      share.close();
      fail();
    });
  });
}

function describeEviction(usedBytes: number): string {
  return `the largest of the responses being read, which hold ${usedBytes} bytes`;
}

/**
 * Reads and discards the rest of a response, so that its connection can be reused. Closes the connection if the
 * response is long or slow.
 */
export function discardResponse(response: IncomingMessage, timers: TimerService): void {
  let length = 0;
  const cancel = timers.subscribe(DISCARD_TIMEOUT_MS, () => response.destroy());
  response.on('data', (chunk: Buffer) => {
    length += chunk.length;
    if (length > DISCARD_BYTES_MAX) {
      response.destroy();
    }
  });
  response.on('error', () => {});
  response.on('close', cancel);
}

/** Options of a stream relay. */
export interface StreamRelayOptions {
  readonly call: GatewayCall;
  readonly tokensPerEvent: number;
  /** Shared by all responses that are being read. */
  readonly responseMemory: MemoryBudget;
  /** Called whenever new events arrive. */
  readonly onEvents: () => void;
}

/** One stream to a caller, continued over all endpoints that produce it. */
export class StreamRelay {
  private lastEventId: string | undefined;

  private hasSent = false;

  /** Without comments, which hold no tokens. */
  private sentEventCount = 0;

  /** The head of the first response that began the stream. */
  private head: StreamHead | undefined;

  constructor(private readonly options: StreamRelayOptions) {}

  /** Returns whether events or comments were sent to the caller. */
  hasSentEvents(): boolean {
    return this.hasSent;
  }

  /** Returns the id of the last event sent to the caller. */
  getLastEventId(): string | undefined {
    return this.lastEventId;
  }

  /** Sends events to the caller as they arrive; the head is sent with the first one. */
  relay(
    { message: response, isErrorFree }: IncomingResponse,
    metadata: ResponseMetadata,
  ): Promise<RelayResult> {
    const splitter = new EventSplitter();
    const head = { status: metadata.status, contentType: response.headers['content-type'] };
    const mismatch = this.head && findHeadMismatch(this.head, head);
    let isResuming = this.hasSentEvents();
    let bytesWithoutEvent = 0;
    let hasEvents = false;
    let isGivenUp = false;
    return new Promise((resolve) => {
      // Node may still emit data and the end of a response that was destroyed.
      const giveUp = (detail: string) => {
        isGivenUp = true;
        resolve({ kind: 'broken', detail });
        response.destroy();
      };
      const share = this.options.responseMemory.open((usedBytes) =>
        giveUp(describeEviction(usedBytes)),
      );
      response.on('data', (chunk: Buffer) => {
        if (isGivenUp) {
          return;
        }
        const { events, isForeign } = this.selectEvents(splitter.push(chunk), isResuming);
        const isProgress = events.some(({ kind }) => kind === 'event');
        bytesWithoutEvent = isProgress ? 0 : bytesWithoutEvent + chunk.length;
        share.add(splitter.getPartialLength() - share.bytes);
        if (events.length > 0) {
          this.head ??= head;
          this.options.onEvents();
          this.forward(response, metadata, events);
          hasEvents ||= events.some(({ kind }) => kind !== 'comment');
          isResuming &&= !hasEvents;
        }
        if (isForeign) {
          giveUp('bytes that are no event of the stream');
        } else if (splitter.isOverlong()) {
          giveUp('event exceeds the size limit');
        } else if (bytesWithoutEvent > BYTES_WITHOUT_EVENT_MAX) {
          giveUp(`no event within ${BYTES_WITHOUT_EVENT_MAX} bytes`);
        }
      });
      response.on('end', () => {
        if (isGivenUp) {
          return;
        }
        const isWhole = response.complete && isErrorFree();
        const detail = isWhole
          ? findTruncation(response, splitter, hasEvents)
          : 'response truncated';
        resolve(detail === undefined ? this.finish(metadata) : { kind: 'broken', detail });
      });
      response.on('error', (error) => resolve({ kind: 'broken', detail: error.message }));
      response.on('close', () => {
        share.close();
        resolve({ kind: 'broken', detail: 'response truncated' });
      });
      if (mismatch !== undefined) {
        giveUp(mismatch);
      }
    });
  }

  /** Returns the events that the caller has not received, up to the first that can't be a part of its stream. */
  private selectEvents(
    events: readonly StreamEvent[],
    isResuming: boolean,
  ): { readonly events: readonly StreamEvent[]; readonly isForeign: boolean } {
    const position = {
      hasSentEvents: this.hasSentEvents(),
      lastEventId: this.lastEventId,
      isResuming,
    };
    const selected: StreamEvent[] = [];
    const isForeign = events.some((event) => {
      const kind = classifyEvent(event, position);
      if (kind === 'new') {
        selected.push(event);
        position.hasSentEvents = true;
        position.lastEventId = event.id ?? position.lastEventId;
        position.isResuming &&= event.kind === 'comment';
      }
      return kind === 'foreign';
    });
    return { events: selected, isForeign };
  }

  private forward(
    response: IncomingMessage,
    metadata: ResponseMetadata,
    events: readonly StreamEvent[],
  ): void {
    const { call, tokensPerEvent } = this.options;
    if (!call.caller.isHeadSent()) {
      call.caller.sendHead(metadata.status, metadata.forwardedHeaders);
    }
    this.hasSent = true;
    this.sentEventCount += events.filter(({ kind }) => kind !== 'comment').length;
    this.lastEventId = events.findLast(({ id }) => id !== undefined)?.id ?? this.lastEventId;
    call.deliveredTokens = this.sentEventCount * tokensPerEvent;
    if (!call.caller.write(Buffer.concat(events.map(({ bytes }) => bytes)))) {
      response.pause();
      call.caller.onDrain(() => response.resume());
    }
  }

  private finish(metadata: ResponseMetadata): RelayResult {
    const { call } = this.options;
    if (!call.caller.isHeadSent()) {
      call.caller.sendHead(metadata.status, metadata.forwardedHeaders);
    }
    call.caller.end();
    return { kind: 'complete' };
  }
}

/**
 * Returns why a response is truncated although its framing is whole, or `undefined` if it is not. A length or a last
 * chunk states that nothing follows, also if the run had nothing left to send; a close states it only after an event.
 */
function findTruncation(
  response: IncomingMessage,
  splitter: EventSplitter,
  hasEvents: boolean,
): string | undefined {
  if (splitter.hasPartialEvent()) {
    return 'stream ended inside an event';
  }
  return isCloseDelimited(response) && !hasEvents ? 'stream ended before an event' : undefined;
}
