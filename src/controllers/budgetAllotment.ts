/**
 * The tokens of one budget that this process may spend. Tokens enter only through grants to this
 * incarnation that have been read from the log, or through transfers that a peer has already deducted.
 * They leave when they are spent, returned to the log or sent to a peer.
 */
import type { BudgetId } from '../types/ids.js';
import { SpendRate } from './spendRate.js';

/** A request waiting for tokens. */
export interface HoldWaiter {
  readonly need: number;
  readonly finish: (granted: boolean) => void;
}

/** An ask (a request for tokens appended to the log) that has not been granted or denied yet. */
export interface OpenAsk {
  readonly ask: number;
  readonly need: number;
}

/** Number of holds of the largest recent size that the allotment keeps in reserve. */
const RESERVED_HOLD_COUNT = 2;
/** Time constant of the short-term spend rate, which reacts to surges. */
const RECENT_RATE_TIME_CONSTANT_MS = 30_000;
/** Weight of the latest hold in the exponential moving average of hold sizes. */
const MEAN_HOLD_SMOOTHING_FACTOR = 0.1;
/** How long requests of at least the size of a failed one are refused without waiting. */
const EXHAUSTION_TTL_MS = 1_000;

/** The tokens of one budget in this process. `free + held + spent` never exceeds the tokens credited. */
export class BudgetAllotment {
  free = 0;

  held = 0;

  spent = 0;

  sent = 0;

  received = 0;

  /** The part of the grants in the log that has already been credited. */
  creditedTokens = 0;

  lastAsk = 0;

  openAsk: OpenAsk | undefined;

  readonly waiters: HoldWaiter[] = [];

  /** Short-term spend rate, which rises fast; `horizonRate` averages over the horizon and falls slowly. */
  private readonly recentRate = new SpendRate(RECENT_RATE_TIME_CONSTANT_MS);

  private readonly horizonRate: SpendRate;

  /** Whether any peer responded to the last request for tokens. */
  isAnyPeerReachable = false;

  /** The largest recent hold, in tokens. */
  largestHold = 0;

  /** Exponential moving average of hold sizes, in tokens. */
  meanHold = 0;

  lastUsedAt = 0;

  /** The totals of the last report appended to the log. */
  lastReportedTotals = '';

  /** The smallest need that recently could not be met; cleared when the account changes. */
  private exhaustedNeed = Number.POSITIVE_INFINITY;

  private exhaustedUntil = 0;

  /** `horizonMs` is the duration of spending, at the current rate, that the allotment should cover. */
  constructor(
    readonly budget: BudgetId,
    private readonly horizonMs: number,
  ) {
    this.horizonRate = new SpendRate(Math.max(horizonMs, RECENT_RATE_TIME_CONSTANT_MS));
  }

  /** Takes a hold if the free tokens cover it and no other request is waiting. */
  tryHold(need: number, nowMs: number): boolean {
    this.lastUsedAt = nowMs;
    this.largestHold = Math.max(need, this.largestHold);
    this.meanHold +=
      (need - this.meanHold) * (this.meanHold === 0 ? 1 : MEAN_HOLD_SMOOTHING_FACTOR);
    if (this.waiters.length > 0 || this.free < need) {
      return false;
    }
    this.take(need);
    return true;
  }

  /** Ends a hold: the used part is spent, the rest becomes free. Never charges more than the hold. */
  settle(need: number, used: number, nowMs: number): void {
    const charged = Math.min(Math.max(0, used), need);
    this.held -= need;
    this.spent += charged;
    this.free += need - charged;
    this.recentRate.add(charged, nowMs);
    this.horizonRate.add(charged, nowMs);
    this.serveWaiters();
  }

  /** Adds free tokens and serves waiting requests in order of arrival. */
  credit(tokens: number): void {
    this.free += tokens;
    this.serveWaiters();
  }

  /** Removes up to `tokens` free tokens and returns the number removed. */
  withdraw(tokens: number): number {
    const withdrawn = Math.max(0, Math.min(this.free, Math.floor(tokens)));
    this.free -= withdrawn;
    return withdrawn;
  }

  /** Returns the number of free tokens needed for the horizon at the current spend rate. */
  getTargetTokens(nowMs: number): number {
    const tokensPerSecond = Math.max(
      this.recentRate.getTokensPerSecond(nowMs),
      this.horizonRate.getTokensPerSecond(nowMs),
    );
    const spending = (tokensPerSecond * this.horizonMs) / 1_000;
    return Math.ceil(spending + RESERVED_HOLD_COUNT * this.largestHold);
  }

  /** Records a need that could not be met; needs of that size or more are refused for a short time. */
  recordExhausted(need: number, nowMs: number): void {
    const previousNeed =
      nowMs < this.exhaustedUntil ? this.exhaustedNeed : Number.POSITIVE_INFINITY;
    this.exhaustedNeed = Math.min(previousNeed, need);
    this.exhaustedUntil = nowMs + EXHAUSTION_TTL_MS;
  }

  /** Returns whether a need of this size or less recently failed and the account has not changed since. */
  isRecentlyExhausted(need: number, nowMs: number): boolean {
    return nowMs < this.exhaustedUntil && need >= this.exhaustedNeed;
  }

  /** Clears the record of unmet needs. */
  clearExhausted(): void {
    this.exhaustedNeed = Number.POSITIVE_INFINITY;
  }

  private serveWaiters(): void {
    for (let [head] = this.waiters; head && head.need <= this.free; [head] = this.waiters) {
      this.waiters.shift();
      this.take(head.need);
      head.finish(true);
    }
  }

  private take(need: number): void {
    this.free -= need;
    this.held += need;
  }
}
