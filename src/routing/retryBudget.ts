/** Limits retries to a share of recent successes, so that they can't amplify an overload. */

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries added per success. Default 0.1. */
  readonly share?: number;
  /** Initial and maximum number of retries available. Default 10. */
  readonly reserve?: number;
}

/** A budget for retries. */
export class RetryBudget {
  private readonly share: number;

  private readonly reserve: number;

  private balance: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.share = options.share ?? 0.1;
    this.reserve = options.reserve ?? 10;
    this.balance = this.reserve;
  }

  /** Records a successful call. */
  recordSuccess(): void {
    this.balance = Math.min(this.reserve, this.balance + this.share);
  }

  /** Takes one retry from the budget, or returns false if none is left. */
  tryTake(): boolean {
    if (this.balance < 1) {
      return false;
    }
    this.balance -= 1;
    return true;
  }
}
