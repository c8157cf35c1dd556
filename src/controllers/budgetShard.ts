/**
 * Controls this process's part in one budget stream: asks the log for tokens before they run out,
 * returns what idles or what others wait for, and moves tokens between peers while the log is away.
 */
import type { BudgetId, FundId, Incarnation, RulesVersion, StreamName } from '../types/ids.js';
import type { Batch } from '../types/records.js';
import type { LogService } from '../types/platform.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { getOrCreate } from '../core/utilities.js';
import { BudgetFold, type Account, type PendingAsk } from '../folds/budgetFold.js';
import { StreamReader } from '../log/streamReader.js';
import { StreamWriter } from '../log/streamWriter.js';
import { BudgetAllotment } from './budgetAllotment.js';

/** Asks peers for tokens. Returns what was moved; each transfer id is given at most once. */
export abstract class TransferPeers {
  abstract requestTokens(budget: BudgetId, tokens: number): Promise<number>;
}

/** Options of a budget shard. Times are in milliseconds. */
export interface BudgetShardOptions {
  readonly log: LogService;
  readonly timers: TimerService;
  readonly stream: StreamName;
  readonly incarnation: Incarnation;
  readonly getHorizonMs: (budget: BudgetId) => number;
  readonly peers?: TransferPeers;
  /** How long a request waits for tokens that others may return. Default 2,000. */
  readonly holdWaitMs?: number;
  /** Time between reports of what was spent. Default 10,000. */
  readonly reportIntervalMs?: number;
  /** An allotment unused for so long is returned whole. Default 60,000. */
  readonly idleReturnMs?: number;
  readonly flushIntervalMs?: number;
  readonly pollMs?: number;
  readonly onRetry?: (reason: string) => void;
}

/** Tokens set aside for one request. */
export interface Hold {
  readonly budget: BudgetId;
  readonly tokens: number;
  /** Ends the hold with what was used; later calls do nothing. */
  readonly settle: (used: number) => void;
}

/** Why a hold was not given. */
export type HoldFailure = 'exhausted' | 'unavailable';

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
const LOG_AWAY_MS = 300;
const MAINTENANCE_INTERVAL_MS = 1_000;
const UNBLOCK_INTERVAL_MS = 250;
/** An ask that is first in line for so long gives way to the next; its holder may be dead. */
const BLOCKING_MAX_MS = 750;

/** This process's part in one budget stream. */
export class BudgetShard {
  readonly reader: StreamReader<BudgetFold>;

  readonly writer: StreamWriter;

  readonly stream: StreamName;

  private readonly allotments = new Map<BudgetId, BudgetAllotment>();

  private readonly subscriptions: Unsubscribe[] = [];

  private readonly transfersAsked = new Set<BudgetId>();

  /** The asks of others that were first in line at the last check, and since when. */
  private readonly blocking = new Map<BudgetId, BlockingAsk>();

  constructor(private readonly options: BudgetShardOptions) {
    const { log, timers, stream, incarnation, flushIntervalMs, pollMs, onRetry } = options;
    this.stream = stream;
    this.writer = new StreamWriter({ log, timers, stream, incarnation, flushIntervalMs, onRetry });
    this.reader = new StreamReader<BudgetFold>({
      log,
      timers,
      stream,
      pollMs,
      createFold: () => new BudgetFold(),
      onBatches: (batches) => this.onBatches(batches),
    });
  }

  /** Starts following the stream. */
  start(): void {
    const { timers, reportIntervalMs = 10_000 } = this.options;
    this.reader.start();
    this.subscriptions.push(
      timers.subscribeEvery(MAINTENANCE_INTERVAL_MS, () => this.maintain()),
      timers.subscribeEvery(UNBLOCK_INTERVAL_MS, () => this.unblock()),
      timers.subscribeEvery(reportIntervalMs, () => this.report()),
    );
  }

  /** Stops at once; what was granted and not returned stays in doubt. */
  stop(): void {
    this.subscriptions.forEach((unsubscribe) => unsubscribe());
    this.reader.stop();
    this.writer.stop();
  }

  /** Returns every free token and states the final totals; resolves when the log holds them. */
  async close(): Promise<void> {
    const returns = [...this.allotments.values()].map((allotment) =>
      this.giveBack(allotment, allotment.free),
    );
    this.report();
    await Promise.all(returns);
  }

  /**
   * Holds tokens for a request's worst case. Fails with `exhausted` where the budget does not cover
   * it, with `unavailable` where the log is away and no peer could help.
   *
   * @example
   * const hold = await shard.hold(budget, 1_200);
   * if (typeof hold === 'object') hold.settle(830);
   */
  async hold(budget: BudgetId, tokens: number): Promise<Hold | HoldFailure> {
    const { timers } = this.options;
    const allotment = this.getAllotment(budget);
    if (!allotment.tryHold(tokens, timers.now())) {
      const failure = await this.waitForTokens(allotment, tokens);
      if (failure) {
        return failure;
      }
    }
    this.refill(allotment);
    return this.createHold(allotment, tokens);
  }

  /** Gives up free tokens to a peer; what is returned here can't be spent here any more. */
  sendTokens(budget: BudgetId, tokens: number): number {
    const allotment = this.allotments.get(budget);
    if (!allotment || allotment.waiters.length > 0) {
      return 0;
    }
    const sent = allotment.withdraw(Math.min(tokens, allotment.free / 2));
    allotment.sent += sent;
    this.reportAllotment(allotment);
    return sent;
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

  /** Returns whether the log has been failing for a while. */
  isLogAway(): boolean {
    return this.writer.getFailingMs() > LOG_AWAY_MS || this.reader.getFailingMs() > LOG_AWAY_MS;
  }

  /** Returns this process's allotments. */
  getAllotments(): ReadonlyMap<BudgetId, BudgetAllotment> {
    return this.allotments;
  }

  private createHold(allotment: BudgetAllotment, tokens: number): Hold {
    let open = true;
    return {
      budget: allotment.budget,
      tokens,
      settle: (used) => {
        if (open) {
          open = false;
          allotment.settle(tokens, used, this.options.timers.now());
          this.returnToWaiting(allotment);
        }
      },
    };
  }

  private getAllotment(budget: BudgetId): BudgetAllotment {
    return getOrCreate(this.allotments, budget, () => new BudgetAllotment(budget));
  }

  private async waitForTokens(
    allotment: BudgetAllotment,
    need: number,
  ): Promise<HoldFailure | undefined> {
    const account = this.reader.fold.accounts.get(allotment.budget);
    if (this.isHopeless(allotment, account, need)) {
      return 'exhausted';
    }
    const granted = await new Promise<boolean>((resolve) => {
      this.addWaiter(allotment, need, resolve);
    });
    if (granted) {
      return undefined;
    }
    this.withdrawAsk(allotment);
    if (this.isLogAway()) {
      return 'unavailable';
    }
    allotment.starvedNeed = Math.min(allotment.starvedNeed, need);
    return 'exhausted';
  }

  /** Returns whether no return by others could cover the need, as far as the log shows. */
  private isHopeless(
    allotment: BudgetAllotment,
    account: Account | undefined,
    need: number,
  ): boolean {
    if (!account || !this.reader.isReady()) {
      return false;
    }
    if (need >= allotment.starvedNeed) {
      return true;
    }
    const own = account.holders.get(this.options.incarnation);
    let spent = allotment.spent - (own?.spent ?? 0);
    account.holders.forEach((holder) => {
      spent += holder.spent;
    });
    return need > account.funded - spent;
  }

  private addWaiter(
    allotment: BudgetAllotment,
    need: number,
    resolve: (granted: boolean) => void,
  ): void {
    const { timers, holdWaitMs = 2_000 } = this.options;
    const waitMs = this.isLogAway() ? LOG_AWAY_MS : holdWaitMs;
    let cancelTimeout: Unsubscribe = () => {};
    const waiter = {
      need,
      finish: (granted: boolean) => {
        cancelTimeout();
        resolve(granted);
      },
    };
    cancelTimeout = timers.subscribe(waitMs, () => {
      allotment.waiters.splice(allotment.waiters.indexOf(waiter), 1);
      resolve(false);
    });
    allotment.waiters.push(waiter);
    this.askForWaiters(allotment);
    this.askPeers(allotment).catch(() => {});
  }

  private askForWaiters(allotment: BudgetAllotment): void {
    const [head] = allotment.waiters;
    if (head) {
      this.ask(allotment, head.need - allotment.free);
    }
  }

  /** Asks for the horizon's worth once half of it is used up. */
  private refill(allotment: BudgetAllotment): void {
    const target = this.getTarget(allotment);
    if (allotment.free < target / 2) {
      this.ask(allotment, 0);
    }
  }

  private ask(allotment: BudgetAllotment, need: number): void {
    const { openAsk } = allotment;
    if (openAsk && openAsk.need >= need) {
      return;
    }
    const waiting = allotment.waiters.reduce((sum, waiter) => sum + waiter.need, 0);
    const want = Math.max(need, waiting + this.getTarget(allotment) - allotment.free);
    if (want <= 0) {
      return;
    }
    allotment.lastAsk += 1;
    allotment.openAsk = { ask: allotment.lastAsk, need };
    const { budget, lastAsk } = allotment;
    this.writer.append({ kind: 'ask', budget, ask: lastAsk, need, want });
  }

  private getTarget(allotment: BudgetAllotment): number {
    const { timers, getHorizonMs } = this.options;
    return allotment.getTarget(getHorizonMs(allotment.budget), timers.now());
  }

  private withdrawAsk(allotment: BudgetAllotment): void {
    const { budget, openAsk } = allotment;
    if (openAsk && allotment.waiters.length === 0) {
      const holder = this.options.incarnation;
      this.writer.append({ kind: 'cancel', budget, ask: openAsk.ask, holder });
    }
  }

  private async askPeers(allotment: BudgetAllotment): Promise<void> {
    const { peers } = this.options;
    const { budget } = allotment;
    if (!peers || !this.isLogAway() || this.transfersAsked.has(budget)) {
      return;
    }
    this.transfersAsked.add(budget);
    const waiting = allotment.waiters.reduce((sum, waiter) => sum + waiter.need, 0);
    const tokens = await peers.requestTokens(budget, waiting + this.getTarget(allotment));
    this.transfersAsked.delete(budget);
    allotment.received += tokens;
    // Stated before anything of it can be returned, so that the log never shows more out than in.
    this.reportAllotment(allotment);
    allotment.credit(tokens);
  }

  private onBatches(batches: readonly Batch[]): void {
    batches.forEach((batch) => this.writer.acknowledge(batch));
    this.reader.fold.accounts.forEach((account, budget) => {
      const allotment = this.allotments.get(budget);
      if (allotment) {
        this.synchronize(allotment, account);
      }
    });
  }

  /** Credits what the log shows as granted to this incarnation and was not credited yet. */
  private synchronize(allotment: BudgetAllotment, account: Account): void {
    const own = account.holders.get(this.options.incarnation);
    allotment.starvedNeed = Number.POSITIVE_INFINITY;
    if (own) {
      const granted = own.granted - allotment.credited;
      allotment.credited = own.granted;
      if (allotment.openAsk && own.decidedAsk >= allotment.openAsk.ask) {
        allotment.openAsk = undefined;
      }
      if (granted > 0) {
        allotment.credit(granted);
      }
    }
    this.askForWaiters(allotment);
    this.returnToWaiting(allotment);
  }

  /** Returns free tokens while another holder's ask waits for them. */
  private returnToWaiting(allotment: BudgetAllotment): void {
    const account = this.reader.fold.accounts.get(allotment.budget);
    const othersWait = account?.pending.some(({ holder }) => holder !== this.options.incarnation);
    if (othersWait && allotment.waiters.length === 0 && allotment.free > 0) {
      this.giveBack(allotment, allotment.free);
    }
  }

  /** Withdraws the ask of another holder that this process's requests have waited behind too long. */
  private unblock(): void {
    const nowMs = this.options.timers.now();
    this.allotments.forEach(({ budget, waiters }) => {
      const [head] = this.reader.fold.accounts.get(budget)?.pending ?? [];
      const known = this.blocking.get(budget);
      if (!head || head.holder === this.options.incarnation || waiters.length === 0) {
        this.blocking.delete(budget);
      } else if (known?.holder !== head.holder || known.ask !== head.ask) {
        this.blocking.set(budget, { ...head, since: nowMs });
      } else if (nowMs - known.since >= BLOCKING_MAX_MS) {
        this.blocking.delete(budget);
        this.writer.append({ kind: 'cancel', budget, ask: head.ask, holder: head.holder });
      }
    });
  }

  private giveBack(allotment: BudgetAllotment, tokens: number): Promise<void> {
    const returned = allotment.withdraw(tokens);
    if (returned === 0) {
      return Promise.resolve();
    }
    return this.writer.append({ kind: 'return', budget: allotment.budget, tokens: returned });
  }

  private maintain(): void {
    const { timers, idleReturnMs = 60_000 } = this.options;
    this.allotments.forEach((allotment) => {
      const idleMs = timers.now() - allotment.lastUsedAt;
      const target = this.getTarget(allotment);
      if (idleMs > idleReturnMs) {
        allotment.largestHold = 0;
        this.giveBack(allotment, allotment.free);
      } else if (allotment.free > 2 * target) {
        this.giveBack(allotment, allotment.free - target);
      }
    });
  }

  private report(): void {
    this.allotments.forEach((allotment) => this.reportAllotment(allotment));
  }

  private reportAllotment(allotment: BudgetAllotment): void {
    const { budget, spent, sent, received, held } = allotment;
    const totals = `${spent} ${sent} ${received} ${held}`;
    if (totals !== allotment.reported) {
      allotment.reported = totals;
      this.writer.append({ kind: 'report', budget, spent, sent, received, held });
    }
  }
}
