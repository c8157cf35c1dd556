/**
 * What this process may spend of one budget. Tokens enter only by what the log shows as granted to
 * this incarnation, or by a transfer that a peer gave up first; they leave when spent, returned or sent.
 */
import type { BudgetId } from '../types/ids.js';
import { SpendRate } from './spendRate.js';

/** A request that waits for tokens. */
export interface HoldWaiter {
  readonly need: number;
  readonly finish: (granted: boolean) => void;
}

/** An ask that the log has not decided yet. */
export interface OpenAsk {
  readonly ask: number;
  readonly need: number;
}

/** How many of the largest recent holds the allotment keeps in reserve. */
const RESERVED_HOLD_COUNT = 2;
/** Time constant of the rate that follows a surge, in milliseconds. */
const RECENT_RATE_TIME_CONSTANT_MS = 30_000;
/** The weight of the latest hold in the mean of holds. */
const MEAN_HOLD_SMOOTHING_FACTOR = 0.1;
/** How long a need that went unmet is refused at once, in milliseconds. */
const EXHAUSTION_TTL_MS = 1_000;

/** The tokens of one budget in this process. `free + held + spent` never exceeds what came in. */
export class BudgetAllotment {
  free = 0;

  held = 0;

  spent = 0;

  sent = 0;

  received = 0;

  /** How much of the grants that the log shows was credited already. */
  creditedTokens = 0;

  lastAsk = 0;

  openAsk: OpenAsk | undefined;

  readonly waiters: HoldWaiter[] = [];

  /** What is spent now, and what was spent over the horizon: the first rises fast, the second stays. */
  private readonly recentRate = new SpendRate(RECENT_RATE_TIME_CONSTANT_MS);

  private readonly horizonRate: SpendRate;

  /** Whether any peer answered when peers were last asked for tokens. */
  isAnyPeerReachable = false;

  /** The largest recent hold, in tokens. */
  largestHold = 0;

  /** The mean of recent holds, in tokens. */
  meanHold = 0;

  lastUsedAt = 0;

  /** The totals as last reported to the log. */
  lastReportedTotals = '';

  /** The least need that went unmet lately; forgotten when the account changes. */
  private exhaustedNeed = Number.POSITIVE_INFINITY;

  private exhaustedUntil = 0;

  /** `horizonMs` is how much spending the allotment covers, in milliseconds. */
  constructor(
    readonly budget: BudgetId,
    private readonly horizonMs: number,
  ) {
    this.horizonRate = new SpendRate(Math.max(horizonMs, RECENT_RATE_TIME_CONSTANT_MS));
  }

  /** Takes a hold where the free tokens cover it and nobody waits before it. */
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

  /** Ends a hold: the used part is spent, the rest is free again. Never charges above the hold. */
  settle(need: number, used: number, nowMs: number): void {
    const charged = Math.min(Math.max(0, used), need);
    this.held -= need;
    this.spent += charged;
    this.free += need - charged;
    this.recentRate.add(charged, nowMs);
    this.horizonRate.add(charged, nowMs);
    this.serveWaiters();
  }

  /** Adds tokens and serves those who wait, in order. */
  credit(tokens: number): void {
    this.free += tokens;
    this.serveWaiters();
  }

  /** Takes out free tokens, at most the amount, and returns how many. */
  withdraw(tokens: number): number {
    const taken = Math.max(0, Math.min(this.free, Math.floor(tokens)));
    this.free -= taken;
    return taken;
  }

  /** Returns the free tokens that the horizon calls for. */
  getTargetTokens(nowMs: number): number {
    const tokensPerSecond = Math.max(
      this.recentRate.getTokensPerSecond(nowMs),
      this.horizonRate.getTokensPerSecond(nowMs),
    );
    const spending = (tokensPerSecond * this.horizonMs) / 1_000;
    return Math.ceil(spending + RESERVED_HOLD_COUNT * this.largestHold);
  }

  /** Notes a need that went unmet; the like is refused at once for a while. */
  recordExhausted(need: number, nowMs: number): void {
    const known = nowMs < this.exhaustedUntil ? this.exhaustedNeed : Number.POSITIVE_INFINITY;
    this.exhaustedNeed = Math.min(known, need);
    this.exhaustedUntil = nowMs + EXHAUSTION_TTL_MS;
  }

  /** Returns whether a need as large went unmet a moment ago and nothing has changed since. */
  isRecentlyExhausted(need: number, nowMs: number): boolean {
    return nowMs < this.exhaustedUntil && need >= this.exhaustedNeed;
  }

  /** Forgets needs that went unmet. */
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
