/**
 * A sum of amounts that decay exponentially with their age.
 *
 * @example
 * const sum = new DecayingSum(30_000);
 * sum.add(500, nowMs);
 * sum.get(nowMs + 30_000); // 184: after one time constant 37 % are left
 */
export class DecayingSum {
  private sum = 0;

  private updatedAt = 0;

  /** `timeConstantMs` is the age at which an amount counts 1/e (37 %). */
  constructor(private readonly timeConstantMs: number) {}

  /** Adds an amount at the given time. */
  add(amount: number, nowMs: number): void {
    this.sum = this.get(nowMs) + amount;
    this.updatedAt = nowMs;
  }

  /** Returns the sum at the given time. */
  get(nowMs: number): number {
    return this.sum * getDecay(nowMs - this.updatedAt, this.timeConstantMs);
  }
}

/** Returns the fraction of an amount that is left at an age. */
export function getDecay(ageMs: number, timeConstantMs: number): number {
  return Math.exp(-Math.max(0, ageMs) / timeConstantMs);
}
