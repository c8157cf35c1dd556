/** Estimates the spending rate of a budget in this process, including in the process's first seconds. */
import { SpendRate } from '../controllers/spendRate.js';

/** The minimum age assumed for an estimate: a single request says little about a rate. */
const ESTIMATE_AGE_MIN_MS = 2_000;

/** An exponentially decaying average, corrected for the bias of its first samples. */
export class DemandRate {
  private readonly rate: SpendRate;

  private startedAt: number | undefined;

  constructor(private readonly timeConstantMs: number) {
    this.rate = new SpendRate(timeConstantMs);
  }

  /** Adds tokens spent at `nowMs`. */
  add(tokens: number, nowMs: number): void {
    this.startedAt ??= nowMs;
    this.rate.add(tokens, nowMs);
  }

  /** Returns the rate at `nowMs`, in tokens per second. */
  getTokensPerSecond(nowMs: number): number {
    if (this.startedAt === undefined) {
      return 0;
    }
    const ageMs = Math.max(ESTIMATE_AGE_MIN_MS, nowMs - this.startedAt);
    // The share of its limit that the decaying sum of a constant rate reaches by this age.
    const saturation = 1 - Math.exp(-ageMs / this.timeConstantMs);
    return this.rate.getTokensPerSecond(nowMs) / saturation;
  }
}
