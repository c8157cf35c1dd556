/**
 * Limits the retries of one service in a sliding window, so that endpoints that all fail at once are not overloaded by
 * retries. Each router uses its part of the fleet's limit, which needs no communication between routers.
 */

/** Options of a retry budget. */
export interface ServiceRetryBudgetOptions {
  readonly windowMs: number;
  /** Retries allowed per call. */
  readonly ratio: number;
  /** Retries allowed per window in addition to the ratio, over all routers. */
  readonly burst: number;
  /** Returns the number of routers in the fleet. */
  readonly getRouterCount: () => number;
}

const BUCKET_COUNT = 10;
/** Fraction of the limit that is used, because the windows of the routers start at different times. */
const LIMIT_FACTOR = 0.7;

/** Counts the calls and retries of one service. */
export class ServiceRetryBudget {
  private readonly callCounts = new Array<number>(BUCKET_COUNT).fill(0);

  private readonly retryCounts = new Array<number>(BUCKET_COUNT).fill(0);

  private currentBucket = 0;

  constructor(private readonly options: ServiceRetryBudgetOptions) {}

  /** Counts the first attempt of a call. */
  recordCall(nowMs: number): void {
    this.advance(nowMs);
    this.callCounts[this.currentBucket % BUCKET_COUNT]! += 1;
  }

  /** Takes one retry from the budget, or returns false if the budget is used up. */
  tryAcquire(nowMs: number): boolean {
    this.advance(nowMs);
    const { ratio, burst, getRouterCount } = this.options;
    const limit = sum(this.callCounts) * ratio + burst / Math.max(1, getRouterCount());
    if (sum(this.retryCounts) + 1 > limit * LIMIT_FACTOR) {
      return false;
    }
    this.retryCounts[this.currentBucket % BUCKET_COUNT]! += 1;
    return true;
  }

  private advance(nowMs: number): void {
    const bucket = Math.floor((nowMs * BUCKET_COUNT) / this.options.windowMs);
    const clearedCount = Math.min(BUCKET_COUNT, bucket - this.currentBucket);
    for (let step = 1; step <= clearedCount; step += 1) {
      this.callCounts[(this.currentBucket + step) % BUCKET_COUNT] = 0;
      this.retryCounts[(this.currentBucket + step) % BUCKET_COUNT] = 0;
    }
    if (clearedCount >= BUCKET_COUNT) {
      this.callCounts.fill(0);
      this.retryCounts.fill(0);
    }
    this.currentBucket = Math.max(bucket, this.currentBucket);
  }
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
