/** The accounts of one process in one topic, and the changes to claim for each of them. */
import type { TimerService } from '../core/timers.js';
import { getOrCreate } from '../core/utilities.js';
import type { BudgetId, VmId } from '../types/ids.js';
import { Account, type AccountChange } from './account.js';
import { getAllotmentTarget, planAllotment, type AllotmentInputs } from './allotmentPlan.js';
import { isStorableBalance, type HolderBalance, type HolderRecord } from './holderRecord.js';
import type { HomeList } from './homeList.js';
import type { Ledger, VersionedTotal } from './ledger.js';

/** Options of the accounts. */
export interface LocalAccountsOptions {
  readonly ledger: Ledger;
  readonly homes: HomeList;
  readonly timers: TimerService;
  readonly vm: VmId;
  /** How long claims are meant to cover spending, in milliseconds. */
  readonly horizonMs: number;
  /** Returns the prepaid totals that this process knows. */
  readonly getTotals: () => ReadonlyMap<BudgetId, VersionedTotal>;
  /** Returns the time since the last outage of the store ended, in milliseconds. */
  readonly getRecoveryAgeMs: () => number;
  /** Returns whether this process may claim tokens now. Default always. */
  readonly mayClaim?: () => boolean;
}

/** The account changes of one record, and the balances that it stores. */
export interface PreparedChanges {
  readonly changes: ReadonlyMap<BudgetId, AccountChange>;
  readonly balances: ReadonlyMap<BudgetId, HolderBalance>;
}

/** Prepared changes without those that no record can hold. */
export interface StorableChanges extends PreparedChanges {
  /** The budgets whose changes were reverted. */
  readonly reverted: readonly BudgetId[];
}

const ACTIVATION_WINDOW_MS = 1_700; // activated tokens cover spending until a few records later
/** The share of the horizon that claims cover right after the store recovered. */
const COVERAGE_MIN = 0.2;
const COVERAGE_GROWTH_MS = 6_000; // shorter than the interval between two successive store outages
/** Above this claimed share of a total, other holders may lack tokens that are idle here. */
const SCARCITY_THRESHOLD_SHARE = 0.85;

/** All accounts of one process in one topic. */
export class LocalAccounts {
  private readonly accounts = new Map<BudgetId, Account>();

  constructor(private readonly options: LocalAccountsOptions) {}

  /** Returns the account of a budget. */
  getAccount(budget: BudgetId): Account {
    return getOrCreate(this.accounts, budget, () => new Account(budget, this.options.horizonMs));
  }

  /** Returns the newest total of a budget that this process or any holder knows. */
  getTotal(budget: BudgetId): VersionedTotal | undefined {
    return this.options.ledger.getTotal(budget, this.options.getTotals().get(budget));
  }

  /** Returns the target for free tokens. */
  getTarget(budget: BudgetId): number {
    const inputs = this.getAllotmentInputs(budget);
    return inputs ? getAllotmentTarget(inputs) : 0;
  }

  /** Returns the tokens that no holder has claimed, as last read. */
  getUnclaimed(budget: BudgetId): number {
    return (this.getTotal(budget)?.tokens ?? 0) - this.options.ledger.getClaimed(budget);
  }

  /** Returns the spending that is stored, plus what this process has spent since its last record. */
  getProvenSpent(budget: BudgetId): number {
    const { ledger, vm } = this.options;
    const own = ledger.holders.get(vm)?.balances.get(budget)?.settled ?? 0;
    return ledger.getSettled(budget) - own + Math.max(own, this.getAccount(budget).getSettled());
  }

  /** Returns whether any allotment should change, as of the last read. */
  hasChanges(): boolean {
    return [...this.getBudgets()].some((budget) => {
      const plan = this.plan(budget);
      const { storedShortfall } = this.getAccount(budget);
      return plan.claimed !== 0 || plan.activated !== 0 || plan.shortfall !== storedShortfall;
    });
  }

  /** Returns whether other holders may lack tokens that are idle here, so that their records must be read. */
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

  /** Returns a key that changes whenever tokens are spent. */
  getSpendingKey(): string {
    return [...this.accounts.values()].map(({ allotment }) => allotment.spent).join(',');
  }

  /** Prepares the changes of a record; the final record of a process returns all free tokens. */
  prepare(isFinal: boolean): PreparedChanges {
    const changes = new Map<BudgetId, AccountChange>();
    const balances = new Map<BudgetId, HolderBalance>();
    this.getBudgets().forEach((budget) => {
      const account = this.getAccount(budget);
      const change = account.prepare(isFinal ? account.getReleaseChange() : this.plan(budget));
      changes.set(budget, change);
      balances.set(budget, account.toHolderBalance(change, this.getTotal(budget)));
      account.clearUnmet();
    });
    return { changes, balances };
  }

  /**
   * Reverts the changes of the budgets whose balances no record can hold. Their stored balances stand in, as claimed and
   * activated in full: claims may have been extended since. Without one nothing is claimed, and none is needed.
   */
  revertUnstorable(prepared: PreparedChanges): StorableChanges {
    const { ledger, vm } = this.options;
    const changes = new Map(prepared.changes);
    const balances = new Map(prepared.balances);
    const reverted = [...balances.keys()].filter(
      (budget) => !isStorableBalance(budget, balances.get(budget)!),
    );
    reverted.forEach((budget) => {
      this.getAccount(budget).revert();
      changes.delete(budget);
      balances.delete(budget);
      const stored = ledger.holders.get(vm)?.balances.get(budget);
      if (stored) {
        balances.set(budget, { ...stored, activated: stored.claimed });
      }
    });
    return { changes, balances, reverted };
  }

  /** Applies the changes of a stored record. */
  confirm(changes: ReadonlyMap<BudgetId, AccountChange>): void {
    changes.forEach((change, budget) => this.getAccount(budget).confirm(change));
  }

  /** Reverts the preparation of a record that was never stored. */
  revert(changes: ReadonlyMap<BudgetId, AccountChange>): void {
    changes.forEach((_, budget) => this.getAccount(budget).revert());
  }

  /** Applies what is certain of changes whose record may be stored or not. */
  confirmReturns(changes: ReadonlyMap<BudgetId, AccountChange>): void {
    changes.forEach((change, budget) => this.getAccount(budget).confirmReturn(change));
  }

  /** Activates all claims that are valid whether or not the pending changes are stored; returns the tokens activated. */
  extend(pendingChanges: ReadonlyMap<BudgetId, AccountChange> | undefined): number {
    let tokens = 0;
    this.accounts.forEach((account, budget) => {
      tokens += account.extend(pendingChanges?.get(budget));
    });
    return tokens;
  }

  /** Takes over the balances in a predecessor's last record. */
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
    const change = inputs ? planAllotment(inputs) : { claimed: 0, activated: 0, shortfall: 0 };
    const { mayClaim = () => true } = this.options;
    return mayClaim() ? change : this.getAccount(budget).limitToClaim(change);
  }

  private getAllotmentInputs(budget: BudgetId): AllotmentInputs | undefined {
    const { timers, horizonMs, ledger, homes, vm } = this.options;
    const total = this.getTotal(budget);
    if (!total) {
      return undefined;
    }
    const account = this.getAccount(budget);
    const { allotment } = account;
    const now = timers.now();
    const coverage = this.getCoverage();
    const waitingDemand = allotment.waiters.reduce((sum, { need }) => sum + need, 0);
    return {
      total: total.tokens,
      claimed: ledger.getClaimed(budget),
      remaining: total.tokens - ledger.getSettled(budget) - ledger.getLost(budget),
      free: account.getTotalFree(),
      freeActivated: allotment.free,
      advanced: account.advanced,
      advanceNeed: account.advanceNeed,
      isHome: homes.isHomeOf(budget),
      hasWitnesses: ledger.holders.size > 1,
      expectedSpending: account.getExpectedSpending(horizonMs * coverage, now),
      coverage,
      imminentSpending: account.getExpectedSpending(ACTIVATION_WINDOW_MS, now),
      meanHold: allotment.meanHold,
      spendingShare: ledger.getSpendingShare(budget, vm, total.tokens, homes.getClaimantCount()),
      needed: Math.max(waitingDemand, account.getUnmet(now)),
      othersShortfall: ledger.getOthersShortfall(budget, vm),
    };
  }

  /**
   * Returns the share of the horizon that claims cover now. Claims start small after the store recovers: fleets are
   * often restarted after an outage, and the claims of processes that die together are lost.
   */
  private getCoverage(): number {
    return Math.min(1, COVERAGE_MIN + this.options.getRecoveryAgeMs() / COVERAGE_GROWTH_MS);
  }
}
