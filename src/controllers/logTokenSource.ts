/**
 * The log as a source of tokens: asks in the budget's stream, credits what the fold shows as granted to
 * this incarnation, and returns what idles or what others wait for.
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

/** Options of the log as a source. Times are in milliseconds. */
export interface LogTokenSourceOptions {
  readonly log: LogService;
  readonly timers: TimerService;
  readonly stream: StreamName;
  readonly incarnation: Incarnation;
  readonly allotments: ReadonlyMap<BudgetId, BudgetAllotment>;
  /** Called for an allotment whose account has changed, after what was granted is credited. */
  readonly onAccountChange: (allotment: BudgetAllotment) => void;
  /** Time between reports of what was spent. Default 10,000. */
  readonly reportIntervalMs?: number;
  readonly flushIntervalMs?: number;
  readonly pollMs?: number;
  readonly onRetry?: (reason: string) => void;
}

/** A fund as the rules state it. */
export interface StatedFund {
  readonly budget: BudgetId;
  readonly fund: FundId;
  readonly tokens: number;
}

/** An ask that others wait behind. */
interface BlockingAsk extends PendingAsk {
  readonly since: number;
}

/** The log counts as away after failing for so long. */
export const LOG_UNAVAILABLE_MS = 300;
const BLOCKING_CHECK_INTERVAL_MS = 250;
/** An ask that is first in line for so long gives way to the next; its holder may be dead. */
const BLOCKING_ASK_TIMEOUT_MS = 750;
/** No living holder's ask waits for so long without being withdrawn or replaced. */
const STALE_ASK_TIMEOUT_MS = 5_000;

/** This process's use of one budget stream. */
export class LogTokenSource {
  readonly reader: StreamReader<BudgetProjection>;

  readonly writer: StreamWriter;

  /** The asks of others that were first in line at the last check, and since when. */
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

  /** Starts following the stream; repeats do nothing. */
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

  /** Stops at once. */
  stop(): void {
    this.subscriptions.forEach((unsubscribe) => unsubscribe());
    this.reader.stop();
    this.writer.stop();
  }

  /** Returns whether the log has been failing for a while. */
  isUnavailable(): boolean {
    return (
      this.writer.getFailingMs() > LOG_UNAVAILABLE_MS ||
      this.reader.getFailingMs() > LOG_UNAVAILABLE_MS
    );
  }

  /** Returns whether the stream's state is proven, so that it can be asked. */
  isReady(): boolean {
    return this.isStarted && this.reader.isReady();
  }

  /** Asks for tokens; they are credited once the log shows them as granted. */
  ask(allotment: BudgetAllotment, need: number, want: number): void {
    const { openAsk, budget } = allotment;
    // A smaller need replaces a larger one, which the line might never reach; a refill replaces none.
    if (openAsk && (need === 0 || need === openAsk.need)) {
      return;
    }
    allotment.lastAsk += 1;
    allotment.openAsk = { ask: allotment.lastAsk, need };
    this.writer.append({ kind: 'ask', budget, ask: allotment.lastAsk, need, want });
  }

  /** Withdraws the allotment's open ask. */
  cancelAsk({ budget, openAsk }: BudgetAllotment): void {
    if (openAsk) {
      const holder = this.options.incarnation;
      this.writer.append({ kind: 'cancel', budget, ask: openAsk.ask, holder });
    }
  }

  /** Returns tokens that were taken out of the allotment; resolves when the log holds that. */
  giveBack({ budget }: BudgetAllotment, tokens: number): Promise<void> {
    return this.writer.append({ kind: 'return', budget, tokens });
  }

  /** Returns whether another holder's ask waits for tokens of the budget. */
  hasOtherPendingAsks(budget: BudgetId): boolean {
    const pending = this.reader.projection.accounts.get(budget)?.pending ?? [];
    return pending.some(({ holder }) => holder !== this.options.incarnation);
  }

  /** Returns whether no return by others could cover the need, as far as the log shows. */
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

  /** States the running totals of an allotment that have changed. */
  report(allotment: BudgetAllotment): void {
    const { budget, spent, sent, received, held } = allotment;
    const totals = `${spent} ${sent} ${received} ${held}`;
    if (this.isStarted && totals !== allotment.lastReportedTotals) {
      allotment.lastReportedTotals = totals;
      this.writer.append({ kind: 'report', budget, spent, sent, received, held });
    }
  }

  /** States every total that has changed. */
  reportAll(): void {
    this.options.allotments.forEach((allotment) => this.report(allotment));
  }

  /** Returns the funds that the stream lacks, or still states in an older way. */
  getMissingFunds(stated: readonly StatedFund[], version: RulesVersion): StatedFund[] {
    const { accounts } = this.reader.projection;
    const names = new Set(stated.map(({ budget, fund }) => `${budget}\n${fund}`));
    const missing = stated.filter(({ budget, fund, tokens }) => {
      const known = accounts.get(budget)?.funds.get(fund);
      return !known || (known.declaredTokens !== tokens && known.version < version);
    });
    accounts.forEach(({ funds }, budget) => {
      funds.forEach((known, fund) => {
        if (
          !names.has(`${budget}\n${fund}`) &&
          known.declaredTokens !== 0 &&
          known.version < version
        ) {
          missing.push({ budget, fund, tokens: 0 });
        }
      });
    });
    return missing;
  }

  /** Appends funds as of a version of the rules; repeats are dropped by the fold. */
  appendFunds(funds: readonly StatedFund[], version: RulesVersion): void {
    funds.forEach(({ budget, fund, tokens }) => {
      this.writer.append({ kind: 'fund', budget, fund, tokens, version });
    });
  }

  private onBatches(batches: readonly Batch[]): void {
    const touched = new Set<BudgetId>();
    batches.forEach((batch) => {
      this.writer.acknowledge(batch);
      batch.entries.forEach((entry: Entry) => {
        if ('budget' in entry) {
          touched.add(entry.budget);
        }
      });
    });
    touched.forEach((budget) => this.applyAccount(budget));
  }

  private applyAllAccounts(): void {
    [...this.options.allotments.keys()].forEach((budget) => this.applyAccount(budget));
  }

  /** Credits what the log shows as granted to this incarnation and was not credited yet. */
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
   * Withdraws the ask of another holder that stays first in line: soon where requests wait behind it
   * here, later where none do, so that nothing is granted to a holder that died waiting.
   */
  private withdrawBlockingAsks(): void {
    const nowMs = this.options.timers.now();
    this.reader.projection.accounts.forEach(({ pending: [head] }, budget) => {
      const known = this.blockingAsks.get(budget);
      if (!head || head.holder === this.options.incarnation) {
        this.blockingAsks.delete(budget);
      } else if (known?.holder !== head.holder || known.ask !== head.ask) {
        this.blockingAsks.set(budget, { ...head, since: nowMs });
      } else if (nowMs - known.since >= this.getBlockingTimeoutMs(budget)) {
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
