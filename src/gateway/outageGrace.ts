/** Decides how long endpoints that are absent from a new listing may still be used. */
import type { TopicSnapshot } from '../store/keyedTopicReader.js';

/** Entries that expired in an outage of the store, or were lost in a rewind, are renewed within this time after it. */
export const RENEWAL_MS = 2_000;
/** An entry expires three heartbeats after it was last renewed, and that may have been one heartbeat before the last read. */
const EXPIRY_HEARTBEATS_MIN = 2;

/**
 * Returns the grace period of endpoints absent from a snapshot, in milliseconds. Entries can't have expired in an outage
 * that is shorter than their lifetime, so an endpoint that is absent after a short one has left. A rewind loses entries
 * whatever its length.
 *
 * @example
 * getOutageGraceMs({ isAfterOutage: true, gapMs: 900 }, 1_200); // 0
 */
export function getOutageGraceMs(
  {
    isAfterOutage,
    isAfterRewind = false,
    gapMs,
  }: Pick<TopicSnapshot, 'isAfterOutage' | 'gapMs'> & Partial<TopicSnapshot>,
  heartbeatMs: number,
): number {
  const isExpiryPossible = isAfterOutage && gapMs >= EXPIRY_HEARTBEATS_MIN * heartbeatMs;
  return isAfterRewind || isExpiryPossible ? RENEWAL_MS : 0;
}
