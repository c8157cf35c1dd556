/** Estimates how fast a budget is spent here, right from the first seconds of a process. */
import { SpendRate } from '../controllers/spendRate.js';

/** The least time that an estimate rests on: the first request says little about a rate. */
const ESTIMATE_AGE_MIN_MS = 2_000;

/** A decaying average that allows for the time before its first sample. */
export class DemandRate {
  private readonly rate: SpendRate;

  private startedAt: number | undefined;

  constructor(private readonly timeConstantMs: number) {
    this.rate = new SpendRate(timeConstantMs);
  }

  /** Adds tokens spent at a time, in milliseconds. */
  add(tokens: number, nowMs: number): void {
    this.startedAt ??= nowMs;
    this.rate.add(tokens, nowMs);
  }

  /** Returns the rate at a time, in tokens a second. */
  getTokensPerSecond(nowMs: number): number {
    if (this.startedAt === undefined) {
      return 0;
    }
    const ageMs = Math.max(ESTIMATE_AGE_MIN_MS, nowMs - this.startedAt);
    // What a decaying sum of a steady rate has reached by this age.
    const saturation = 1 - Math.exp(-ageMs / this.timeConstantMs);
    return this.rate.getTokensPerSecond(nowMs) / saturation;
  }
}
