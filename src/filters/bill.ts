/** Bills the tokens that a request used, once, before or after its last chunk is sent. */
import type { BillEntry } from '../types/records.js';
import { brandId } from '../types/ids.js';
import { Filter, type Exchange, type FilterResult } from '../types/exchange.js';
import type { Metrics } from '../core/metrics.js';
import type { TimerService } from '../core/timers.js';

/** Options of the filter. */
export interface BillOptions {
  readonly timers: TimerService;
  readonly metrics: Metrics;
  /** Appends a bill; resolves when the log has stored it. */
  readonly append: (bill: BillEntry) => Promise<void>;
  readonly mode: 'before' | 'after';
  /** Maximum delay of the last chunk while its bill is being stored, in milliseconds. */
  readonly waitMs: number;
  /** Returns whether the log is known to be unavailable; the last chunk is then not delayed. */
  readonly isLogUnavailable: () => boolean;
}

/** Sets `storeBill`, and calls it at the end for requests that used tokens and are not billed yet. */
export class Bill extends Filter {
  override readonly name = 'bill';

  constructor(private readonly options: BillOptions) {
    super();
  }

  override async handle(
    exchange: Exchange,
    next: () => Promise<FilterResult>,
  ): Promise<FilterResult> {
    exchange.isBilled = exchange.isAlreadyBilled;
    exchange.storeBill = async (outcome) => {
      if (!exchange.isBilled) {
        exchange.isBilled = true;
        await this.appendBill(exchange, outcome);
      }
    };
    try {
      return await next();
    } finally {
      if (exchange.usage.promptTokens + exchange.usage.completionTokens > 0) {
        await exchange.storeBill('partial');
      }
    }
  }

  private async appendBill(exchange: Exchange, outcome: BillEntry['outcome']): Promise<void> {
    const { timers, metrics, append, mode, waitMs, isLogUnavailable } = this.options;
    const { key, permission, usage } = exchange;
    metrics.tokens.inc({ kind: 'prompt' }, usage.promptTokens);
    metrics.tokens.inc({ kind: 'completion' }, usage.completionTokens);
    const stored = append({
      kind: 'bill',
      request: brandId(`${key.workspace}/${exchange.id}`),
      workspace: key.workspace,
      budget: permission.budget.name,
      ...usage,
      outcome,
    });
    if (mode === 'after') {
      return;
    }
    const isInTime = !isLogUnavailable() && (await timers.isFulfilledWithin(stored, waitMs));
    if (!isInTime) {
      metrics.lateBills.inc();
    }
  }
}
