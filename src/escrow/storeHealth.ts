/** The availability of the store as observed by one process. */
import type { Logger } from '../core/logging.js';
import type { TimerService } from '../core/timers.js';
import type { Offset } from '../types/ids.js';

const RETRY_MIN_MS = 150;
const RETRY_MAX_MS = 700;

/** Counts consecutive failed store calls and keeps the times of calls, responses and retries. */
export class StoreHealth {
  private failures = 0;

  /** When the sync in progress began or its last call got a response. */
  private unansweredSince = 0;

  private retryAt = 0;

  /** When the store last became available. */
  private recoveredAt: number;

  constructor(
    private readonly timers: TimerService,
    private readonly logger: Logger,
  ) {
    this.recoveredAt = timers.now();
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

  /** Returns the time since the store last became available, in milliseconds. */
  getRecoveryAgeMs(): number {
    return this.timers.now() - this.recoveredAt;
  }

  /** Records the start of a sync. */
  recordCallStart(): void {
    this.unansweredSince = this.timers.now();
  }

  /** Records a response. */
  recordSuccess(offset: Offset | undefined): void {
    if (this.failures > 0) {
      this.recoveredAt = this.timers.now();
      this.logger.info('account store available again', { offset, failures: this.failures });
    }
    this.failures = 0;
    this.retryAt = 0;
    this.unansweredSince = this.timers.now();
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
