/**
 * The rate at which this process spends tokens, as an exponentially decaying average.
 *
 * @example
 * const rate = new SpendRate(30_000);
 * rate.add(500, nowMs);
 * rate.getTokensPerSecond(nowMs); // 500 tokens over 30 s: 16.7
 */
export class SpendRate {
  private sum = 0;

  private updatedAt = 0;

  /** `timeConstantMs` is the age at which tokens count 1/e (37 %) of their amount. */
  constructor(private readonly timeConstantMs: number) {}

  /** Adds tokens spent at the given time. */
  add(tokens: number, nowMs: number): void {
    this.decay(nowMs);
    this.sum += tokens;
  }

  /** Returns the rate at the given time. */
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
