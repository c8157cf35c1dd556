/** Decides which responses continue a stream, and which of their events are sent to the caller. */
import type { StreamEvent } from './eventSplitter.js';

/** The parts of a head that all responses of one stream share. */
export interface StreamHead {
  readonly status: number;
  /** `undefined` if the response states none. */
  readonly contentType: string | undefined;
}

/** What was received of a stream when an event arrives. */
export interface StreamPosition {
  /** Whether events were sent to the caller. */
  readonly hasSentEvents: boolean;
  /** Id of the last event sent to the caller. */
  readonly lastEventId: string | undefined;
  /** Whether an earlier endpoint began the stream, and this one has sent no event that follows. */
  readonly isResuming: boolean;
}

const EVENT_STREAM = 'text/event-stream';

/**
 * Returns why a response does not continue a stream with the given head, or `undefined` if it does.
 *
 * @example
 * findHeadMismatch(head, { status: 206, contentType: 'text/event-stream' }); // 'status 206 after 200'
 */
export function findHeadMismatch(first: StreamHead, next: StreamHead): string | undefined {
  if (next.status !== first.status) {
    return `status ${next.status} after ${first.status}`;
  }
  const type = getMediaType(next);
  return type === EVENT_STREAM || type === getMediaType(first)
    ? undefined
    : `content type ${type ?? 'missing'} in the continuation`;
}

/**
 * Returns whether an event is sent to the caller, was sent before, or can't be a part of the caller's stream.
 *
 * @example
 * classifyEvent(event, { hasSentEvents: true, lastEventId: '2', isResuming: true });
 */
export function classifyEvent(
  { id, kind }: StreamEvent,
  { hasSentEvents, lastEventId, isResuming }: StreamPosition,
): 'new' | 'repeated' | 'foreign' {
  if (kind === 'foreign' && hasSentEvents) {
    return 'foreign';
  }
  if (id === undefined) {
    // Without an id, nothing shows that an event follows the last one of another endpoint.
    return isResuming && kind === 'event' ? 'foreign' : 'new';
  }
  const distance = Number(id) - Number(lastEventId);
  if (distance === 0) {
    return 'repeated';
  }
  return distance < 0 ? 'foreign' : 'new';
}

function getMediaType({ contentType }: StreamHead): string | undefined {
  return contentType?.split(';')[0]!.trim().toLowerCase();
}
