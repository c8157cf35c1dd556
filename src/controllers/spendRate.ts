import { DecayingSum } from '../core/decayingSum.js';

/**
 * The rate at which this process spends tokens, as an exponentially decaying average.
 *
 * @example
 * const rate = new SpendRate(30_000);
 * rate.add(500, nowMs);
 * rate.getTokensPerSecond(nowMs); // 500 tokens over 30 s: 16.7
 */
export class SpendRate {
  private readonly sum: DecayingSum;

  /** `timeConstantMs` is the age at which tokens count 1/e (37 %) of their amount. */
  constructor(private readonly timeConstantMs: number) {
    this.sum = new DecayingSum(timeConstantMs);
  }

  /** Adds tokens spent at the given time. */
  add(tokens: number, nowMs: number): void {
    this.sum.add(tokens, nowMs);
  }

  /** Returns the rate at the given time. */
  getTokensPerSecond(nowMs: number): number {
    return (this.sum.get(nowMs) * 1_000) / this.timeConstantMs;
  }
}
