/** The accounts of one process in one topic, and what is to be claimed for each of them. */
import type { TimerService } from '../core/timers.js';
import { getOrCreate } from '../core/utilities.js';
import type { BudgetId, VmId } from '../types/ids.js';
import { Account, type AccountChange } from './account.js';
import { getAllotmentTarget, planAllotment, type AllotmentInputs } from './allotmentPlan.js';
import type { HolderBalance, HolderRecord } from './holderRecord.js';
import type { HomeList } from './homeList.js';
import type { Ledger, VersionedTotal } from './ledger.js';

/** Options of a book. */
export interface LocalAccountsOptions {
  readonly ledger: Ledger;
  readonly homes: HomeList;
  readonly timers: TimerService;
  readonly vm: VmId;
  /** How much spending claims cover, in milliseconds. */
  readonly horizonMs: number;
  /** Returns the prepaid totals that this process knows. */
  readonly getTotals: () => ReadonlyMap<BudgetId, VersionedTotal>;
  /** Returns how long ago the store began to answer, in milliseconds. */
  readonly getRecoveryAgeMs: () => number;
}

/** Changes of all accounts that one record makes, and the accounts as it states them. */
export interface PreparedChanges {
  readonly changes: ReadonlyMap<BudgetId, AccountChange>;
  readonly balances: ReadonlyMap<BudgetId, HolderBalance>;
}

const ACTIVATION_WINDOW_MS = 1_700; // spending until some records later
/** The part of the horizon that claims cover when the store has just come back. */
const COVERAGE_MIN = 0.2;
const COVERAGE_GROWTH_MS = 6_000; // shorter than the calm between two outages of the store in a row
/** Above this part of a total others may lack what is idle here. */
const SCARCITY_THRESHOLD_SHARE = 0.85;

/** All accounts of one process in one topic. */
export class LocalAccounts {
  private readonly accounts = new Map<BudgetId, Account>();

  constructor(private readonly options: LocalAccountsOptions) {}

  /** Returns the account of a budget. */
  getAccount(budget: BudgetId): Account {
    return getOrCreate(this.accounts, budget, () => new Account(budget, this.options.horizonMs));
  }

  /** Returns the total of a budget as known here or to any holder. */
  getTotal(budget: BudgetId): VersionedTotal | undefined {
    return this.options.ledger.getTotal(budget, this.options.getTotals().get(budget));
  }

  /** Returns the free tokens that this process aims at. */
  getTarget(budget: BudgetId): number {
    const inputs = this.getAllotmentInputs(budget);
    return inputs ? getAllotmentTarget(inputs) : 0;
  }

  /** Returns what nobody has claimed, as last read. */
  getUnclaimed(budget: BudgetId): number {
    return (this.getTotal(budget)?.tokens ?? 0) - this.options.ledger.getClaimed(budget);
  }

  /** Returns what the log proves to be spent, with what this process has spent since. */
  getProvenSpent(budget: BudgetId): number {
    const { ledger, vm } = this.options;
    const own = ledger.holders.get(vm)?.balances.get(budget)?.settled ?? 0;
    return ledger.getSettled(budget) - own + Math.max(own, this.getAccount(budget).getSettled());
  }

  /** Returns whether any allotment is to be changed, by what was last read. */
  hasChanges(): boolean {
    return [...this.getBudgets()].some((budget) => {
      const plan = this.plan(budget);
      const { storedShortfall } = this.getAccount(budget);
      return plan.claimed !== 0 || plan.activated !== 0 || plan.shortfall !== storedShortfall;
    });
  }

  /** Returns whether others may lack what is idle here, so that their records are to be read. */
  hasScarceBudget(): boolean {
    return [...this.getBudgets()].some((budget) => {
      const total = this.getTotal(budget)?.tokens ?? 0;
      return this.options.ledger.getClaimed(budget) > total * SCARCITY_THRESHOLD_SHARE;
    });
  }

  /** Returns whether this process has claims that it may have to extend or return. */
  hasClaims(): boolean {
    return [...this.accounts.values()].some((account) => account.hasClaim());
  }

  /** Returns a text that changes when anything is spent. */
  getSpendingKey(): string {
    return [...this.accounts.values()].map(({ allotment }) => allotment.spent).join(',');
  }

  /** Prepares the changes of a record; the last one of a process gives back all that is free. */
  prepare(isFinal: boolean): PreparedChanges {
    const changes = new Map<BudgetId, AccountChange>();
    const balances = new Map<BudgetId, HolderBalance>();
    this.getBudgets().forEach((budget) => {
      const account = this.getAccount(budget);
      const change = account.prepare(isFinal ? account.getReleaseChange() : this.plan(budget));
      changes.set(budget, change);
      balances.set(budget, account.toHolderBalance(change, this.getTotal(budget)));
      account.unmetDemand = 0;
    });
    return { changes, balances };
  }

  /** Makes the changes of a record that is stored. */
  confirm(changes: ReadonlyMap<BudgetId, AccountChange>): void {
    changes.forEach((change, budget) => this.getAccount(budget).confirm(change));
  }

  /** Undoes the preparation of a record that was never stored. */
  revert(changes: ReadonlyMap<BudgetId, AccountChange>): void {
    changes.forEach((_, budget) => this.getAccount(budget).revert());
  }

  /** Opens all claims, whether or not the changes of a record in doubt are stored; returns the tokens that this adds. */
  extend(pendingChanges: ReadonlyMap<BudgetId, AccountChange> | undefined): number {
    let tokens = 0;
    this.accounts.forEach((account, budget) => {
      tokens += account.extend(pendingChanges?.get(budget));
    });
    return tokens;
  }

  /** Takes over what an earlier process of the vm left. */
  inherit({ balances }: HolderRecord, isExtensionRuledOut: boolean): void {
    balances.forEach(({ claimed, activated, settled }, budget) => {
      this.getAccount(budget).inherit(isExtensionRuledOut ? activated : claimed, settled);
    });
  }

  private getBudgets(): Set<BudgetId> {
    return new Set([...this.options.getTotals().keys(), ...this.accounts.keys()]);
  }

  private plan(budget: BudgetId): AccountChange {
    const inputs = this.getAllotmentInputs(budget);
    return inputs ? planAllotment(inputs) : { claimed: 0, activated: 0, shortfall: 0 };
  }

  private getAllotmentInputs(budget: BudgetId): AllotmentInputs | undefined {
    const { timers, horizonMs, ledger, homes, vm } = this.options;
    const total = this.getTotal(budget);
    if (!total) {
      return undefined;
    }
    const account = this.getAccount(budget);
    const { allotment, unmetDemand } = account;
    const now = timers.now();
    const coverage = this.getCoverage();
    const waiting = allotment.waiters.reduce((sum, { need }) => sum + need, 0);
    return {
      total: total.tokens,
      claimed: ledger.getClaimed(budget),
      remaining: total.tokens - ledger.getSettled(budget) - ledger.getLost(budget),
      free: account.getTotalFree(),
      freeActivated: allotment.free,
      isHome: homes.isHomeOf(budget),
      hasWitnesses: ledger.holders.size > 1,
      expectedSpending: account.getExpectedSpending(horizonMs * coverage, now),
      coverage,
      imminentSpending: account.getExpectedSpending(ACTIVATION_WINDOW_MS, now),
      meanHold: allotment.meanHold,
      spendingShare: ledger.getSpendingShare(budget, vm, total.tokens, homes.getClaimantCount()),
      needed: Math.max(waiting, unmetDemand),
      othersShortfall: ledger.getOthersShortfall(budget, vm),
    };
  }

  /**
   * Returns the part of the horizon that claims cover now. A store that has just come back is asked for little at
   * first: fleets are often started anew after an outage, and what processes that die together have claimed is lost.
   */
  private getCoverage(): number {
    return Math.min(1, COVERAGE_MIN + this.options.getRecoveryAgeMs() / COVERAGE_GROWTH_MS);
  }
}
