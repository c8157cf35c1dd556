/** Splits the bytes of a server-sent event stream into complete events. */
import { ByteCollector } from '../../core/byteCollector.js';

/** One complete event, including the blank line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** `undefined` if the event has none. */
  readonly id: string | undefined;
  /** `foreign` if the lines are neither comments nor hold a field of an event. */
  readonly kind: 'event' | 'comment' | 'foreign';
}

/** Far above the size of an engine's event, which holds a few tokens. */
const EVENT_BYTES_MAX = 262_144;
/** A line feed, an optional carriage return and another line feed. */
const EVENT_END_BYTES_MAX = 3;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
/** A line that is neither empty nor a comment. */
const PARTIAL_EVENT = /(?:^|[\r\n])[^:\r\n]/;
const ID_FIELD = /(?:^|\n)id: ?([^\r\n]*)/;
const EVENT_FIELD = /(?:^|\n)(?:id|data|event|retry)(?:[:\r\n]|$)/;

/** Buffers bytes until an event is complete. */
export class EventSplitter {
  private remainder = new ByteCollector();

  /** Adds bytes and returns the events that they complete, which are valid until the next call. */
  push(bytes: Buffer): StreamEvent[] {
    // Bytes that were searched before hold no complete event, but may hold the start of the end of one.
    const searchFrom = Math.max(0, this.remainder.length - EVENT_END_BYTES_MAX);
    this.remainder.append(bytes);
    const data = this.remainder.getBytes();
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = findEventEnd(data, searchFrom); end > 0; end = findEventEnd(data, start)) {
      const bytesOfEvent = data.subarray(start, end);
      const text = bytesOfEvent.toString('latin1');
      events.push({
        bytes: bytesOfEvent,
        id: ID_FIELD.exec(text)?.[1] || undefined,
        kind: getKind(text),
      });
      start = end;
    }
    if (start > 0) {
      this.remainder = new ByteCollector({ bytes: data.subarray(start) });
    }
    return events;
  }

  /** Returns whether the incomplete event exceeds the size limit. */
  isOverlong(): boolean {
    return this.remainder.length > EVENT_BYTES_MAX;
  }

  /** Returns the number of bytes after the last complete event. */
  getPartialLength(): number {
    return this.remainder.length;
  }

  /** Returns the bytes after the last complete event. */
  getRemainder(): Buffer {
    return this.remainder.getBytes();
  }

  /** Returns whether the bytes after the last complete event hold the start of another one; comments do not. */
  hasPartialEvent(): boolean {
    return PARTIAL_EVENT.test(this.getRemainder().toString('latin1'));
  }
}

function getKind(text: string): StreamEvent['kind'] {
  if (EVENT_FIELD.test(text)) {
    return 'event';
  }
  return PARTIAL_EVENT.test(text) ? 'foreign' : 'comment';
}

/** Returns the position after the next blank line, or 0 if there is none yet. */
function findEventEnd(data: Buffer, start: number): number {
  for (
    let position = data.indexOf(LINE_FEED, start);
    position >= 0;
    position = data.indexOf(LINE_FEED, position + 1)
  ) {
    const next = data[position + 1] === CARRIAGE_RETURN ? position + 2 : position + 1;
    if (data[next] === LINE_FEED) {
      return next + 1;
    }
  }
  return 0;
}
