/** Limits retries to a ratio of recent successes, so that they can't amplify an overload. */

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries added per success. Default 0.1. */
  readonly ratio?: number;
  /** Initial and maximum number of retries available. Default 10. */
  readonly burst?: number;
}

/** A budget for retries. */
export class RetryBudget {
  private readonly ratio: number;

  private readonly burst: number;

  private balance: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.ratio = options.ratio ?? 0.1;
    this.burst = options.burst ?? 10;
    this.balance = this.burst;
  }

  /** Records a successful call. */
  recordSuccess(): void {
    this.balance = Math.min(this.burst, this.balance + this.ratio);
  }

  /** Takes one retry from the budget, or returns false if none is left. */
  tryAcquire(): boolean {
    if (this.balance < 1) {
      return false;
    }
    this.balance -= 1;
    return true;
  }
}
