/**
 * The log as a source of tokens: asks in the budget's stream, credits what the fold shows as granted to
 * this incarnation, and returns what idles or what others wait for.
 */
import type { BudgetId, FundId, Incarnation, RulesVersion, StreamName } from '../types/ids.js';
import type { Batch, Entry } from '../types/records.js';
import type { LogService } from '../types/platform.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { BudgetFold, type Account, type PendingAsk } from '../folds/budgetFold.js';
import { StreamReader } from '../log/streamReader.js';
import { StreamWriter } from '../log/streamWriter.js';
import type { BudgetAllotment } from './budgetAllotment.js';

/** Options of the log as a source. Times are in milliseconds. */
export interface LogTokensOptions {
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
export const LOG_AWAY_MS = 300;
const UNBLOCK_INTERVAL_MS = 250;
/** An ask that is first in line for so long gives way to the next; its holder may be dead. */
const BLOCKING_MAX_MS = 750;
/** No living holder's ask waits for so long without being withdrawn or replaced. */
const STALE_ASK_MS = 5_000;

/** This process's use of one budget stream. */
export class LogTokens {
  readonly reader: StreamReader<BudgetFold>;

  readonly writer: StreamWriter;

  /** The asks of others that were first in line at the last check, and since when. */
  private readonly blocking = new Map<BudgetId, BlockingAsk>();

  private readonly subscriptions: Unsubscribe[] = [];

  private started = false;

  constructor(private readonly options: LogTokensOptions) {
    const { log, timers, stream, incarnation, flushIntervalMs, pollMs, onRetry } = options;
    this.writer = new StreamWriter({ log, timers, stream, incarnation, flushIntervalMs, onRetry });
    this.reader = new StreamReader<BudgetFold>({
      log,
      timers,
      stream,
      pollMs,
      createFold: () => new BudgetFold(),
      onBatches: (batches) => this.onBatches(batches),
      onRestored: () => this.synchronizeAll(),
    });
  }

  /** Starts following the stream; repeats do nothing. */
  start(): void {
    if (this.started) {
      return;
    }
    this.started = true;
    const { timers, reportIntervalMs = 10_000 } = this.options;
    this.reader.start();
    this.subscriptions.push(
      timers.subscribeEvery(UNBLOCK_INTERVAL_MS, () => this.unblock()),
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
  isAway(): boolean {
    return this.writer.getFailingMs() > LOG_AWAY_MS || this.reader.getFailingMs() > LOG_AWAY_MS;
  }

  /** Returns whether the stream's state is proven, so that it can be asked. */
  isReady(): boolean {
    return this.started && this.reader.isReady();
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
  doOthersWait(budget: BudgetId): boolean {
    const pending = this.reader.fold.accounts.get(budget)?.pending ?? [];
    return pending.some(({ holder }) => holder !== this.options.incarnation);
  }

  /** Returns whether no return by others could cover the need, as far as the log shows. */
  isHopeless(allotment: BudgetAllotment, need: number): boolean {
    const account = this.reader.fold.accounts.get(allotment.budget);
    if (!account || !this.reader.isReady()) {
      return false;
    }
    if (allotment.isStarved(need, this.options.timers.now())) {
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
    if (this.started && totals !== allotment.reported) {
      allotment.reported = totals;
      this.writer.append({ kind: 'report', budget, spent, sent, received, held });
    }
  }

  /** States every total that has changed. */
  reportAll(): void {
    this.options.allotments.forEach((allotment) => this.report(allotment));
  }

  /** Returns the funds that the stream lacks, or still states in an older way. */
  getMissingFunds(stated: readonly StatedFund[], version: RulesVersion): StatedFund[] {
    const { accounts } = this.reader.fold;
    const names = new Set(stated.map(({ budget, fund }) => `${budget}\n${fund}`));
    const missing = stated.filter(({ budget, fund, tokens }) => {
      const known = accounts.get(budget)?.funds.get(fund);
      return !known || (known.stated !== tokens && known.version < version);
    });
    accounts.forEach(({ funds }, budget) => {
      funds.forEach((known, fund) => {
        if (!names.has(`${budget}\n${fund}`) && known.stated !== 0 && known.version < version) {
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
    touched.forEach((budget) => this.synchronize(budget));
  }

  private synchronizeAll(): void {
    [...this.options.allotments.keys()].forEach((budget) => this.synchronize(budget));
  }

  /** Credits what the log shows as granted to this incarnation and was not credited yet. */
  private synchronize(budget: BudgetId): void {
    const allotment = this.options.allotments.get(budget);
    const account = this.reader.fold.accounts.get(budget);
    if (!allotment || !account) {
      return;
    }
    allotment.clearStarved();
    this.creditGranted(allotment, account);
    this.options.onAccountChange(allotment);
  }

  private creditGranted(allotment: BudgetAllotment, account: Account): void {
    const own = account.holders.get(this.options.incarnation);
    if (!own) {
      return;
    }
    const granted = own.granted - allotment.credited;
    allotment.credited = own.granted;
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
  private unblock(): void {
    const nowMs = this.options.timers.now();
    this.reader.fold.accounts.forEach(({ pending: [head] }, budget) => {
      const known = this.blocking.get(budget);
      if (!head || head.holder === this.options.incarnation) {
        this.blocking.delete(budget);
      } else if (known?.holder !== head.holder || known.ask !== head.ask) {
        this.blocking.set(budget, { ...head, since: nowMs });
      } else if (nowMs - known.since >= this.getBlockingMaxMs(budget)) {
        this.blocking.delete(budget);
        this.writer.append({ kind: 'cancel', budget, ask: head.ask, holder: head.holder });
      }
    });
  }

  private getBlockingMaxMs(budget: BudgetId): number {
    const waiting = this.options.allotments.get(budget)?.waiters.length ?? 0;
    return waiting > 0 ? BLOCKING_MAX_MS : STALE_ASK_MS;
  }
}
