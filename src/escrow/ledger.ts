/** What the store shows of all holders: the sums that claims are judged by. */
import { getOrCreate } from '../core/utilities.js';
import type { BudgetId, VmId } from '../types/ids.js';
import type { HolderBalance, HolderRecord } from './holderRecord.js';

/** A prepaid total as of a version of the configuration. */
export interface VersionedTotal {
  readonly tokens: number;
  readonly version: number;
}

/** What all holders say of one budget together, in tokens. */
interface LedgerSums {
  claimed: number;
  settled: number;
  lost: number;
  shortfall: number;
}

/** The part of a total after whose spending the holders' own shares count as much as equal ones. */
const PRIOR_SHARE = 0.1;

/** The newest record of each holder, as of an offset of the topic. */
export class Ledger {
  readonly holders = new Map<VmId, HolderRecord>();

  /** Changes with the set of holders. */
  generation = 0;

  /** The newest total of each budget that any holder has stated. */
  private readonly totals = new Map<BudgetId, VersionedTotal>();

  /** The balances of all holders added up: each plan needs them, and holders are many. */
  private readonly sums = new Map<BudgetId, LedgerSums>();

  /** Takes a holder's newest record in. */
  apply(holder: VmId, record: HolderRecord): void {
    this.add(this.holders.get(holder), -1);
    this.add(record, 1);
    this.generation += this.holders.has(holder) ? 0 : 1;
    this.holders.set(holder, record);
    record.balances.forEach((balance, budget) => this.applyTotal(budget, balance));
  }

  /** Forgets everything, before the newest records are read again. */
  clear(): void {
    this.generation += 1;
    this.holders.clear();
    this.totals.clear();
    this.sums.clear();
  }

  /** Returns what all holders together have spent or may spend. */
  getClaimed(budget: BudgetId): number {
    return this.getSums(budget).claimed;
  }

  /** Returns what all holders have certainly spent. */
  getSettled(budget: BudgetId): number {
    return this.getSums(budget).settled;
  }

  /** Returns what ended processes may have spent beyond that. */
  getLost(budget: BudgetId): number {
    return this.getSums(budget).lost;
  }

  /** Returns what one holder may still spend of its claims. */
  getUnspentClaim(budget: BudgetId, holder: VmId): number {
    const balance = this.holders.get(holder)?.balances.get(budget);
    return balance ? balance.claimed - balance.settled : 0;
  }

  /** Returns what holders other than one lack. */
  getOthersShortfall(budget: BudgetId, holder: VmId): number {
    const own = this.holders.get(holder)?.balances.get(budget)?.shortfall ?? 0;
    return this.getSums(budget).shortfall - own;
  }

  /** Returns the part of all spending that is a holder's; equal parts of `count` holders while little was spent. */
  getSpendingShare(budget: BudgetId, holder: VmId, total: number, count: number): number {
    const prior = (total * PRIOR_SHARE) / count;
    const own = this.holders.get(holder)?.balances.get(budget)?.settled ?? 0;
    return (own + prior) / (this.getSettled(budget) + prior * count);
  }

  /** Returns the total by the newest configuration that any holder or the given one knows. */
  getTotal(budget: BudgetId, known: VersionedTotal | undefined): VersionedTotal | undefined {
    const stated = this.totals.get(budget);
    return stated && stated.version > (known?.version ?? -1) ? stated : known;
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
