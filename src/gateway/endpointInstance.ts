/** One endpoint as this process knows it. */
import { CircuitBreaker } from '../routing/circuitBreaker.js';
import type { EndpointEntry } from '../types/gateway.js';
import type { Offset } from '../types/ids.js';
import { EndpointLimit } from './limits/endpointLimit.js';
import { WarmupLimit, type WarmupPolicy } from './limits/warmupLimit.js';

/** One start of one endpoint, with this process's view of its load and health. */
export class EndpointInstance {
  readonly breaker = new CircuitBreaker({
    consecutiveFailureThreshold: 3,
    initialOpenMs: 300,
    openMaxMs: 2_000,
  });

  /** Calls of this process in flight on the endpoint. */
  inFlight = 0;

  /** Prompt tokens of this process's calls that await their first event. */
  pendingPrefillTokens = 0;

  /** Whether the endpoint accepts no new calls, according to its entry or its responses. */
  isLeaving = false;

  /** Whether the endpoint was absent from the last complete listing, and no newer entry has arrived since. */
  isUnlisted = false;

  /** This process prefers other endpoints until this time, after a refusal or a failed connection. */
  backoffUntil = 0;

  /** The limit that the endpoint has named for all gateways together. */
  limit = new EndpointLimit();

  /** The limit while the endpoint is cold. */
  warmup: WarmupLimit;

  /** Whether the availability zone of the endpoint is evacuated. */
  isEvacuated = false;

  /** This process sends no call until this time, as the endpoint requested with `retry-after`. */
  pausedUntil = 0;

  constructor(
    public entry: EndpointEntry,
    /**
     * Offset of the store's record that the entry was read from. Of a removed endpoint, the offset before which no record
     * describes it any more.
     */
    public offset: Offset,
    /** Default: cold endpoints have no limit. */
    warmupPolicy?: WarmupPolicy,
  ) {
    this.warmup = new WarmupLimit(entry.id, warmupPolicy);
    this.isLeaving = entry.state === 'leaving';
  }

  /** Returns whether a call may be sent to the endpoint at all. */
  isEligible(nowMs: number): boolean {
    return !this.isLeaving && !this.isEvacuated && this.getWaitMs(nowMs) === 0;
  }

  /** Returns the time until the endpoint's own wishes allow a call of this process, in milliseconds. */
  getWaitMs(nowMs: number): number {
    return Math.max(
      0,
      this.pausedUntil - nowMs,
      this.limit.getDelayMs(nowMs),
      this.warmup.getDelayMs(nowMs),
    );
  }

  /** Returns whether a limit on calls per second is in force. */
  isLimited(nowMs: number): boolean {
    return this.limit.isInForce() || this.warmup.isInForce(nowMs);
  }

  /** Counts a call that is sent. */
  recordSend(nowMs: number): void {
    this.limit.take(nowMs);
    this.warmup.take(nowMs);
  }

  /** Returns whether the endpoint is eligible, not in backoff, and its circuit breaker admits a call. */
  isAvailable(nowMs: number): boolean {
    return this.isEligible(nowMs) && this.backoffUntil <= nowMs && this.breaker.isAvailable(nowMs);
  }
}
