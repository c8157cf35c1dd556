/** Distributes budgets over log streams and keeps the funds in each stream in line with the rules. */
import type { BudgetId, Incarnation, RulesVersion, StreamName } from '../types/ids.js';
import { brandId } from '../types/ids.js';
import type { LogService } from '../types/platform.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { getHash32 } from '../core/utilities.js';
import { BudgetShard, type Hold, type HoldFailure, type TransferPeers } from './budgetShard.js';
import type { ActiveRules } from './rulesController.js';

/** Options of the budget controller. Times are in milliseconds. */
export interface BudgetControllerOptions {
  readonly log: LogService;
  readonly timers: TimerService;
  readonly incarnation: Incarnation;
  readonly shards: number;
  /** Returns whether this router is a home of a stream: one that reads and appends to it. Default: every router is. */
  readonly isHome?: (stream: StreamName) => boolean;
  readonly getRules: () => ActiveRules | undefined;
  /** Returns this router's rank in the rendezvous order of a stream, from 0. */
  readonly getRank: (stream: string) => number;
  readonly peers?: TransferPeers;
  readonly holdWaitMs?: number;
  readonly reportIntervalMs?: number;
  readonly idleReturnMs?: number;
  readonly flushIntervalMs?: number;
  readonly pollMs?: number;
  readonly onRetry?: (reason: string) => void;
}

const FUND_CHECK_INTERVAL_MS = 250;
/** Delay per rank in the rendezvous order, so that normally one router appends missing funds. */
const FUND_RANK_DELAY_MS = 1_000;
const DEFAULT_HORIZON_MS = 600_000;

/** Returns the stream of a budget shard. */
export function getBudgetStream(shard: number): StreamName {
  return brandId(`budgets-${shard}`);
}

/** Returns the shard that a budget belongs to. */
export function getShardOfBudget(budget: BudgetId, shards: number): number {
  return getHash32(budget) % shards;
}

/** The budgets of one process. */
export class BudgetController {
  readonly shards: readonly BudgetShard[];

  private unsubscribe: Unsubscribe = () => {};

  /** The time at which funds were first found missing, by shard. */
  private readonly missingFundsSince = new Map<number, number>();

  /** The latest rules version whose funds are all present, by shard. */
  private readonly verifiedFundVersions = new Map<number, RulesVersion>();

  constructor(private readonly options: BudgetControllerOptions) {
    this.shards = Array.from(
      { length: options.shards },
      (_, shard) =>
        new BudgetShard({
          ...options,
          stream: getBudgetStream(shard),
          isHome: () => options.isHome?.(getBudgetStream(shard)) ?? true,
          getHorizonMs: (budget) => this.getHorizonMs(budget),
        }),
    );
  }

  /** Starts the shards and the periodic check of their funds. */
  start(): void {
    this.shards.forEach((shard) => shard.start());
    this.unsubscribe = this.options.timers.subscribeEvery(FUND_CHECK_INTERVAL_MS, () =>
      this.checkFunds(),
    );
  }

  /** Stops without returning tokens. */
  stop(): void {
    this.unsubscribe();
    this.shards.forEach((shard) => shard.stop());
  }

  /** Returns all free tokens; resolves when the returns are stored in the log. */
  async close(): Promise<void> {
    this.unsubscribe();
    await Promise.all(this.shards.map((shard) => shard.close()));
  }

  /** Returns whether every shard can serve its budgets. */
  isReady(): boolean {
    return this.shards.every((shard) => shard.isReady());
  }

  /** Holds tokens; see `BudgetShard.hold`. */
  hold(budget: BudgetId, tokens: number): Promise<Hold | HoldFailure> {
    return this.getShard(budget).hold(budget, tokens);
  }

  /** Lends tokens to a peer; see `BudgetShard.lendTokens`. */
  lendTokens(budget: BudgetId, need: number, want: number): Promise<number> {
    return this.getShard(budget).lendTokens(budget, need, want);
  }

  /** Credits tokens received from a peer. */
  receiveTokens(budget: BudgetId, tokens: number): void {
    this.getShard(budget).receiveTokens(budget, tokens);
  }

  /** Appends missing funds to the streams once this router's rank delay has passed. */
  checkFunds(): void {
    const rules = this.options.getRules();
    if (!rules) {
      return;
    }
    this.shards.forEach((shard, index) => {
      const isVerified = this.verifiedFundVersions.get(index) === rules.version;
      if (!isVerified && shard.tokenSource.isReady() && shard.tokenSource.writer.isIdle()) {
        this.checkShardFunds(shard, index, rules);
      }
    });
  }

  private checkShardFunds(shard: BudgetShard, index: number, rules: ActiveRules): void {
    const { timers, getRank, shards } = this.options;
    const stated = [...rules.set.funds.values()]
      .filter(({ budget }) => getShardOfBudget(budget, shards) === index)
      .map(({ budget, name, tokens }) => ({ budget, fund: name, tokens }));
    const missing = shard.tokenSource.getMissingFunds(stated, rules.version);
    if (missing.length === 0) {
      this.missingFundsSince.delete(index);
      this.verifiedFundVersions.set(index, rules.version);
      return;
    }
    const since = this.missingFundsSince.get(index) ?? timers.now();
    this.missingFundsSince.set(index, since);
    if (timers.now() - since >= getRank(getBudgetStream(index)) * FUND_RANK_DELAY_MS) {
      shard.tokenSource.appendFunds(missing, rules.version);
    }
  }

  private getShard(budget: BudgetId): BudgetShard {
    return this.shards[getShardOfBudget(budget, this.shards.length)]!;
  }

  private getHorizonMs(budget: BudgetId): number {
    return this.options.getRules()?.set.budgets.get(budget)?.horizonMs ?? DEFAULT_HORIZON_MS;
  }
}
