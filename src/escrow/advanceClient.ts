/**
 * The advances of one vm: tokens that homes lend ahead of its calls, in proportion to them. A call takes them without a
 * message, also while the vm can reach neither the store nor a home.
 */
import type { Logger } from '../core/logging.js';
import type { Metrics } from '../core/metrics.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { createDeferred, getErrorMessage, getOrCreate } from '../core/utilities.js';
import type { BudgetId, Incarnation, VmId } from '../types/ids.js';
import type { AdvanceEntry, AdvanceRecall, PeerClient } from '../types/peers.js';
import { DemandRate } from './demandRate.js';
import type { TokenHold } from './escrowController.js';
import { HeldAdvance } from './heldAdvance.js';
import type { HomeList } from './homeList.js';

/** Options of the client. */
export interface AdvanceClientOptions {
  readonly client: PeerClient;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly vm: VmId;
  /** Makes the ids of advances unique among all processes. */
  readonly run: Incarnation;
  /** Returns the homes of each budget in use. */
  readonly getBudgets: () => ReadonlyMap<BudgetId, HomeList>;
  /** In [0, 1). Default `Math.random`. */
  readonly random?: () => number;
}

const REPORT_INTERVAL_MS = 1_000; // limits follow the calls within two of these; each report costs processor time at both vms
const PROMPT_REPORT_MS = 60; // a report that gets tokens or returns some does not wait for the interval
const REPORT_TIMEOUT_MS = 300;
const RATE_TIME_CONSTANT_MS = 5_000;
const VM_RATE_TIME_CONSTANT_MS = 8_000;
/** All advances are closed when the vm's calls need fewer tokens per second. */
const RATE_MIN = 1;
const FAILURES_MAX = 25; // longer than transient partitions between vms last

/** This process's advances, by budget. */
export class AdvanceClient {
  private readonly advances = new Map<BudgetId, HeldAdvance[]>();

  private readonly demands = new Map<BudgetId, DemandRate>();

  private readonly vmDemand = new DemandRate(VM_RATE_TIME_CONSTANT_MS);

  private readonly homesBeingCalled = new Set<VmId>();

  private count = 0;

  private isPromptReportScheduled = false;

  private isDraining = false;

  private readonly drained = createDeferred<void>();

  private unsubscribe: Unsubscribe = () => {};

  constructor(private readonly options: AdvanceClientOptions) {}

  /** Starts reporting. */
  start(): void {
    const { timers, random = Math.random } = this.options;
    this.unsubscribe = timers.subscribeEvery(REPORT_INTERVAL_MS * (0.9 + 0.2 * random()), () =>
      this.report(),
    );
  }

  /** Records tokens that a call needs, or that it did not use if negative, whether or not an advance covers it. */
  recordDemand(budget: BudgetId, tokens: number): void {
    const isNew = !this.demands.has(budget);
    const now = this.options.timers.now();
    const create = () => new DemandRate(RATE_TIME_CONSTANT_MS);
    getOrCreate(this.demands, budget, create).add(tokens, now);
    this.vmDemand.add(tokens, now);
    if (isNew) {
      this.scheduleReport();
    }
  }

  /** Takes a call's tokens from an advance; `undefined` if none has enough. */
  tryHold(budget: BudgetId, tokens: number): TokenHold | undefined {
    const advance = this.advances.get(budget)?.find((candidate) => candidate.tryHold(tokens));
    if (!advance) {
      return undefined;
    }
    let isOpen = true;
    const settle = (used: number) => {
      if (isOpen) {
        isOpen = false;
        advance.settle(tokens, used);
      }
    };
    return { budget, tokens, settle };
  }

  /** Returns tokens that the home calls back, at once if no report is in progress. */
  recall({ advance: id, limit }: AdvanceRecall): { isKnown: boolean } {
    const advances = [...this.advances.values()].flat();
    const advance = advances.find(({ options }) => options.id === id);
    advance?.recall(limit);
    if (advance && !this.homesBeingCalled.has(advance.options.home)) {
      this.startReportTo(advance.options.home, [advance]);
    } else if (advance) {
      this.scheduleReport();
    }
    return { isKnown: advance !== undefined };
  }

  /** Returns all free tokens; resolves once every call has ended and the homes know it, or do not respond. */
  async drain(): Promise<void> {
    this.isDraining = true;
    this.report();
    this.resolveIfEnded();
    await this.drained.promise;
    this.unsubscribe();
  }

  private report(): void {
    const now = this.options.timers.now();
    const isWanted = !this.isDraining && this.vmDemand.getTokensPerSecond(now) >= RATE_MIN;
    this.options.getBudgets().forEach((homes, budget) => {
      this.updateAdvances(budget, homes, isWanted);
    });
    const due = new Map<VmId, HeldAdvance[]>();
    this.advances.forEach((advances) => {
      advances
        .filter((advance) => !advance.isAbandoned)
        .forEach((advance) => getOrCreate(due, advance.options.home, () => []).push(advance));
    });
    due.forEach((advances, home) => {
      if (!this.homesBeingCalled.has(home)) {
        this.startReportTo(home, advances);
      }
    });
  }

  private startReportTo(home: VmId, advances: readonly HeldAdvance[]): void {
    this.reportTo(home, advances).catch((error: unknown) => {
      const detail = getErrorMessage(error);
      this.options.logger.error('unexpected error while reporting advances', { home, detail });
    });
  }

  /** Opens an advance at the budget's home, and closes those at other homes or without demand. */
  private updateAdvances(budget: BudgetId, homes: HomeList, isWanted: boolean): void {
    const { run, vm } = this.options;
    const advances = getOrCreate(this.advances, budget, () => []);
    const [home] = homes.isHomeOf(budget) ? [] : homes.getHomesToAsk(budget);
    advances.forEach((advance) => {
      advance.isClosed ||= !isWanted || (home !== undefined && advance.options.home !== home);
    });
    const open = advances.filter((advance) => !advance.isEnded());
    if (isWanted && home !== undefined && open.every(({ isClosed }) => isClosed)) {
      this.count += 1;
      open.push(new HeldAdvance({ id: `${run}-advance-${this.count}`, budget, home, vm }));
    }
    this.advances.set(budget, open);
  }

  private async reportTo(home: VmId, advances: readonly HeldAdvance[]): Promise<void> {
    const { client, timers, metrics } = this.options;
    const now = timers.now();
    const vmRate = Math.max(0, Math.round(this.vmDemand.getTokensPerSecond(now)));
    const entries = advances.map((advance): AdvanceEntry => {
      const rate = this.demands.get(advance.options.budget)?.getTokensPerSecond(now) ?? 0;
      return advance.isClosed
        ? advance.createEntry(0, 0)
        : advance.createEntry(Math.max(0, Math.round(rate)), vmRate);
    });
    this.homesBeingCalled.add(home);
    try {
      const response = await client.call(home, 'budget.advance', { entries }, REPORT_TIMEOUT_MS);
      metrics.advanceReports.inc({ result: 'answered' });
      const isMoreDue = advances.map((advance, index) =>
        advance.applyState(entries[index]!, response.states[index]!, response.run),
      );
      if (isMoreDue.includes(true)) {
        this.scheduleReport();
      }
    } catch {
      // The next report contains this one.
      metrics.advanceReports.inc({ result: 'silent' });
      advances.forEach((advance) => advance.recordFailure(FAILURES_MAX));
    } finally {
      this.homesBeingCalled.delete(home);
      this.resolveIfEnded();
    }
  }

  private scheduleReport(): void {
    if (!this.isPromptReportScheduled) {
      this.isPromptReportScheduled = true;
      this.options.timers.subscribe(PROMPT_REPORT_MS, () => {
        this.isPromptReportScheduled = false;
        this.report();
      });
    }
  }

  private resolveIfEnded(): void {
    const all = [...this.advances.values()].flat();
    if (this.isDraining && all.every((advance) => advance.isEnded() || advance.isAbandoned)) {
      this.drained.resolve();
    }
  }
}
