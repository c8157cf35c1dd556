/**
 * The allotments of this process for the budgets of one stream: holds tokens for requests, refills
 * allotments before they run out and returns unused tokens. A home of the stream gets its tokens from
 * the log. Other routers, and homes while the log is unavailable, get them from peers.
 */
import type { BudgetId, StreamName } from '../types/ids.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { getOrCreate } from '../core/utilities.js';
import { BudgetAllotment } from './budgetAllotment.js';
import {
  LOG_UNAVAILABLE_MS,
  LogTokenSource,
  type LogTokenSourceOptions,
} from './logTokenSource.js';

/** Transfers tokens between peers. Each transfer has an id and is applied once. */
export abstract class TransferPeers {
  /** Requests tokens from peers, at least `need` and up to `want`. */
  abstract requestTokens(budget: BudgetId, need: number, want: number): Promise<TransferResult>;

  /** Sends tokens already deducted from the allotment to a home; they are lost if it does not respond. */
  abstract giveTokens(budget: BudgetId, tokens: number): Promise<void>;
}

/** The result of a request for tokens from peers. */
export interface TransferResult {
  readonly tokens: number;
  /** Whether any peer responded. */
  readonly isReached: boolean;
}

/** Options of a budget shard. Times are in milliseconds. */
export interface BudgetShardOptions extends Omit<
  LogTokenSourceOptions,
  'allotments' | 'onAccountChange'
> {
  readonly getHorizonMs: (budget: BudgetId) => number;
  readonly peers?: TransferPeers;
  /** Returns whether this router is a home of the stream: one that reads and appends to it. Default: every router is. */
  readonly isHome?: () => boolean;
  /** Maximum time that a request waits for tokens. Default 2,000. */
  readonly holdWaitMs?: number;
  /** Idle time after which all free tokens of an allotment are returned. Default 600,000. */
  readonly idleReturnMs?: number;
}

/** Tokens reserved for one request. */
export interface Hold {
  readonly budget: BudgetId;
  readonly tokens: number;
  /** Ends the hold and charges the tokens used; later calls have no effect. */
  readonly settle: (used: number) => void;
}

/** The reason why a hold failed. */
export type HoldFailure = 'exhausted' | 'unavailable';

const MAINTENANCE_INTERVAL_MS = 1_000;
/** Delay before peers are asked again while requests still wait for tokens. */
const PEER_RETRY_MS = 200;

/** The allotments for the budgets of one stream. */
export class BudgetShard {
  readonly stream: StreamName;

  readonly tokenSource: LogTokenSource;

  private readonly allotments = new Map<BudgetId, BudgetAllotment>();

  private readonly pendingPeerRequests = new Set<BudgetId>();

  private readonly timers: TimerService;

  private unsubscribe: Unsubscribe = () => {};

  constructor(private readonly options: BudgetShardOptions) {
    this.stream = options.stream;
    this.timers = options.timers;
    this.tokenSource = new LogTokenSource({
      ...options,
      allotments: this.allotments,
      onAccountChange: (allotment) => {
        this.askForWaiters(allotment);
        this.returnTokensToWaiters(allotment);
      },
    });
  }

  /** Starts periodic maintenance. A home reads the stream from now on; another router, once it becomes a home. */
  start(): void {
    this.startLogIfHome();
    this.unsubscribe = this.timers.subscribeEvery(MAINTENANCE_INTERVAL_MS, () => this.maintain());
  }

  /** Stops without returning tokens; granted tokens that were not returned remain outstanding. */
  stop(): void {
    this.unsubscribe();
    this.tokenSource.stop();
  }

  /** Returns all free tokens and reports the final totals; resolves when the returns are stored. */
  async close(): Promise<void> {
    const returns = [...this.allotments.values()].map((allotment) =>
      this.giveBack(allotment, allotment.free),
    );
    this.tokenSource.reportAll();
    await Promise.all(returns);
  }

  /** Returns whether this router is a home of the stream. */
  isHome(): boolean {
    return this.options.isHome?.() ?? true;
  }

  /** Returns whether this router can serve the shard's budgets. */
  isReady(): boolean {
    return !this.isHome() || this.tokenSource.isReady();
  }

  /**
   * Holds tokens for the worst case of a request. Fails with `exhausted` if the budget does not cover
   * it, with `unavailable` if neither the log nor a peer could be reached.
   *
   * @example
   * const hold = await shard.hold(budget, 1_200);
   * if (typeof hold === 'object') hold.settle(830);
   */
  async hold(budget: BudgetId, tokens: number): Promise<Hold | HoldFailure> {
    const allotment = this.getAllotment(budget);
    if (!allotment.tryHold(tokens, this.timers.now())) {
      const failure = await this.waitForTokens(allotment, tokens);
      if (failure) {
        return failure;
      }
    }
    this.refill(allotment);
    return this.createHold(allotment, tokens);
  }

  /** Deducts free tokens for transfer to a peer, at most half of them, and returns the number. */
  sendFreeTokens(budget: BudgetId, tokens: number): number {
    const allotment = this.allotments.get(budget);
    if (!allotment || allotment.waiters.length > 0) {
      return 0;
    }
    return this.send(allotment, Math.min(tokens, allotment.free / 2));
  }

  /** Deducts tokens for transfer to a peer. A home asks the log for more if its free tokens do not cover the need. */
  async lendTokens(budget: BudgetId, need: number, want: number): Promise<number> {
    const allotment = this.getAllotment(budget);
    if (!this.canUseLog()) {
      return this.sendFreeTokens(budget, want);
    }
    if (allotment.free < need && need > 0) {
      const hold = await this.hold(budget, need);
      if (typeof hold === 'string') {
        return 0;
      }
      hold.settle(0);
    }
    const lent = this.send(allotment, Math.max(need, Math.min(want, allotment.free / 2)));
    this.refill(allotment);
    return lent;
  }

  /** Credits tokens received from a peer. */
  receiveTokens(budget: BudgetId, tokens: number): void {
    const allotment = this.getAllotment(budget);
    allotment.received += tokens;
    // Reported before any of the tokens can be returned, so that the totals in the log never show more
    // tokens leaving than entering.
    this.tokenSource.report(allotment);
    allotment.credit(tokens);
    if (allotment.waiters.length === 0) {
      this.tokenSource.cancelAsk(allotment);
    }
  }

  getAllotments(): ReadonlyMap<BudgetId, BudgetAllotment> {
    return this.allotments;
  }

  private send(allotment: BudgetAllotment, tokens: number): number {
    const sent = allotment.withdraw(tokens);
    allotment.sent += sent;
    this.tokenSource.report(allotment);
    return sent;
  }

  private canUseLog(): boolean {
    return this.isHome() && this.tokenSource.isReady() && !this.tokenSource.isUnavailable();
  }

  private createHold(allotment: BudgetAllotment, tokens: number): Hold {
    let isOpen = true;
    return {
      budget: allotment.budget,
      tokens,
      settle: (used) => {
        if (isOpen) {
          isOpen = false;
          allotment.settle(tokens, used, this.timers.now());
          this.returnTokensToWaiters(allotment);
        }
      },
    };
  }

  private getAllotment(budget: BudgetId): BudgetAllotment {
    return getOrCreate(
      this.allotments,
      budget,
      () => new BudgetAllotment(budget, this.options.getHorizonMs(budget)),
    );
  }

  private async waitForTokens(
    allotment: BudgetAllotment,
    need: number,
  ): Promise<HoldFailure | undefined> {
    if (this.isHome() && this.tokenSource.isUnsatisfiable(allotment, need)) {
      return 'exhausted';
    }
    const granted = await new Promise<boolean>((resolve) => {
      this.addWaiter(allotment, need, resolve);
    });
    if (granted) {
      return undefined;
    }
    if (allotment.waiters.length === 0) {
      this.tokenSource.cancelAsk(allotment);
    }
    if (this.isHome() ? this.tokenSource.isUnavailable() : !allotment.isAnyPeerReachable) {
      return 'unavailable';
    }
    allotment.recordExhausted(need, this.timers.now());
    return 'exhausted';
  }

  private addWaiter(
    allotment: BudgetAllotment,
    need: number,
    resolve: (granted: boolean) => void,
  ): void {
    const { holdWaitMs = 2_000 } = this.options;
    const waitMs =
      this.isHome() && this.tokenSource.isUnavailable() ? LOG_UNAVAILABLE_MS : holdWaitMs;
    let cancelTimeout: Unsubscribe = () => {};
    const waiter = {
      need,
      finish: (granted: boolean) => {
        cancelTimeout();
        resolve(granted);
      },
    };
    cancelTimeout = this.timers.subscribe(waitMs, () => {
      allotment.waiters.splice(allotment.waiters.indexOf(waiter), 1);
      resolve(false);
    });
    allotment.waiters.push(waiter);
    this.askForWaiters(allotment);
  }

  private askForWaiters(allotment: BudgetAllotment): void {
    const [head] = allotment.waiters;
    if (head) {
      this.ask(allotment, head.need - allotment.free);
    }
  }

  /** Asks for tokens up to the target once the free tokens fall below half of it. */
  private refill(allotment: BudgetAllotment): void {
    if (allotment.free < this.getTarget(allotment) / 2) {
      this.ask(allotment, 0);
    }
  }

  /** Asks the log if this router is a home, and peers if the log cannot be used. */
  private ask(allotment: BudgetAllotment, need: number): void {
    const waiting = allotment.waiters.reduce((sum, waiter) => sum + waiter.need, 0);
    const want = Math.max(need, waiting + this.getTarget(allotment) - allotment.free);
    if (want <= 0) {
      return;
    }
    if (this.isHome() && this.tokenSource.isReady()) {
      this.tokenSource.ask(allotment, need, want);
    }
    if (!this.canUseLog() && (need > 0 || !this.isHome())) {
      this.requestTokensFromPeers(allotment, need, want).catch(() => {});
    }
  }

  private async requestTokensFromPeers(
    allotment: BudgetAllotment,
    need: number,
    want: number,
  ): Promise<void> {
    const { peers } = this.options;
    const { budget } = allotment;
    if (!peers || this.pendingPeerRequests.has(budget)) {
      return;
    }
    this.pendingPeerRequests.add(budget);
    const { tokens, isReached } = await peers.requestTokens(budget, need, want);
    this.pendingPeerRequests.delete(budget);
    allotment.isAnyPeerReachable = isReached;
    if (tokens > 0) {
      this.receiveTokens(budget, tokens);
    }
    if (allotment.waiters.length > 0) {
      this.timers.subscribe(PEER_RETRY_MS, () => this.askForWaiters(allotment));
    }
  }

  private getTarget(allotment: BudgetAllotment): number {
    return allotment.getTargetTokens(this.timers.now());
  }

  /** Returns free tokens if another holder's ask is pending and no request waits here. */
  private returnTokensToWaiters(allotment: BudgetAllotment): void {
    const isWanted = this.isHome() && this.tokenSource.hasOtherPendingAsks(allotment.budget);
    if (isWanted && allotment.waiters.length === 0) {
      this.giveBack(allotment, allotment.free);
    }
  }

  private async giveBack(allotment: BudgetAllotment, tokens: number): Promise<void> {
    const returned = allotment.withdraw(tokens);
    if (returned === 0) {
      return;
    }
    if (this.isHome() && this.tokenSource.isReady()) {
      await this.tokenSource.giveBack(allotment, returned);
      return;
    }
    allotment.sent += returned;
    await this.options.peers?.giveTokens(allotment.budget, returned);
  }

  private startLogIfHome(): void {
    if (this.isHome()) {
      this.tokenSource.start();
    }
  }

  private maintain(): void {
    const { idleReturnMs = 600_000 } = this.options;
    const nowMs = this.timers.now();
    this.startLogIfHome();
    this.allotments.forEach((allotment) => {
      const target = this.getTarget(allotment);
      if (nowMs - allotment.lastUsedAt > idleReturnMs) {
        allotment.largestHold = 0;
        this.giveBack(allotment, allotment.free);
      } else if (allotment.free > 2 * target) {
        this.giveBack(allotment, allotment.free - target);
      }
    });
  }
}
