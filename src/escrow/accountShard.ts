/**
 * The part of one process in the accounts of one topic. A claim takes effect only if the topic still ends
 * where the claimant had read to, so it is judged against every other claim; the sum of claims never passes the
 * prepaid total whoever is alive or reachable. Tokens are spent only after the claim is known to be stored.
 */
import type { Logger } from '../core/logging.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { getErrorMessage, getOrCreate } from '../core/utilities.js';
import { BudgetAllotment } from '../controllers/budgetAllotment.js';
import type { BudgetId, Incarnation, Offset, VmId } from '../types/ids.js';
import type { KeyedRecord, KeyedStore, Topic } from '../types/store.js';
import { planAllotment, type AllotmentSituation } from './allotmentPlan.js';
import {
  decodeHolderRecord,
  encodeHolderRecord,
  type HolderBalance,
  type HolderRecord,
} from './holderRecord.js';
import { Ledger, type VersionedTotal } from './ledger.js';

/** Options of a shard. */
export interface AccountShardOptions {
  readonly store: KeyedStore;
  readonly topic: Topic;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly vm: VmId;
  readonly run: Incarnation;
  /** Where peers reach this process, as HOST:PORT. */
  readonly address: string;
  /** How much spending an allotment covers, in milliseconds. */
  readonly horizonMs: number;
  /** Returns the prepaid totals that this process knows. */
  readonly getTotals: () => ReadonlyMap<BudgetId, VersionedTotal>;
  /** In [0, 1). Default `Math.random`. */
  readonly random?: () => number;
}

/** One budget in this process. */
export interface Account {
  readonly allotment: BudgetAllotment;
  /** What earlier processes of this vm may have spent. */
  inherited: number;
  /** What earlier processes of this vm have certainly spent. */
  inheritedSettled: number;
  /** What was taken in by stored claims of this process, less what it gave back. */
  claimed: number;
  /** What a request lacked when it was last refused. */
  lacking: number;
  /** What is lacking, as last stored. */
  wanted: number;
}

/** A record whose append has no known outcome. */
interface PendingRecord {
  readonly at: Offset;
  readonly record: HolderRecord;
  readonly bytes: Uint8Array;
  /** Tokens claimed by the record, or given back where negative, by budget. */
  readonly changes: ReadonlyMap<BudgetId, number>;
}

const RECENT_SPENDING_MS = 4_000; // a surge of one workspace lasts seconds
const CHECK_INTERVAL_MS = 400;
const REPORT_INTERVAL_MS = 2_500; // what is settled proves exhaustion to others; each report is a priced call
const RETRY_MIN_MS = 150;
const RETRY_MAX_MS = 700;
const CONFLICTS_MAX = 12;
const CONFLICT_BACKOFF_MS = 6; // about one append of another holder

/** The accounts of one topic. */
export class AccountShard {
  readonly ledger = new Ledger();

  readonly accounts = new Map<BudgetId, Account>();

  /** The offset that the ledger is current to, `undefined` before the first read. */
  private offset: Offset | undefined;

  private pending: PendingRecord | undefined;

  private sequence = 0;

  private isSyncing = false;

  private isWanted = false;

  private failures = 0;

  private retryAt = 0;

  private reportedAt = 0;

  private reported = '';

  private unsubscribe: Unsubscribe = () => {};

  constructor(private readonly options: AccountShardOptions) {}

  /** Starts reading and claiming. */
  start(): void {
    const { timers, random = Math.random } = this.options;
    this.unsubscribe = timers.subscribeEvery(CHECK_INTERVAL_MS * (0.9 + 0.2 * random()), () =>
      this.check(),
    );
    this.requestSync();
  }

  /** Gives back what is free, once; resolves whether or not the store took it. */
  async stop(): Promise<void> {
    this.unsubscribe();
    this.unsubscribe = () => {};
    if (this.isProven() && !this.isSyncing) {
      await this.sync(true);
    }
  }

  /** Returns whether all accounts were read and this process's own record is stored. */
  isProven(): boolean {
    return this.offset !== undefined && this.sequence > 0;
  }

  /** Returns whether the last call to the store failed. */
  isStoreAway(): boolean {
    return this.failures > 0;
  }

  /** Returns the account of a budget. */
  getAccount(budget: BudgetId): Account {
    return getOrCreate(this.accounts, budget, () => this.createAccount(budget));
  }

  /** Returns what the log proves to be spent, with what this process has spent since. */
  getCertainlySpent(budget: BudgetId): number {
    const account = this.getAccount(budget);
    const own = this.ledger.holders.get(this.options.vm)?.balances.get(budget)?.settled ?? 0;
    const local = account.inheritedSettled + account.allotment.spent;
    return this.ledger.getSettled(budget) - own + Math.max(own, local);
  }

  /** Returns the total of a budget as known here or to any holder. */
  getTotal(budget: BudgetId): VersionedTotal | undefined {
    return this.ledger.getTotal(budget, this.options.getTotals().get(budget));
  }

  /** Reads and claims as soon as possible. */
  requestSync(): void {
    const { timers, logger } = this.options;
    if (this.isSyncing) {
      this.isWanted = true;
      return;
    }
    if (timers.now() < this.retryAt) {
      return;
    }
    this.sync(false).catch((error: unknown) => {
      logger.error('account sync failed', { error: getErrorMessage(error) });
    });
  }

  private createAccount(budget: BudgetId): Account {
    const { horizonMs, vm, run } = this.options;
    const own = this.ledger.holders.get(vm);
    const before = own && own.run !== run ? own.balances.get(budget) : undefined;
    return {
      allotment: new BudgetAllotment(budget, horizonMs, RECENT_SPENDING_MS),
      inherited: before?.claimed ?? 0,
      inheritedSettled: before?.settled ?? 0,
      claimed: 0,
      lacking: 0,
      wanted: 0,
    };
  }

  private check(): void {
    const { timers } = this.options;
    const now = timers.now();
    if (now < this.retryAt || this.isSyncing) {
      return;
    }
    if (!this.isProven() || this.pending || this.hasChanges() || this.isReportDue(now)) {
      this.requestSync();
    }
  }

  /** Returns whether any allotment is to be changed, by what was last read. */
  private hasChanges(): boolean {
    return [...this.getBudgets()].some((budget) => {
      const situation = this.getSituation(budget);
      const account = this.getAccount(budget);
      const plan = situation && planAllotment(situation);
      return plan !== undefined && (plan.change !== 0 || plan.wanted !== account.wanted);
    });
  }

  private isReportDue(nowMs: number): boolean {
    return (
      nowMs - this.reportedAt >= REPORT_INTERVAL_MS && this.describeSpending() !== this.reported
    );
  }

  private describeSpending(): string {
    return [...this.accounts.values()].map(({ allotment }) => allotment.spent).join(',');
  }

  private getBudgets(): Set<BudgetId> {
    return new Set([...this.options.getTotals().keys(), ...this.accounts.keys()]);
  }

  private getSituation(budget: BudgetId): AllotmentSituation | undefined {
    const { timers } = this.options;
    const total = this.getTotal(budget);
    if (!total) {
      return undefined;
    }
    const { allotment, lacking } = this.getAccount(budget);
    const waiting = allotment.waiters.reduce((sum, { need }) => sum + need, 0);
    return {
      total: total.tokens,
      claimed: this.ledger.getClaimed(budget),
      free: allotment.free,
      target: allotment.getTarget(timers.now()),
      needed: Math.max(waiting, lacking),
      wantedByOthers: this.ledger.getWantedByOthers(budget, this.options.vm),
      holders: Math.max(1, this.ledger.holders.size),
      largestHold: allotment.largestHold,
    };
  }

  /** Reads to the end and appends this process's record, until one append is judged. */
  private async sync(isFinal: boolean): Promise<void> {
    this.isSyncing = true;
    try {
      let isDone = false;
      for (let conflicts = 0; !isDone && conflicts < CONFLICTS_MAX; conflicts += 1) {
        // Each round reads what the one before collided with.
        isDone = !(await this.readToEnd()) || (await this.appendIfNeeded(isFinal)) !== 'conflict';
        if (!isDone) {
          await this.backOff(conflicts);
        }
      }
    } finally {
      this.isSyncing = false;
    }
    if (this.isWanted) {
      this.isWanted = false;
      this.requestSync();
    }
  }

  private backOff(conflicts: number): Promise<void> {
    const { timers, random = Math.random } = this.options;
    return timers.sleep(CONFLICT_BACKOFF_MS * random() * (1 + conflicts));
  }

  /** Returns whether the ledger is current. */
  private async readToEnd(): Promise<boolean> {
    const { store, topic } = this.options;
    if (this.offset === undefined) {
      return this.startOver();
    }
    for (;;) {
      const page = await store.read({ topic, from: this.offset, waitMs: 0 });
      if (page.err && page.val.kind === 'trimmed') {
        this.offset = undefined;
        return this.startOver();
      }
      if (page.err) {
        this.recordFailure(JSON.stringify(page.val));
        return false;
      }
      page.val.records.forEach((record) => this.applyRecord(record));
      this.offset = page.val.next;
      if (this.offset >= page.val.end) {
        this.resolvePending(this.offset);
        this.recordSuccess();
        return true;
      }
    }
  }

  private async startOver(): Promise<boolean> {
    const { store, topic } = this.options;
    const newest = await store.readNewest(topic);
    if (newest.err) {
      this.recordFailure(JSON.stringify(newest.val));
      return false;
    }
    this.ledger.clear();
    newest.val.records.forEach((record) => this.applyRecord(record));
    this.offset = newest.val.end;
    return this.readToEnd();
  }

  private applyRecord({ key, value, offset }: KeyedRecord): void {
    const { logger, vm, run } = this.options;
    if (value === undefined) {
      return;
    }
    const decoded = decodeHolderRecord(value);
    if (decoded.err) {
      logger.warn('malformed account', { key, offset, detail: decoded.val });
      return;
    }
    const record = decoded.val;
    this.ledger.apply(key as VmId, record);
    if (key !== vm) {
      return;
    }
    if (record.run !== run) {
      this.inherit(record);
    } else if (record.sequence === this.pending?.record.sequence) {
      this.confirmPending();
    }
  }

  /** Takes over what earlier processes of this vm left: all that they claimed counts as spent. */
  private inherit(record: HolderRecord): void {
    record.balances.forEach(({ claimed, settled }, budget) => {
      const account = this.getAccount(budget);
      account.inherited = claimed;
      account.inheritedSettled = settled;
    });
    this.options.logger.info('account inherited', { run: record.run, sequence: record.sequence });
  }

  /** A record whose condition can no longer hold never was stored and never will be. */
  private resolvePending(end: Offset): void {
    if (this.pending && end > this.pending.at) {
      this.revertPending('another record stands in its place');
    }
  }

  private confirmPending(): void {
    const { pending } = this;
    if (!pending) {
      return;
    }
    this.pending = undefined;
    this.sequence = pending.record.sequence;
    this.reportedAt = this.options.timers.now();
    pending.changes.forEach((change, budget) => {
      const account = this.getAccount(budget);
      account.claimed += change;
      account.wanted = pending.record.balances.get(budget)?.wanted ?? 0;
      if (change > 0) {
        account.allotment.clearStarved();
        account.allotment.credit(change);
      }
    });
  }

  private revertPending(reason: string): void {
    const { pending } = this;
    if (!pending) {
      return;
    }
    this.pending = undefined;
    pending.changes.forEach((change, budget) => {
      if (change < 0) {
        this.getAccount(budget).allotment.credit(-change);
      }
    });
    this.options.logger.debug('account record dropped', { at: pending.at, reason });
  }

  private appendIfNeeded(isFinal: boolean): Promise<'done' | 'conflict'> {
    const isNeeded =
      isFinal ||
      this.pending !== undefined ||
      !this.isProven() ||
      this.hasChanges() ||
      this.isReportDue(this.options.timers.now());
    return isNeeded ? this.appendRecord(isFinal) : Promise.resolve('done');
  }

  private async appendRecord(isFinal: boolean): Promise<'done' | 'conflict'> {
    const { store, topic, vm } = this.options;
    const spending = this.describeSpending();
    // A record in doubt is sent again as it was: whichever append comes first, only one can be stored.
    this.pending ??= this.createPending(isFinal);
    const { pending } = this;
    const appended = await store.append({
      topic,
      key: vm,
      value: pending.bytes,
      at: pending.at,
    });
    if (appended.ok) {
      this.ledger.apply(vm, pending.record);
      this.offset = appended.val;
      this.reported = spending;
      this.confirmPending();
      this.recordSuccess();
      return 'done';
    }
    if (appended.val.kind === 'conflict') {
      // The record may itself stand at the end that the store reports; reading on tells.
      return 'conflict';
    }
    if (appended.val.kind === 'refused') {
      this.revertPending('refused');
    }
    this.recordFailure(JSON.stringify(appended.val));
    return 'done';
  }

  private createPending(isFinal: boolean): PendingRecord {
    const { run, address } = this.options;
    const changes = new Map<BudgetId, number>();
    const balances = new Map<BudgetId, HolderBalance>();
    this.getBudgets().forEach((budget) => {
      const { change, wanted } = this.planBudget(budget, isFinal);
      const account = this.getAccount(budget);
      const total = this.getTotal(budget);
      const withheld = change < 0 ? account.allotment.withdraw(-change) : 0;
      const effective = change < 0 ? -withheld : change;
      changes.set(budget, effective);
      balances.set(budget, {
        claimed: account.inherited + account.claimed + effective,
        settled: account.inheritedSettled + account.allotment.spent,
        wanted,
        total: total?.tokens ?? 0,
        totalVersion: total?.version ?? 0,
      });
      account.lacking = 0;
    });
    const record = { run, sequence: this.sequence + 1, address, balances };
    return { at: this.offset!, record, bytes: encodeHolderRecord(record), changes };
  }

  private planBudget(budget: BudgetId, isFinal: boolean) {
    if (isFinal) {
      return { change: -this.getAccount(budget).allotment.free, wanted: 0 };
    }
    const situation = this.getSituation(budget);
    return situation ? planAllotment(situation) : { change: 0, wanted: 0 };
  }

  private recordSuccess(): void {
    if (this.failures > 0) {
      this.options.logger.info('accounts in reach', {
        offset: this.offset,
        failures: this.failures,
      });
    }
    this.failures = 0;
    this.retryAt = 0;
  }

  private recordFailure(detail: string): void {
    const { logger, timers } = this.options;
    if (this.failures === 0) {
      logger.warn('accounts out of reach', { detail, offset: this.offset });
    }
    this.failures += 1;
    this.retryAt = timers.now() + Math.min(RETRY_MAX_MS, RETRY_MIN_MS * this.failures);
  }
}
