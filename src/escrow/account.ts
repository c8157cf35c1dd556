/** One budget in one process: what its vm has claimed, how much of that it may spend now, and what it has spent. */
import { BudgetAllotment } from '../controllers/budgetAllotment.js';
import type { BudgetId } from '../types/ids.js';
import { DemandRate } from './demandRate.js';
import type { HolderBalance } from './holderRecord.js';

/** A change of an account that is part of a record. Tokens, above 0 for more and below 0 for less. */
export interface AccountChange {
  readonly claimed: number;
  readonly activated: number;
  readonly shortfall: number;
}

/**
 * An account. Of the `claimed` tokens only the `opened` ones may be spent: a successor returns the rest. Tokens that
 * a record gives up are withheld before it is sent; tokens that it adds count once it is known to be stored.
 */
export class Account {
  readonly allotment: BudgetAllotment;

  /** What earlier processes of this vm may have spent. */
  private inheritedMaxSpent = 0;

  /** What earlier processes of this vm have certainly spent. */
  private inheritedSettled = 0;

  private claimed = 0;

  private activated = 0;

  private withheld = 0;

  /** What requests lacked when they were last refused. */
  unmetDemand = 0;

  /** What is lacking, as last stored. */
  storedShortfall = 0;

  private readonly demand: DemandRate;

  constructor(budget: BudgetId, horizonMs: number) {
    this.allotment = new BudgetAllotment(budget, horizonMs);
    this.demand = new DemandRate(horizonMs);
  }

  /** Notes a hold that a request asks for: calls run for seconds, and demand must be known before they end. */
  recordDemand(tokens: number, nowMs: number): void {
    this.demand.add(tokens, nowMs);
  }

  /** Ends a hold with what was used. */
  settle(tokens: number, used: number, nowMs: number): void {
    this.allotment.settle(tokens, used, nowMs);
    this.demand.add(used - tokens, nowMs);
  }

  /** Notes tokens that went to a peer: they count as demand here, so that the next ones are ready. */
  recordLent(tokens: number, nowMs: number): void {
    this.allotment.sent += tokens;
    this.demand.add(tokens, nowMs);
  }

  /** Returns what is spent in a time if spending goes on as it did, in tokens. */
  getExpectedSpending(durationMs: number, nowMs: number): number {
    // Corrections of ended calls may pass what is left of their holds.
    const tokensPerSecond = Math.max(0, this.demand.getTokensPerSecond(nowMs));
    return (tokensPerSecond * durationMs) / 1_000;
  }

  /** Returns what earlier processes may have spent beyond what they certainly have. */
  getLost(): number {
    return this.inheritedMaxSpent - this.inheritedSettled;
  }

  /** Takes over what earlier processes of the vm left. */
  inherit(maxSpent: number, settled: number): void {
    this.inheritedMaxSpent = maxSpent;
    this.inheritedSettled = settled;
  }

  /** Returns what this process may spend once all its claims are opened. */
  getTotalFree(): number {
    return this.claimed - this.activated + this.allotment.free;
  }

  /** Returns whether this process has claimed anything. */
  hasClaim(): boolean {
    return this.claimed > 0;
  }

  /** Returns what the vm's processes have certainly spent. */
  getSettled(): number {
    return this.inheritedSettled + this.allotment.spent;
  }

  /** Returns the change that gives back all that is free. */
  getReleaseChange(): AccountChange {
    return { claimed: -this.getTotalFree(), activated: -this.allotment.free, shortfall: 0 };
  }

  /** Withholds what a change gives up; returns the change as it can be made. */
  prepare(change: AccountChange): AccountChange {
    if (change.activated >= 0) {
      return change;
    }
    this.withheld = this.allotment.withdraw(-change.activated);
    const activated = -this.withheld;
    // Opened tokens that could not be taken back stay claimed.
    const claimed = Math.max(change.claimed, this.activated + activated - this.claimed);
    return { ...change, claimed, activated };
  }

  /** Returns the account as a record states it once a change is made. */
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

  /** Makes a change whose record is stored. */
  confirm(change: AccountChange): void {
    this.claimed += change.claimed;
    this.storedShortfall = change.shortfall;
    this.withheld = 0;
    if (change.activated < 0) {
      this.activated += change.activated;
      return;
    }
    // After an extension most of the claim is open already.
    const activated = Math.max(0, Math.min(change.activated, this.claimed - this.activated));
    this.activated += activated;
    if (activated > 0) {
      this.allotment.clearExhausted();
    }
    this.allotment.credit(activated);
  }

  /** Undoes the preparation of a change whose record was never stored. */
  revert(): void {
    const { withheld } = this;
    this.withheld = 0;
    this.allotment.credit(withheld);
  }

  /** Opens all that is claimed whether or not a pending change is stored; returns how many tokens that is. */
  extend(pending: AccountChange | undefined): number {
    const certain = this.claimed + Math.min(0, pending?.claimed ?? 0);
    const activated = Math.max(0, certain - this.activated);
    this.activated += activated;
    this.allotment.clearExhausted();
    this.allotment.credit(activated);
    return activated;
  }
}
