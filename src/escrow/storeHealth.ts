/** What one process knows about whether the store answers it. */
import type { Logger } from '../core/logging.js';
import type { TimerService } from '../core/timers.js';
import type { Offset } from '../types/ids.js';

const RETRY_MIN_MS = 150;
const RETRY_MAX_MS = 700;

/** Failures of the store in a row, and when it answered. */
export class StoreHealth {
  private failures = 0;

  /** When the exchange in progress began, or its last call was answered. */
  private unansweredSince = 0;

  private retryAt = 0;

  /** Since when the store has answered. */
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

  /** Returns whether a call may be made again. */
  isRetryDue(): boolean {
    return this.timers.now() >= this.retryAt;
  }

  /** Returns how long a call has had no answer, in milliseconds. */
  getCallAgeMs(): number {
    return this.timers.now() - this.unansweredSince;
  }

  /** Returns how long ago the store began to answer, in milliseconds. */
  getRecoveryAgeMs(): number {
    return this.timers.now() - this.recoveredAt;
  }

  /** Notes that an exchange begins. */
  recordCallStart(): void {
    this.unansweredSince = this.timers.now();
  }

  /** Notes an answer. */
  recordSuccess(offset: Offset | undefined): void {
    if (this.failures > 0) {
      this.recoveredAt = this.timers.now();
      this.logger.info('accounts in reach', { offset, failures: this.failures });
    }
    this.failures = 0;
    this.retryAt = 0;
    this.unansweredSince = this.timers.now();
  }

  /** Notes a call without a usable answer. */
  recordFailure(offset: Offset | undefined, detail: string): void {
    if (this.failures === 0) {
      this.logger.warn('accounts out of reach', { detail, offset });
    }
    this.failures += 1;
    this.retryAt = this.timers.now() + Math.min(RETRY_MAX_MS, RETRY_MIN_MS * this.failures);
  }
}
