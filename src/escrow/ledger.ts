/** The stored records of all holders, and the sums over them that claims depend on. */
import { getOrCreate } from '../core/utilities.js';
import type { BudgetId, VmId } from '../types/ids.js';
import type { HolderBalance, HolderRecord } from './holderRecord.js';

/** A prepaid total with the configuration version that it comes from. */
export interface VersionedTotal {
  readonly tokens: number;
  readonly version: number;
}

/** The sums of all holders' balances of one budget, in tokens. */
interface LedgerSums {
  claimed: number;
  settled: number;
  lost: number;
  shortfall: number;
}

/** The share of a total that must be spent before actual shares of spending weigh as much as equal shares. */
const PRIOR_SHARE = 0.1;

/** The newest record of each holder, as of an offset of the topic. */
export class Ledger {
  readonly holders = new Map<VmId, HolderRecord>();

  /** Incremented when the set of holders changes. */
  generation = 0;

  /** The newest total of each budget in any holder's record. */
  private readonly totals = new Map<BudgetId, VersionedTotal>();

  /** Kept up to date per record, because every plan needs the sums and there are many holders. */
  private readonly sums = new Map<BudgetId, LedgerSums>();

  /** Replaces a holder's record by its newest one. */
  apply(holder: VmId, record: HolderRecord): void {
    this.add(this.holders.get(holder), -1);
    this.add(record, 1);
    this.generation += this.holders.has(holder) ? 0 : 1;
    this.holders.set(holder, record);
    record.balances.forEach((balance, budget) => this.applyTotal(budget, balance));
  }

  /** Removes all records before they are read anew. */
  clear(): void {
    this.generation += 1;
    this.holders.clear();
    this.totals.clear();
    this.sums.clear();
  }

  /** Returns what all holders together have spent or may still spend. */
  getClaimed(budget: BudgetId): number {
    return this.getSums(budget).claimed;
  }

  /** Returns what all holders together are known to have spent. */
  getSettled(budget: BudgetId): number {
    return this.getSums(budget).settled;
  }

  /** Returns what ended processes may have spent beyond the settled tokens. */
  getLost(budget: BudgetId): number {
    return this.getSums(budget).lost;
  }

  /** Returns the part of a holder's claim that is not settled. */
  getUnspentClaim(budget: BudgetId, holder: VmId): number {
    const balance = this.holders.get(holder)?.balances.get(budget);
    return balance ? balance.claimed - balance.settled : 0;
  }

  /** Returns the sum of the shortfalls of all holders but one. */
  getOthersShortfall(budget: BudgetId, holder: VmId): number {
    const own = this.holders.get(holder)?.balances.get(budget)?.shortfall ?? 0;
    return this.getSums(budget).shortfall - own;
  }

  /** Returns a holder's share of all spending; near `1 / claimantCount` while little of the total is spent. */
  getSpendingShare(budget: BudgetId, holder: VmId, total: number, claimantCount: number): number {
    const prior = (total * PRIOR_SHARE) / claimantCount;
    const own = this.holders.get(holder)?.balances.get(budget)?.settled ?? 0;
    return (own + prior) / (this.getSettled(budget) + prior * claimantCount);
  }

  /** Returns the newer of `configured` and the newest total in any holder's record. */
  getTotal(budget: BudgetId, configured: VersionedTotal | undefined): VersionedTotal | undefined {
    const recorded = this.totals.get(budget);
    return recorded && recorded.version > (configured?.version ?? -1) ? recorded : configured;
  }

  private applyTotal(budget: BudgetId, { total, totalVersion }: HolderBalance): void {
    if (totalVersion > (this.totals.get(budget)?.version ?? -1)) {
      this.totals.set(budget, { tokens: total, version: totalVersion });
    }
  }

  private getSums(budget: BudgetId): LedgerSums {
    return getOrCreate(this.sums, budget, () => ({
      claimed: 0,
      settled: 0,
      lost: 0,
      shortfall: 0,
    }));
  }

  private add(record: HolderRecord | undefined, sign: 1 | -1): void {
    record?.balances.forEach(({ claimed, settled, lost, shortfall }, budget) => {
      const sums = this.getSums(budget);
      sums.claimed += sign * claimed;
      sums.settled += sign * settled;
      sums.lost += sign * lost;
      sums.shortfall += sign * shortfall;
    });
  }
}
