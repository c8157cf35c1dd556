/**
 * The home's side of advances: tokens that other vms hold ahead of their calls, so that a vm which can reach neither the
 * store nor a home still serves. An advance is covered by this process's activated claim until the vm reports it as used
 * or returned.
 */
import type { TimerService } from '../core/timers.js';
import type { BudgetId, Incarnation, VmId } from '../types/ids.js';
import type {
  AdvanceEntry,
  AdvanceReport,
  AdvanceResponse,
  AdvanceState,
  PeerClient,
} from '../types/peers.js';
import { getAdvanceLimits } from './advancePlan.js';
import type { Account } from './account.js';
import type { AccountShard } from './accountShard.js';

/** Options of the accounts. */
export interface AdvanceAccountsOptions {
  readonly client: PeerClient;
  readonly timers: TimerService;
  /** The incarnation of this process, which does not know the advances of earlier ones. */
  readonly run: Incarnation;
  readonly getShard: (budget: BudgetId) => AccountShard;
}

/** One advance. Amounts are in tokens; those named as in a report are from the last one. */
interface Advance {
  readonly id: string;
  readonly vm: VmId;
  readonly budget: BudgetId;
  granted: number;
  sequence: number;
  used: number;
  returned: number;
  demand: number;
  /** The tokens that the vm has neither used nor given to a call. */
  idle: number;
  limit: number;
  ratePerSecond: number;
  vmRatePerSecond: number;
  reportedAt: number;
}

/** A vm that has not reported for this long gets no share: it is down, or can't be reached. */
const REPORT_AGE_MAX_MS = 3_500;
/** Grants are made when an advance is below this share of its limit, so that small changes cost nothing. */
const GRANT_THRESHOLD_SHARE = 0.9;
const RECALL_TIMEOUT_MS = 150; // calls wait 180 ms at a home
/** The duration of the demand of calls without an advance that stays activated here. */
const RESERVE_MS = 300;

/** The advances that one process has granted. */
export class AdvanceAccounts {
  private readonly advances = new Map<string, Advance>();

  private isDraining = false;

  constructor(private readonly options: AdvanceAccountsOptions) {}

  /** Lends nothing further; vms return their idle tokens with the next report. */
  startDraining(): void {
    this.isDraining = true;
  }

  /** Applies a vm's report and grants what it lacks. A report that repeats or precedes an applied one has no effect. */
  report({ entries }: AdvanceReport): AdvanceResponse {
    const { run } = this.options;
    const accepted = entries.map((entry) => ({ entry, advance: this.accept(entry) }));
    new Set(entries.map(({ budget }) => budget)).forEach((budget) => this.plan(budget));
    return {
      run,
      states: accepted.map(({ entry, advance }): AdvanceState => {
        if (!advance) {
          return { advance: entry.advance, isKnown: false, granted: 0, limit: 0 };
        }
        if (entry.homeRun === run && entry.sequence === advance.sequence) {
          this.grant(advance);
        }
        const { granted, limit } = advance;
        this.removeIfClosed(entry, advance);
        return { advance: entry.advance, isKnown: true, granted, limit };
      }),
    };
  }

  /**
   * Calls idle tokens back for calls that wait here, from the vms that have most of them. The response to a report that
   * arrives meanwhile may set a higher limit again.
   */
  recall(budget: BudgetId, tokens: number): void {
    const now = this.options.timers.now();
    let missing = tokens;
    [...this.advances.values()]
      .filter((advance) => advance.budget === budget && advance.idle > 0)
      .filter(({ reportedAt }) => now - reportedAt <= REPORT_AGE_MAX_MS)
      .sort((a, b) => b.idle - a.idle)
      .forEach((advance) => {
        const taken = Math.min(advance.idle, missing);
        missing -= taken;
        if (taken > 0) {
          this.callBack(advance, advance.idle - taken);
        }
      });
  }

  private callBack(advance: Advance, limit: number): void {
    const { id, vm } = advance;
    Object.assign(advance, { limit });
    this.options.client
      .call(vm, 'budget.recall', { advance: id, limit }, RECALL_TIMEOUT_MS)
      .catch(() => {
        // The vm returns the tokens after its next report, or can't be reached.
      });
  }

  /** Returns the advance of an entry with the report applied, or `undefined` if another process granted it. */
  private accept(entry: AdvanceEntry): Advance | undefined {
    const known = this.advances.get(entry.advance);
    if (entry.homeRun !== undefined && (entry.homeRun !== this.options.run || !known)) {
      return undefined;
    }
    const advance = known ?? createAdvance(entry);
    this.advances.set(entry.advance, advance);
    // A report without the incarnation of this process can only open an advance: it may be late.
    if (entry.sequence > advance.sequence) {
      this.apply(entry, advance);
    }
    return advance;
  }

  private apply(entry: AdvanceEntry, advance: Advance): void {
    const account = this.getAccount(advance.budget);
    const now = this.options.timers.now();
    const outstanding = advance.granted - advance.used - advance.returned;
    const used = Math.min(outstanding, Math.max(0, entry.used - advance.used));
    const returned = Math.min(outstanding - used, Math.max(0, entry.returned - advance.returned));
    account.allotment.spent += used;
    account.recordDemand(entry.demand - advance.demand, now);
    // The vm does not know of grants whose response was lost: they are idle.
    const idle = entry.free + (advance.granted - entry.granted);
    account.advanced += idle - advance.idle;
    Object.assign(advance, {
      sequence: entry.sequence,
      used: advance.used + used,
      returned: advance.returned + returned,
      demand: entry.demand,
      idle,
      ratePerSecond: Math.max(0, entry.ratePerSecond),
      vmRatePerSecond: Math.max(0, entry.vmRatePerSecond),
      reportedAt: now,
    });
    if (returned > 0) {
      account.allotment.clearExhausted();
    }
    account.allotment.credit(returned);
  }

  /** Sets the limits of a budget's advances and what to activate for them. */
  private plan(budget: BudgetId): void {
    const account = this.getAccount(budget);
    const { homes, isReady } = this.getState(budget);
    const now = this.options.timers.now();
    const advances = [...this.advances.values()].filter((advance) => advance.budget === budget);
    const demands = advances.map(({ reportedAt, ratePerSecond, vmRatePerSecond }) =>
      now - reportedAt > REPORT_AGE_MAX_MS
        ? { ratePerSecond: 0, vmRatePerSecond: 0 }
        : { ratePerSecond, vmRatePerSecond },
    );
    const rateSum = demands.reduce((sum, { ratePerSecond }) => sum + ratePerSecond, 0);
    const limits = getAdvanceLimits({
      totalFree: account.getTotalFree(),
      advanced: account.advanced,
      ownRatePerSecond: account.getExpectedSpending(1_000, now) - rateSum,
      demands,
    });
    const canLend = isReady && !this.isDraining && homes.isHomeOf(budget);
    let need = 0;
    advances.forEach((advance, index) => {
      Object.assign(advance, { limit: canLend ? limits[index]! : 0 });
      need += Math.max(0, advance.limit - advance.idle);
    });
    account.advanceNeed = need;
  }

  private grant(advance: Advance): void {
    const account = this.getAccount(advance.budget);
    const { allotment } = account;
    if (advance.idle >= advance.limit * GRANT_THRESHOLD_SHARE || allotment.waiters.length > 0) {
      return;
    }
    const reserve = account.getExpectedSpending(RESERVE_MS, this.options.timers.now());
    const tokens = allotment.withdraw(
      Math.min(advance.limit - advance.idle, allotment.free - reserve),
    );
    Object.assign(advance, { granted: advance.granted + tokens, idle: advance.idle + tokens });
    account.advanced += tokens;
    account.advanceNeed = Math.max(0, account.advanceNeed - tokens);
    if (account.advanceNeed > allotment.free) {
      this.options.getShard(advance.budget).requestSync();
    }
  }

  private removeIfClosed({ advance: id, isClosed }: AdvanceEntry, advance: Advance): void {
    if (isClosed && advance.granted === advance.used + advance.returned) {
      this.getAccount(advance.budget).advanced -= advance.idle;
      this.advances.delete(id);
    }
  }

  private getAccount(budget: BudgetId): Account {
    return this.options.getShard(budget).accounts.getAccount(budget);
  }

  private getState(budget: BudgetId): { homes: AccountShard['homes']; isReady: boolean } {
    const shard = this.options.getShard(budget);
    return { homes: shard.homes, isReady: shard.isReady() };
  }
}

function createAdvance({ advance: id, vm, budget }: AdvanceEntry): Advance {
  return {
    id,
    vm,
    budget,
    granted: 0,
    sequence: 0,
    used: 0,
    returned: 0,
    demand: 0,
    idle: 0,
    limit: 0,
    ratePerSecond: 0,
    vmRatePerSecond: 0,
    reportedAt: 0,
  };
}
