/** The availability of the store as observed by one process. */
import type { Logger } from '../core/logging.js';
import type { TimerService } from '../core/timers.js';
import type { Offset } from '../types/ids.js';

const RETRY_MIN_MS = 150;
const RETRY_MAX_MS = 700;
/** One lost answer takes 700 ms to time out and up to 700 ms to retry; shorter gaps are no outage. */
const OUTAGE_MIN_MS = 3_000;

/** Counts consecutive failed store calls and keeps the times of calls, responses and retries. */
export class StoreHealth {
  private failures = 0;

  /** When the sync in progress began or its last call got a response. */
  private unansweredSince = 0;

  private retryAt = 0;

  /** When the store last responded. */
  private respondedAt: number;

  /** When the last outage ended. */
  private recoveredAt: number;

  constructor(
    private readonly timers: TimerService,
    private readonly logger: Logger,
  ) {
    this.recoveredAt = timers.now();
    this.respondedAt = timers.now();
  }

  /** Returns whether the last call failed. */
  isUnavailable(): boolean {
    return this.failures > 0;
  }

  /** Returns whether the next call may be made. */
  isRetryDue(): boolean {
    return this.timers.now() >= this.retryAt;
  }

  /** Returns how long the current call has had no response, in milliseconds. */
  getCallAgeMs(): number {
    return this.timers.now() - this.unansweredSince;
  }

  /** Returns the time since the last outage ended, in milliseconds. A few lost answers are no outage. */
  getRecoveryAgeMs(): number {
    return this.timers.now() - this.recoveredAt;
  }

  /** Records the start of a sync. */
  recordCallStart(): void {
    this.unansweredSince = this.timers.now();
  }

  /** Records a response. */
  recordSuccess(offset: Offset | undefined): void {
    const now = this.timers.now();
    if (this.failures > 0) {
      const silentMs = now - this.respondedAt;
      this.recoveredAt = silentMs >= OUTAGE_MIN_MS ? now : this.recoveredAt;
      const { failures } = this;
      this.logger.info('account store available again', { offset, failures, silentMs });
    }
    this.failures = 0;
    this.retryAt = 0;
    this.respondedAt = now;
    this.unansweredSince = now;
  }

  /** Records a call that failed or got no response, and delays the next one. */
  recordFailure(offset: Offset | undefined, detail: string): void {
    if (this.failures === 0) {
      this.logger.warn('account store unavailable', { detail, offset });
    }
    this.failures += 1;
    this.retryAt = this.timers.now() + Math.min(RETRY_MAX_MS, RETRY_MIN_MS * this.failures);
  }
}
