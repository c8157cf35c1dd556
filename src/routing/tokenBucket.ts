/** A token bucket whose rate and size may change while it is used. */

/** The rate and the size of a bucket. */
export interface BucketShape {
  /** Tokens added per second. */
  readonly ratePerSecond: number;
  /** The most tokens that the bucket holds. */
  readonly size: number;
}

/** Starts empty. */
export class TokenBucket {
  private tokens = 0;

  constructor(
    private shape: BucketShape,
    private filledAt: number,
  ) {}

  /** Changes the rate and the size from now on. */
  reshape(shape: BucketShape, nowMs: number): void {
    this.fill(nowMs);
    this.shape = shape;
    this.tokens = Math.min(this.tokens, shape.size);
  }

  /** Returns whether a token is available. */
  hasToken(nowMs: number): boolean {
    this.fill(nowMs);
    return this.tokens >= 1;
  }

  /** Takes a token. If none is available, the next ones come later. */
  take(nowMs: number): void {
    this.fill(nowMs);
    this.tokens -= 1;
  }

  /** Returns the time until a token is available, in milliseconds; infinite if the rate is 0. */
  getDelayMs(nowMs: number): number {
    this.fill(nowMs);
    return this.tokens >= 1 ? 0 : ((1 - this.tokens) / this.shape.ratePerSecond) * 1_000;
  }

  private fill(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.filledAt);
    const { ratePerSecond, size } = this.shape;
    this.tokens = Math.min(size, this.tokens + (elapsedMs / 1_000) * ratePerSecond);
    this.filledAt = Math.max(this.filledAt, nowMs);
  }
}
