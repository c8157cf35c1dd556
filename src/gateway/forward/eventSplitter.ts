/** Splits the bytes of an event stream into whole events. */

/** One whole event, with the blank line that ends it. */
export interface StreamEvent {
  readonly bytes: Buffer;
  /** `undefined` where the event has none. */
  readonly id: string | undefined;
}

/** An event of an engine holds some tokens; what grows past this is no event. */
const EVENT_BYTES_MAX = 262_144;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = /(?:^|\n)id: ?([^\r\n]*)/;

/** Collects bytes until an event is whole. */
export class EventSplitter {
  private remainder: Buffer = Buffer.alloc(0);

  /** Takes bytes in and returns the events that they complete. */
  push(bytes: Buffer): StreamEvent[] {
    const data = this.remainder.length > 0 ? Buffer.concat([this.remainder, bytes]) : bytes;
    const events: StreamEvent[] = [];
    let start = 0;
    for (let end = findEventEnd(data, start); end > 0; end = findEventEnd(data, start)) {
      const event = data.subarray(start, end);
      events.push({ bytes: event, id: ID_FIELD.exec(event.toString('latin1'))?.[1] });
      start = end;
    }
    this.remainder = data.subarray(start);
    return events;
  }

  /** Returns whether the event in progress is too long to be one. */
  isOverlong(): boolean {
    return this.remainder.length > EVENT_BYTES_MAX;
  }

  /** Returns the bytes after the last whole event. */
  getRemainder(): Buffer {
    return this.remainder;
  }
}

/** Returns the position after the next blank line, 0 where there is none yet. */
function findEventEnd(data: Buffer, start: number): number {
  for (
    let feed = data.indexOf(LINE_FEED, start);
    feed >= 0;
    feed = data.indexOf(LINE_FEED, feed + 1)
  ) {
    const next = data[feed + 1] === CARRIAGE_RETURN ? feed + 2 : feed + 1;
    if (data[next] === LINE_FEED) {
      return next + 1;
    }
  }
  return 0;
}
