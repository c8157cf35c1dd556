/**
 * Circuit breaker of one endpoint, shared by all requests that use it. Slow calls count as failures, and
 * one probe at a time tests for recovery (method: "Building a Real-Time Ad Bidder in Rust, part 4").
 */

/** Options of a circuit breaker. */
export interface CircuitBreakerOptions {
  /** Number of latest calls over which the failure rate is computed. Default 20. */
  readonly windowSize?: number;
  /** Failure rate that opens the breaker. Default 0.5. */
  readonly failureRateThreshold?: number;
  /** Number of consecutive failures that open the breaker at any failure rate. Default 3. */
  readonly consecutiveFailureThreshold?: number;
  /** Initial time that the breaker stays open, in milliseconds; doubles with each failed probe. Default 500. */
  readonly initialOpenMs?: number;
  /** Maximum time that the breaker stays open, in milliseconds. Default 10,000. */
  readonly openMaxMs?: number;
}

/** The state of a breaker: `closed` admits all calls, `open` none, `probing` waits for the result of one probe. */
export type BreakerState = 'closed' | 'open' | 'probing';

/** A circuit breaker. Times are in milliseconds of the timer service. */
export class CircuitBreaker {
  private readonly outcomes: boolean[] = [];

  private consecutiveFailures = 0;

  private openUntil = 0;

  private currentOpenMs = 0;

  private state: BreakerState = 'closed';

  constructor(private readonly options: CircuitBreakerOptions = {}) {}

  /** Returns whether a call would be admitted. */
  isAvailable(nowMs: number): boolean {
    return this.state === 'closed' || (this.state === 'open' && nowMs >= this.openUntil);
  }

  /** Admits a call, or returns false. After the open time, the first call admitted becomes the probe. */
  tryEnter(nowMs: number): boolean {
    if (!this.isAvailable(nowMs)) {
      return false;
    }
    if (this.state === 'open') {
      this.state = 'probing';
    }
    return true;
  }

  getState(): BreakerState {
    return this.state;
  }

  /** Records the result of an admitted call. */
  record(isSuccess: boolean, nowMs: number): void {
    if (this.state === 'closed') {
      this.recordClosed(isSuccess, nowMs);
    } else if (this.state === 'probing') {
      this.recordProbe(isSuccess, nowMs);
    }
  }

  /** Records the end of a call that tells nothing about the endpoint's health, such as a disconnect of the caller. */
  recordNeutral(): void {
    if (this.state === 'probing') {
      this.state = 'open';
    }
  }

  private recordClosed(isSuccess: boolean, nowMs: number): void {
    const {
      windowSize = 20,
      failureRateThreshold = 0.5,
      consecutiveFailureThreshold = 3,
    } = this.options;
    this.consecutiveFailures = isSuccess ? 0 : this.consecutiveFailures + 1;
    this.outcomes.push(isSuccess);
    if (this.outcomes.length > windowSize) {
      this.outcomes.shift();
    }
    const failureCount = this.outcomes.filter((outcome) => !outcome).length;
    const isFull = this.outcomes.length >= windowSize;
    if (
      this.consecutiveFailures >= consecutiveFailureThreshold ||
      (isFull && failureCount >= windowSize * failureRateThreshold)
    ) {
      this.open(nowMs);
    }
  }

  private recordProbe(isSuccess: boolean, nowMs: number): void {
    if (!isSuccess) {
      this.open(nowMs);
      return;
    }
    this.state = 'closed';
    this.currentOpenMs = 0;
    this.consecutiveFailures = 0;
    this.outcomes.length = 0;
  }

  private open(nowMs: number): void {
    const { initialOpenMs = 500, openMaxMs = 10_000 } = this.options;
    this.currentOpenMs = Math.min(
      openMaxMs,
      this.currentOpenMs === 0 ? initialOpenMs : this.currentOpenMs * 2,
    );
    this.openUntil = nowMs + this.currentOpenMs;
    this.state = 'open';
  }
}
