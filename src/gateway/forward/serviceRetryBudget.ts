/**
 * Limits repeated sends of one service in a sliding window. It answers endpoints that all fail at once: each router
 * takes a part of the share that the whole fleet may use, so that no talk between routers is needed.
 */

/** Options of an allowance. */
export interface ServiceRetryBudgetOptions {
  readonly windowMs: number;
  /** Repeats a call pays for. */
  readonly ratio: number;
  /** Repeats in a window beyond the share, over all routers. */
  readonly burst: number;
  /** Returns how many routers there are. */
  readonly getRouterCount: () => number;
}

const BUCKET_COUNT = 10;
/** Part of the limit that is used, since routers count in windows that begin at other moments. */
const LIMIT_FACTOR = 0.7;

/** Calls and repeats of one service. */
export class ServiceRetryBudget {
  private readonly callCounts = new Array<number>(BUCKET_COUNT).fill(0);

  private readonly retryCounts = new Array<number>(BUCKET_COUNT).fill(0);

  private currentBucket = 0;

  constructor(private readonly options: ServiceRetryBudgetOptions) {}

  /** Takes a first send. */
  recordCall(nowMs: number): void {
    this.advance(nowMs);
    this.callCounts[this.currentBucket % BUCKET_COUNT]! += 1;
  }

  /** Takes a repeat out of the allowance, or returns false where it is used up. */
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
