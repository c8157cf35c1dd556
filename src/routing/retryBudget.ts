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

  private saved: number;

  constructor(options: RetryBudgetOptions = {}) {
    this.share = options.share ?? 0.1;
    this.reserve = options.reserve ?? 10;
    this.saved = this.reserve;
  }

  /** Takes a success. */
  recordSuccess(): void {
    this.saved = Math.min(this.reserve, this.saved + this.share);
  }

  /** Takes one retry out of the budget, or returns false where it is used up. */
  tryTake(): boolean {
    if (this.saved < 1) {
      return false;
    }
    this.saved -= 1;
    return true;
  }
}
