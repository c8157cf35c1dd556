/**
 * The log as a source of tokens: appends asks to the budget's stream, credits the grants to this
 * incarnation that the projection of the stream decides, and returns tokens that are idle here or that
 * other holders wait for.
 */
import type { BudgetId, FundId, Incarnation, RulesVersion, StreamName } from '../types/ids.js';
import type { Batch, Entry } from '../types/records.js';
import type { LogService } from '../types/platform.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import {
  BudgetProjection,
  type Account,
  type PendingAsk,
} from '../projections/budgetProjection.js';
import { StreamReader } from '../log/streamReader.js';
import { StreamWriter } from '../log/streamWriter.js';
import type { BudgetAllotment } from './budgetAllotment.js';

/** Options of a log token source. Times are in milliseconds. */
export interface LogTokenSourceOptions {
  readonly log: LogService;
  readonly timers: TimerService;
  readonly stream: StreamName;
  readonly incarnation: Incarnation;
  readonly allotments: ReadonlyMap<BudgetId, BudgetAllotment>;
  /** Called for an allotment whose account has changed, after new grants have been credited. */
  readonly onAccountChange: (allotment: BudgetAllotment) => void;
  /** Interval between reports of the allotments' totals. Default 10,000. */
  readonly reportIntervalMs?: number;
  readonly flushIntervalMs?: number;
  readonly pollMs?: number;
  readonly onRetry?: (reason: string) => void;
}

/** A fund as stated by the rules. */
export interface StatedFund {
  readonly budget: BudgetId;
  readonly fund: FundId;
  readonly tokens: number;
}

/** The ask at the head of a budget's queue, with the time at which it was first seen there. */
interface BlockingAsk extends PendingAsk {
  readonly since: number;
}

/** The log counts as unavailable after failing for this long. */
export const LOG_UNAVAILABLE_MS = 300;
const BLOCKING_CHECK_INTERVAL_MS = 250;
/** Time at the head of the queue after which an ask is withdrawn if requests wait here; its holder may have crashed. */
const BLOCKING_ASK_TIMEOUT_MS = 750;
/** Time at the head after which an ask is always withdrawn; a live holder withdraws or replaces its ask sooner. */
const STALE_ASK_TIMEOUT_MS = 5_000;

/** The use of one budget stream by this process. */
export class LogTokenSource {
  readonly reader: StreamReader<BudgetProjection>;

  readonly writer: StreamWriter;

  /** The asks of other holders that were at the head of their queue at the last check. */
  private readonly blockingAsks = new Map<BudgetId, BlockingAsk>();

  private readonly subscriptions: Unsubscribe[] = [];

  private isStarted = false;

  constructor(private readonly options: LogTokenSourceOptions) {
    const { log, timers, stream, incarnation, flushIntervalMs, pollMs, onRetry } = options;
    this.writer = new StreamWriter({ log, timers, stream, incarnation, flushIntervalMs, onRetry });
    this.reader = new StreamReader<BudgetProjection>({
      log,
      timers,
      stream,
      pollMs,
      createProjection: () => new BudgetProjection(),
      onBatches: (batches) => this.onBatches(batches),
      onRestored: () => this.applyAllAccounts(),
    });
  }

  /** Starts reading the stream; later calls have no effect. */
  start(): void {
    if (this.isStarted) {
      return;
    }
    this.isStarted = true;
    const { timers, reportIntervalMs = 10_000 } = this.options;
    this.reader.start();
    this.subscriptions.push(
      timers.subscribeEvery(BLOCKING_CHECK_INTERVAL_MS, () => this.withdrawBlockingAsks()),
      timers.subscribeEvery(reportIntervalMs, () => this.reportAll()),
    );
  }

  /** Stops reading and appending. */
  stop(): void {
    this.subscriptions.forEach((unsubscribe) => unsubscribe());
    this.reader.stop();
    this.writer.stop();
  }

  /** Returns whether reads or appends have been failing for longer than `LOG_UNAVAILABLE_MS`. */
  isUnavailable(): boolean {
    return (
      this.writer.getFailingMs() > LOG_UNAVAILABLE_MS ||
      this.reader.getFailingMs() > LOG_UNAVAILABLE_MS
    );
  }

  /** Returns whether the state of the stream is complete and current, so that asks can be appended. */
  isReady(): boolean {
    return this.isStarted && this.reader.isReady();
  }

  /** Appends an ask; the tokens are credited when the grant is read from the log. */
  ask(allotment: BudgetAllotment, need: number, want: number): void {
    const { openAsk, budget } = allotment;
    // A different need replaces the open ask, which may be too large to ever be granted; a refill replaces no ask.
    if (openAsk && (need === 0 || need === openAsk.need)) {
      return;
    }
    allotment.lastAsk += 1;
    allotment.openAsk = { ask: allotment.lastAsk, need };
    this.writer.append({ kind: 'ask', budget, ask: allotment.lastAsk, need, want });
  }

  /** Withdraws the open ask of the allotment. */
  cancelAsk({ budget, openAsk }: BudgetAllotment): void {
    if (openAsk) {
      const holder = this.options.incarnation;
      this.writer.append({ kind: 'cancel', budget, ask: openAsk.ask, holder });
    }
  }

  /** Returns tokens already deducted from the allotment; resolves when the return is stored in the log. */
  giveBack({ budget }: BudgetAllotment, tokens: number): Promise<void> {
    return this.writer.append({ kind: 'return', budget, tokens });
  }

  /** Returns whether an ask of another holder is pending for the budget. */
  hasOtherPendingAsks(budget: BudgetId): boolean {
    const pending = this.reader.projection.accounts.get(budget)?.pending ?? [];
    return pending.some(({ holder }) => holder !== this.options.incarnation);
  }

  /** Returns whether the need cannot be met: it exceeds the unspent funds, or a need of its size recently failed. */
  isUnsatisfiable(allotment: BudgetAllotment, need: number): boolean {
    const account = this.reader.projection.accounts.get(allotment.budget);
    if (!account || !this.reader.isReady()) {
      return false;
    }
    if (allotment.isRecentlyExhausted(need, this.options.timers.now())) {
      return true;
    }
    const own = account.holders.get(this.options.incarnation);
    let spent = allotment.spent - (own?.spent ?? 0);
    account.holders.forEach((holder) => {
      spent += holder.spent;
    });
    return need > account.funded - spent;
  }

  /** Appends a report of the totals of an allotment if they have changed since the last report. */
  report(allotment: BudgetAllotment): void {
    const { budget, spent, sent, received, held } = allotment;
    const totals = `${spent} ${sent} ${received} ${held}`;
    if (this.isStarted && totals !== allotment.lastReportedTotals) {
      allotment.lastReportedTotals = totals;
      this.writer.append({ kind: 'report', budget, spent, sent, received, held });
    }
  }

  /** Reports the totals of every allotment that has changed. */
  reportAll(): void {
    this.options.allotments.forEach((allotment) => this.report(allotment));
  }

  /** Returns the funds that the stream lacks or has with the amount of an older rules version. */
  getMissingFunds(stated: readonly StatedFund[], version: RulesVersion): StatedFund[] {
    const { accounts } = this.reader.projection;
    const names = new Set(stated.map(({ budget, fund }) => `${budget}\n${fund}`));
    const missing = stated.filter(({ budget, fund, tokens }) => {
      const existing = accounts.get(budget)?.funds.get(fund);
      return !existing || (existing.declaredTokens !== tokens && existing.version < version);
    });
    accounts.forEach(({ funds }, budget) => {
      funds.forEach((existing, fund) => {
        if (
          !names.has(`${budget}\n${fund}`) &&
          existing.declaredTokens !== 0 &&
          existing.version < version
        ) {
          missing.push({ budget, fund, tokens: 0 });
        }
      });
    });
    return missing;
  }

  /** Appends funds as of a rules version; the projection ignores duplicates. */
  appendFunds(funds: readonly StatedFund[], version: RulesVersion): void {
    funds.forEach(({ budget, fund, tokens }) => {
      this.writer.append({ kind: 'fund', budget, fund, tokens, version });
    });
  }

  private onBatches(batches: readonly Batch[]): void {
    const changedBudgets = new Set<BudgetId>();
    batches.forEach((batch) => {
      this.writer.acknowledge(batch);
      batch.entries.forEach((entry: Entry) => {
        if ('budget' in entry) {
          changedBudgets.add(entry.budget);
        }
      });
    });
    changedBudgets.forEach((budget) => this.applyAccount(budget));
  }

  private applyAllAccounts(): void {
    [...this.options.allotments.keys()].forEach((budget) => this.applyAccount(budget));
  }

  /** Updates an allotment from its account in the log. */
  private applyAccount(budget: BudgetId): void {
    const allotment = this.options.allotments.get(budget);
    const account = this.reader.projection.accounts.get(budget);
    if (!allotment || !account) {
      return;
    }
    allotment.clearExhausted();
    this.creditGrants(allotment, account);
    this.options.onAccountChange(allotment);
  }

  /** Credits grants to this incarnation that have not been credited yet. */
  private creditGrants(allotment: BudgetAllotment, account: Account): void {
    const own = account.holders.get(this.options.incarnation);
    if (!own) {
      return;
    }
    const granted = own.granted - allotment.creditedTokens;
    allotment.creditedTokens = own.granted;
    if (allotment.openAsk && own.decidedAsk >= allotment.openAsk.ask) {
      allotment.openAsk = undefined;
    }
    if (granted > 0) {
      allotment.credit(granted);
    }
  }

  /**
   * Withdraws the asks of other holders that stay at the head of their queue: sooner if requests wait
   * behind them here, later otherwise, so that no tokens are granted to a holder that has crashed.
   */
  private withdrawBlockingAsks(): void {
    const nowMs = this.options.timers.now();
    this.reader.projection.accounts.forEach(({ pending: [head] }, budget) => {
      const blockingAsk = this.blockingAsks.get(budget);
      if (!head || head.holder === this.options.incarnation) {
        this.blockingAsks.delete(budget);
      } else if (blockingAsk?.holder !== head.holder || blockingAsk.ask !== head.ask) {
        this.blockingAsks.set(budget, { ...head, since: nowMs });
      } else if (nowMs - blockingAsk.since >= this.getBlockingTimeoutMs(budget)) {
        this.blockingAsks.delete(budget);
        this.writer.append({ kind: 'cancel', budget, ask: head.ask, holder: head.holder });
      }
    });
  }

  private getBlockingTimeoutMs(budget: BudgetId): number {
    const waiting = this.options.allotments.get(budget)?.waiters.length ?? 0;
    return waiting > 0 ? BLOCKING_ASK_TIMEOUT_MS : STALE_ASK_TIMEOUT_MS;
  }
}
