/** Limits retries to a share of recent successes, so that they can't multiply an overload. */

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries a success pays for. Default 0.1. */
  readonly share?: number;
  /** Retries that are there from the start and the most that are saved. Default 10. */
  readonly reserve?: number;
}

/** A budget of retries. */
export class RetryBudget {
  private readonly share: number;

  private readonly reserve: number;

  private balance: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.share = options.share ?? 0.1;
    this.reserve = options.reserve ?? 10;
    this.balance = this.reserve;
  }

  /** Takes a success. */
  recordSuccess(): void {
    this.balance = Math.min(this.reserve, this.balance + this.share);
  }

  /** Takes one retry out of the budget, or returns false where it is used up. */
  tryTake(): boolean {
    if (this.balance < 1) {
      return false;
    }
    this.balance -= 1;
    return true;
  }
}
