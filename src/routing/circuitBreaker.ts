/**
 * One health view of one endpoint, shared by every request that uses it. Slow calls count as failed
 * ones, and one probe at a time tests a recovery (method: "Building a Real-Time Ad Bidder in Rust,
 * part 4").
 */

/** Options of a circuit breaker. */
export interface CircuitBreakerOptions {
  /** How many of the latest calls count. Default 20. */
  readonly windowSize?: number;
  /** Share of failed calls that opens the breaker. Default 0.5. */
  readonly failureRateThreshold?: number;
  /** Failures in a row that open it whatever the share. Default 3. */
  readonly consecutiveFailureThreshold?: number;
  /** First time it stays open, in milliseconds; doubles with each failed probe. Default 500. */
  readonly initialOpenMs?: number;
  /** Longest time it stays open, in milliseconds. Default 10,000. */
  readonly openMaxMs?: number;
}

/** What the breaker lets through. */
export type BreakerState = 'closed' | 'open' | 'probing';

/** A breaker. Times are in milliseconds of the timer service. */
export class CircuitBreaker {
  private readonly outcomes: boolean[] = [];

  private consecutiveFailures = 0;

  private openUntil = 0;

  private currentOpenMs = 0;

  private state: BreakerState = 'closed';

  constructor(private readonly options: CircuitBreakerOptions = {}) {}

  /** Returns whether a call would be let through. */
  isAvailable(nowMs: number): boolean {
    return this.state === 'closed' || (this.state === 'open' && nowMs >= this.openUntil);
  }

  /** Lets a call through, or not. While open, one call in all becomes the probe. */
  tryEnter(nowMs: number): boolean {
    if (!this.isAvailable(nowMs)) {
      return false;
    }
    if (this.state === 'open') {
      this.state = 'probing';
    }
    return true;
  }

  /** Returns the state. */
  getState(): BreakerState {
    return this.state;
  }

  /** Takes the result of a call that was let through. */
  record(success: boolean, nowMs: number): void {
    if (this.state === 'closed') {
      this.recordClosed(success, nowMs);
    } else if (this.state === 'probing') {
      this.recordProbe(success, nowMs);
    }
  }

  /** Takes the end of a call that says nothing about the endpoint, such as the caller's leaving. */
  recordNeutral(): void {
    if (this.state === 'probing') {
      this.state = 'open';
    }
  }

  private recordClosed(success: boolean, nowMs: number): void {
    const {
      windowSize: windowSize = 20,
      failureRateThreshold: failureRateThreshold = 0.5,
      consecutiveFailureThreshold: consecutiveFailureThreshold = 3,
    } = this.options;
    this.consecutiveFailures = success ? 0 : this.consecutiveFailures + 1;
    this.outcomes.push(success);
    if (this.outcomes.length > windowSize) {
      this.outcomes.shift();
    }
    const failed = this.outcomes.filter((outcome) => !outcome).length;
    const full = this.outcomes.length >= windowSize;
    if (
      this.consecutiveFailures >= consecutiveFailureThreshold ||
      (full && failed >= windowSize * failureRateThreshold)
    ) {
      this.open(nowMs);
    }
  }

  private recordProbe(success: boolean, nowMs: number): void {
    if (!success) {
      this.open(nowMs);
      return;
    }
    this.state = 'closed';
    this.currentOpenMs = 0;
    this.consecutiveFailures = 0;
    this.outcomes.length = 0;
  }

  private open(nowMs: number): void {
    const { initialOpenMs: initialOpenMs = 500, openMaxMs = 10_000 } = this.options;
    this.currentOpenMs = Math.min(
      openMaxMs,
      this.currentOpenMs === 0 ? initialOpenMs : this.currentOpenMs * 2,
    );
    this.openUntil = nowMs + this.currentOpenMs;
    this.state = 'open';
  }
}
