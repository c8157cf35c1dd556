/** One advance at the vm that holds it: tokens of a home's claim that this vm spends without asking. */
import type { BudgetId, Incarnation, VmId } from '../types/ids.js';
import type { AdvanceEntry, AdvanceState } from '../types/peers.js';

/** Options of an advance. */
export interface HeldAdvanceOptions {
  /** Unique among all processes. */
  readonly id: string;
  readonly budget: BudgetId;
  readonly home: VmId;
  /** This vm. */
  readonly vm: VmId;
}

/** Tokens go back when there are more than this multiple of the limit. */
const EXCESS_FACTOR = 1.25;

/** `granted` is the sum of `used`, `returned`, the tokens of open calls and the free ones. Amounts are in tokens. */
export class HeldAdvance {
  /** Reports without a response in a row. */
  private failures = 0;

  /** Whether this vm takes no further tokens from it. */
  isClosed = false;

  /** Whether nothing is reported any more. The home counts what is never reported as spent. */
  isAbandoned = false;

  private granted = 0;

  private used = 0;

  private returned = 0;

  private held = 0;

  private demand = 0;

  private limit = 0;

  /** Whether the home called tokens back since its last response. */
  private isRecalled = false;

  private sequence = 0;

  private homeRun: Incarnation | undefined;

  private reportedKey = '';

  constructor(readonly options: HeldAdvanceOptions) {}

  /** Returns the tokens that a call can take. */
  getFree(): number {
    return this.granted - this.used - this.returned - this.held;
  }

  /** Returns whether nothing is left to spend, to return or to report. */
  isEnded(): boolean {
    const isSpent = this.granted === this.used + this.returned;
    return this.isClosed && isSpent && (this.isAbandoned || !this.isReportDue());
  }

  /** Returns whether the home does not know the newest state. */
  isReportDue(): boolean {
    return !this.isAbandoned && this.reportedKey !== this.getKey();
  }

  /** Takes tokens for a call; returns whether there are enough. */
  tryHold(tokens: number): boolean {
    if (this.getFree() < tokens) {
      return false;
    }
    this.held += tokens;
    this.demand += tokens;
    return true;
  }

  /** Ends a call's hold. Never counts more than the hold as used. */
  settle(tokens: number, used: number): void {
    const charged = Math.min(Math.max(0, used), tokens);
    this.held -= tokens;
    this.used += charged;
    this.demand += charged - tokens;
  }

  /** Returns the next report, for which the tokens above the limit stop being free. */
  createEntry(ratePerSecond: number, vmRatePerSecond: number): AdvanceEntry {
    const { id, budget, vm } = this.options;
    this.returned += this.getSurplus();
    this.sequence += 1;
    const { homeRun, sequence, granted, used, returned, demand, isClosed } = this;
    return {
      advance: id,
      vm,
      budget,
      homeRun,
      sequence,
      granted,
      used,
      returned,
      demand,
      free: this.getFree(),
      ratePerSecond,
      vmRatePerSecond,
      isClosed,
    };
  }

  /** Applies the home's response to a report; returns whether another report would get tokens or return some. */
  applyState(entry: AdvanceEntry, state: AdvanceState, run: Incarnation): boolean {
    this.failures = 0;
    if (!state.isKnown) {
      // The home has restarted. Its predecessor's claim covers what is left here.
      this.isClosed = true;
      this.isAbandoned = true;
      return false;
    }
    const isOpened = this.homeRun === undefined;
    this.homeRun ??= run;
    if (this.homeRun !== run) {
      return false;
    }
    this.granted = Math.max(this.granted, state.granted);
    if (entry.sequence === this.sequence) {
      this.limit = state.limit;
      this.isRecalled = false;
      this.reportedKey = getKey(entry);
    }
    return isOpened || this.getSurplus() > 0;
  }

  /**
   * Returns the free tokens to return: none while the limit varies by a little, and none while the home does not respond,
   * because they would serve no call on their way.
   */
  private getSurplus(): number {
    const free = this.getFree();
    if (this.homeRun === undefined || this.failures > 0) {
      return 0;
    }
    if (this.isClosed) {
      return free;
    }
    const threshold = this.isRecalled ? this.limit : this.limit * EXCESS_FACTOR;
    return free > threshold ? free - this.limit : 0;
  }

  /** Lowers the limit: the next report returns all free tokens above it. */
  recall(limit: number): void {
    this.limit = Math.min(this.limit, limit);
    this.isRecalled = true;
  }

  /** Records a report without a response; the advance is abandoned after `failuresMax` of them if it is closed. */
  recordFailure(failuresMax: number): void {
    this.failures += 1;
    this.isAbandoned ||= this.isClosed && this.failures >= failuresMax;
  }

  private getKey(): string {
    const { used, returned, demand, isClosed } = this;
    return getKey({ used, returned, demand, isClosed });
  }
}

interface AdvanceSums {
  readonly used: number;
  readonly returned: number;
  readonly demand: number;
  readonly isClosed: boolean;
}

function getKey({ used, returned, demand, isClosed }: AdvanceSums): string {
  return [used, returned, demand, isClosed].join();
}
