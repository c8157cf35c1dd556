/** The account of one budget in one process: claimed, activated and spent tokens. */
import { BudgetAllotment } from '../controllers/budgetAllotment.js';
import type { BudgetId } from '../types/ids.js';
import { DemandRate } from './demandRate.js';
import type { HolderBalance } from './holderRecord.js';

const UNMET_TIME_CONSTANT_MS = 1_000; // callers return within 800 ms
const UNMET_AGE_MAX_MS = 3_000;

/** The change that one record makes to an account, in tokens. */
export interface AccountChange {
  /** Positive to claim tokens, negative to return them. */
  readonly claimed: number;
  /** Positive to activate claimed tokens, negative to deactivate them. */
  readonly activated: number;
  /** The shortfall after the change. */
  readonly shortfall: number;
}

/**
 * An account. Only the `activated` part of the `claimed` tokens may be spent; a successor process returns the rest to
 * the budget. Tokens that a record returns are withheld before the record is sent; tokens that it adds become spendable
 * once the record is known to be stored.
 */
export class Account {
  readonly allotment: BudgetAllotment;

  /** The most that predecessors on this vm may have spent. */
  private inheritedMaxSpent = 0;

  /** What predecessors on this vm are known to have spent. */
  private inheritedSettled = 0;

  private claimed = 0;

  private activated = 0;

  private withheld = 0;

  /** Demand that could not be met since the last record was prepared, as of `unmetAt`. */
  private unmetDemand = 0;

  private unmetAt = 0;

  /** The idle tokens of this process's claim that other vms hold as advances. */
  advanced = 0;

  /** What advances lack; it is activated ahead of its grants. */
  advanceNeed = 0;

  /** The shortfall in the last stored record. */
  storedShortfall = 0;

  private readonly demand: DemandRate;

  constructor(budget: BudgetId, horizonMs: number) {
    this.allotment = new BudgetAllotment(budget, horizonMs);
    this.demand = new DemandRate(horizonMs);
  }

  /** Records the demand of a requested hold. Calls run for seconds, so waiting for their end would be too late. */
  recordDemand(tokens: number, nowMs: number): void {
    this.demand.add(tokens, nowMs);
  }

  /** Records demand that could not be met; the next record claims for it, as its caller is likely to return. */
  recordUnmet(tokens: number, nowMs: number): void {
    this.unmetDemand = this.getUnmet(nowMs) + tokens;
    this.unmetAt = nowMs;
  }

  /** Raises the unmet demand to a number of tokens. */
  ensureUnmet(tokens: number, nowMs: number): void {
    this.recordUnmet(Math.max(0, tokens - this.getUnmet(nowMs)), nowMs);
  }

  /** Returns the unmet demand, which decays: what was refused during an outage does not return all at once. */
  getUnmet(nowMs: number): number {
    const ageMs = nowMs - this.unmetAt;
    return ageMs > UNMET_AGE_MAX_MS
      ? 0
      : Math.floor(this.unmetDemand * Math.exp(-ageMs / UNMET_TIME_CONSTANT_MS));
  }

  /** Clears the unmet demand, for which a record claims. */
  clearUnmet(): void {
    this.unmetDemand = 0;
  }

  /** Ends a hold; the unused part becomes free again. */
  settle(tokens: number, used: number, nowMs: number): void {
    this.allotment.settle(tokens, used, nowMs);
    this.demand.add(used - tokens, nowMs);
  }

  /** Records tokens lent to a peer as demand, so that the following claims cover further loans. */
  recordLent(tokens: number, nowMs: number): void {
    this.allotment.sent += tokens;
    this.demand.add(tokens, nowMs);
  }

  /** Returns the spending to expect within a duration at the current rate, in tokens. */
  getExpectedSpending(durationMs: number, nowMs: number): number {
    // The rate may be negative: corrections count in full after the holds they correct have decayed.
    const tokensPerSecond = Math.max(0, this.demand.getTokensPerSecond(nowMs));
    return (tokensPerSecond * durationMs) / 1_000;
  }

  /** Returns what predecessors may have spent beyond what they are known to have spent. */
  getLost(): number {
    return this.inheritedMaxSpent - this.inheritedSettled;
  }

  /** Takes over the balance of the vm's predecessors. */
  inherit(maxSpent: number, settled: number): void {
    this.inheritedMaxSpent = maxSpent;
    this.inheritedSettled = settled;
  }

  /** Returns what this process may spend once all its claims are activated. */
  getTotalFree(): number {
    return this.claimed - this.activated + this.allotment.free;
  }

  /** Returns whether this process has claimed anything. */
  hasClaim(): boolean {
    return this.claimed > 0;
  }

  /** Returns what this process and its predecessors are known to have spent. */
  getSettled(): number {
    return this.inheritedSettled + this.allotment.spent;
  }

  /** Returns the change that returns all free tokens to the budget. */
  getReleaseChange(): AccountChange {
    return { claimed: -this.getTotalFree(), activated: -this.allotment.free, shortfall: 0 };
  }

  /** Returns a change without its claim: it returns tokens, or activates those that are claimed already. */
  limitToClaim({ claimed, activated, shortfall }: AccountChange): AccountChange {
    const returned = Math.min(0, claimed);
    const inactive = Math.max(0, this.claimed - this.activated + returned);
    return { claimed: returned, activated: Math.min(activated, inactive), shortfall };
  }

  /** Withholds the tokens that a change deactivates; returns the change limited to what could be withheld. */
  prepare(change: AccountChange): AccountChange {
    if (change.activated >= 0) {
      return change;
    }
    this.withheld = this.allotment.withdraw(-change.activated);
    const activated = -this.withheld;
    // Activated tokens that could not be withheld stay claimed.
    const claimed = Math.max(change.claimed, this.activated + activated - this.claimed);
    return { ...change, claimed, activated };
  }

  /** Returns the balance to store with a change. */
  toHolderBalance(
    change: AccountChange,
    total: { tokens: number; version: number } | undefined,
  ): HolderBalance {
    return {
      claimed: this.inheritedMaxSpent + this.claimed + change.claimed,
      activated: this.inheritedMaxSpent + this.activated + change.activated,
      settled: this.getSettled(),
      lost: this.getLost(),
      shortfall: change.shortfall,
      total: total?.tokens ?? 0,
      totalVersion: total?.version ?? 0,
    };
  }

  /** Applies a change whose record is stored. */
  confirm(change: AccountChange): void {
    this.claimed += change.claimed;
    this.storedShortfall = change.shortfall;
    this.withheld = 0;
    if (change.activated < 0) {
      this.activated += change.activated;
      return;
    }
    // After an extension most of the claim is already activated.
    const activated = Math.max(0, Math.min(change.activated, this.claimed - this.activated));
    this.activated += activated;
    if (activated > 0) {
      this.allotment.clearExhausted();
    }
    this.allotment.credit(activated);
  }

  /** Reverts the preparation of a change whose record was never stored. */
  revert(): void {
    const { withheld } = this;
    this.withheld = 0;
    this.allotment.credit(withheld);
  }

  /** Applies a change whose record may be stored or not: what it returns is gone, and what it adds is not granted. */
  confirmReturn({ claimed, activated }: AccountChange): void {
    this.claimed += Math.min(0, claimed);
    this.activated += Math.min(0, activated);
    this.withheld = 0;
  }

  /** Activates all tokens that are claimed whether or not a pending change is stored; returns how many it activated. */
  extend(pending: AccountChange | undefined): number {
    const confirmedClaim = this.claimed + Math.min(0, pending?.claimed ?? 0);
    const activated = Math.max(0, confirmedClaim - this.activated);
    this.activated += activated;
    this.allotment.clearExhausted();
    this.allotment.credit(activated);
    return activated;
  }
}
