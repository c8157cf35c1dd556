/** Decides which calls a stopping gateway still forwards, and what it answers to the others. */
import { createRefusal, type Refusal } from '../core/codes.js';

const DRAINING_RETRY_AFTER_MS = 100; // another process accepts the call at once

/** Creates the refusal of a call that another process is to serve. */
export function createDrainingRefusal(): Refusal {
  return createRefusal('draining', { retryAfterMs: DRAINING_RETRY_AFTER_MS });
}

/**
 * Returns whether a call that no endpoint has may still be sent to one. Its response can arrive as late as its deadline,
 * and calls that are open at the end of the stop are ended.
 *
 * @example
 * isForwardingAllowed({ callDeadline: 6_000, stopDeadline: 7_500 }); // true: times of one clock, in milliseconds
 */
export function isForwardingAllowed({
  callDeadline,
  stopDeadline,
}: {
  readonly callDeadline: number;
  /** When calls in flight are ended; `undefined` while new calls are accepted. */
  readonly stopDeadline: number | undefined;
}): boolean {
  return stopDeadline === undefined || callDeadline <= stopDeadline;
}
