/** Holds the worst-case tokens of a request before it runs, and settles the hold with the tokens used. */
import { Err } from '../core/results.js';
import type { BudgetId } from '../types/ids.js';
import { Filter, type Exchange, type FilterResult } from '../types/exchange.js';
import { createRefusal } from '../core/codes.js';
import type { Hold, HoldFailure } from '../controllers/budgetShard.js';

/** Options of the filter. */
export interface HoldBudgetOptions {
  readonly hold: (budget: BudgetId, tokens: number) => Promise<Hold | HoldFailure>;
}

const EXHAUSTED_RETRY_AFTER_MS = 30_000;
const UNAVAILABLE_RETRY_AFTER_MS = 5_000;

/** Places the hold and settles it. */
export class HoldBudget extends Filter {
  override readonly name = 'holdBudget';

  constructor(private readonly options: HoldBudgetOptions) {
    super();
  }

  override async handle(
    exchange: Exchange,
    next: () => Promise<FilterResult>,
  ): Promise<FilterResult> {
    const { permission, worstCaseTokens } = exchange;
    const hold = await this.options.hold(permission.budget.name, worstCaseTokens);
    if (hold === 'exhausted') {
      const detail = `budget ${permission.budget.name} does not cover ${worstCaseTokens} tokens`;
      const retryAfterMs = EXHAUSTED_RETRY_AFTER_MS;
      return Err(createRefusal('budgetExhausted', { detail, retryAfterMs }));
    }
    if (hold === 'unavailable') {
      return Err(createRefusal('budgetUnavailable', { retryAfterMs: UNAVAILABLE_RETRY_AFTER_MS }));
    }
    try {
      return await next();
    } finally {
      const { promptTokens, completionTokens } = exchange.usage;
      hold.settle(exchange.isAlreadyBilled ? 0 : promptTokens + completionTokens);
    }
  }
}
