/** Estimates how fast a budget is spent here: an average that forgets exponentially. */
/**
 * A decaying average of tokens a second.
 *
 * @example
 * const rate = new SpendRate(30_000);
 * rate.add(500, nowMs);
 * rate.getTokensPerSecond(nowMs); // 500 tokens over 30 s: 16.7
 */
export class SpendRate {
  private sum = 0;

  private updatedAt = 0;

  /** The time constant in milliseconds: what is older counts less than a third. */
  constructor(private readonly timeConstantMs: number) {}

  /** Adds tokens spent at a time, in milliseconds. */
  add(tokens: number, nowMs: number): void {
    this.decay(nowMs);
    this.sum += tokens;
  }

  /** Returns the rate at a time, in tokens a second. */
  getTokensPerSecond(nowMs: number): number {
    this.decay(nowMs);
    return (this.sum * 1_000) / this.timeConstantMs;
  }

  private decay(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.updatedAt);
    this.sum *= Math.exp(-elapsedMs / this.timeConstantMs);
    this.updatedAt = nowMs;
  }
}
