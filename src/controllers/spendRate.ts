/** Estimates how fast a budget is spent here: an average that forgets exponentially. */
const TIME_CONSTANT_MS = 30_000;

/**
 * A decaying average of tokens a second.
 *
 * @example
 * const rate = new SpendRate();
 * rate.add(500, nowMs);
 * rate.getTokensPerSecond(nowMs); // 500 tokens over 30 s: 16.7
 */
export class SpendRate {
  private sum = 0;

  private updatedAt = 0;

  /** Adds tokens spent at a time, in milliseconds. */
  add(tokens: number, nowMs: number): void {
    this.decay(nowMs);
    this.sum += tokens;
  }

  /** Returns the rate at a time, in tokens a second. */
  getTokensPerSecond(nowMs: number): number {
    this.decay(nowMs);
    return (this.sum * 1_000) / TIME_CONSTANT_MS;
  }

  private decay(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedAt);
    this.sum *= Math.exp(-elapsedMs / TIME_CONSTANT_MS);
    this.updatedAt = nowMs;
  }
}
