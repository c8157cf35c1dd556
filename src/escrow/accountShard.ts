/**
 * The part of one process in the accounts of one topic. A claim takes effect only if the topic still ends
 * where the claimant had read to, so it is judged against every other claim; the sum of claims never passes the
 * prepaid total whoever is alive or reachable. Tokens are spent only after the claim is known to be stored.
 */
import type { Logger } from '../core/logging.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { getErrorMessage, getOrCreate } from '../core/utilities.js';
import type { BudgetId, Incarnation, Offset, VmId } from '../types/ids.js';
import type { KeyedStore, Topic } from '../types/store.js';
import { Account, type AccountChange } from './account.js';
import { planAllotment, type AllotmentSituation } from './allotmentPlan.js';
import { encodeHolderRecord, type HolderBalance, type HolderRecord } from './holderRecord.js';
import { chooseWitnesses, type ExtensionClient } from './extensionClient.js';
import type { Ledger, VersionedTotal } from './ledger.js';
import { LedgerReader } from './ledgerReader.js';

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
  /** Asks the witnesses of this process's records. */
  readonly extensions: ExtensionClient;
  /** How much spending an allotment covers, in milliseconds. */
  readonly horizonMs: number;
  /** Returns the prepaid totals that this process knows. */
  readonly getTotals: () => ReadonlyMap<BudgetId, VersionedTotal>;
  /** In [0, 1). Default `Math.random`. */
  readonly random?: () => number;
}

/** A record whose append has no known outcome. */
interface PendingRecord {
  readonly at: Offset;
  readonly record: HolderRecord;
  readonly bytes: Uint8Array;
  readonly changes: ReadonlyMap<BudgetId, AccountChange>;
}

const CHECK_INTERVAL_MS = 300;
const REPORT_INTERVAL_MS = 1_000; // what was settled since counts as lost when the process dies; each report is a priced call
const SYNC_GAP_MS = 40; // calls to the store are priced; a request can wait so long
const RETRY_MIN_MS = 150;
const RETRY_MAX_MS = 700;
const READ_INTERVAL_MS = 1_500; // an idle holder must hear what others lack
const WINDOW_MS = 1_700; // spending until some records later
const COVERAGE_MIN = 0.2;
const COVERAGE_GROWTH_MS = 6_000; // shorter than the calm between two outages of the store in a row
const SCARCE_SHARE = 0.85;
const CONFLICTS_MAX = 12;
const CONFLICT_BACKOFF_MS = 6; // about one append of another holder

/** The accounts of one topic. */
export class AccountShard {
  readonly ledger: Ledger;

  private readonly accounts = new Map<BudgetId, Account>();

  private readonly reader: LedgerReader;

  private pending: PendingRecord | undefined;

  private sequence = 0;

  /** The last record whose claims are all opened. */
  private extendedSequence = 0;

  private isExtending = false;

  /** What an earlier process of this vm left, until it is settled how much of it was opened. */
  private forerunner: HolderRecord | undefined;

  private isSyncing = false;

  /** Ends with the sync in progress. */
  private syncing: Promise<void> = Promise.resolve();

  private isStopping = false;

  private isWanted = false;

  private isScheduled = false;

  private syncedAt = 0;

  private failures = 0;

  /** Since when the store has answered. */
  private reachedAt = 0;

  /** When the sync in progress began, or its last call was answered. */
  private calledAt = 0;

  private retryAt = 0;

  private reportedAt = 0;

  private reported = '';

  private unsubscribe: Unsubscribe = () => {};

  constructor(private readonly options: AccountShardOptions) {
    const { store, topic, logger } = options;
    this.reader = new LedgerReader({
      store,
      topic,
      logger,
      onRecord: (holder, record) => this.onRecord(holder, record),
    });
    this.ledger = this.reader.ledger;
  }

  /** Starts reading and claiming. */
  start(): void {
    const { timers, random = Math.random } = this.options;
    this.reachedAt = timers.now();
    this.unsubscribe = timers.subscribeEvery(CHECK_INTERVAL_MS * (0.9 + 0.2 * random()), () =>
      this.check(),
    );
    this.requestSync();
  }

  /** Gives back what is free, once; resolves whether or not the store took it. */
  async stop(): Promise<void> {
    this.unsubscribe();
    this.unsubscribe = () => {};
    this.isStopping = true;
    // Two syncs at a time would append over each other.
    await this.syncing;
    if (this.isProven()) {
      await this.sync(true);
    }
  }

  /** Returns whether all accounts were read and this process's own record is stored. */
  isProven(): boolean {
    return this.reader.getOffset() !== undefined && this.sequence > 0;
  }

  /** Returns whether the last call to the store failed. */
  isStoreAway(): boolean {
    return this.failures > 0;
  }

  /** Returns whether the store has not answered for so long. */
  isStoreLate(lateMs: number): boolean {
    const waitedMs = this.options.timers.now() - this.calledAt;
    return this.isStoreAway() || (this.isSyncing && waitedMs >= lateMs);
  }

  /** Returns what nobody has claimed, as last read. */
  getAvailable(budget: BudgetId): number {
    return (this.getTotal(budget)?.tokens ?? 0) - this.ledger.getClaimed(budget);
  }

  /** Returns the account of a budget. */
  getAccount(budget: BudgetId): Account {
    return getOrCreate(this.accounts, budget, () => new Account(budget, this.options.horizonMs));
  }

  /** Returns what the log proves to be spent, with what this process has spent since. */
  getCertainlySpent(budget: BudgetId): number {
    const account = this.getAccount(budget);
    const own = this.ledger.holders.get(this.options.vm)?.balances.get(budget)?.settled ?? 0;
    return this.ledger.getSettled(budget) - own + Math.max(own, account.getSettled());
  }

  /** Returns the total of a budget as known here or to any holder. */
  getTotal(budget: BudgetId): VersionedTotal | undefined {
    return this.ledger.getTotal(budget, this.options.getTotals().get(budget));
  }

  /** Reads and claims as soon as possible. */
  requestSync(): void {
    const { timers, logger } = this.options;
    if (this.isStopping) {
      return;
    }
    if (this.isSyncing) {
      this.isWanted = true;
      return;
    }
    const now = timers.now();
    if (now < this.retryAt) {
      return;
    }
    if (now < this.syncedAt + SYNC_GAP_MS) {
      this.scheduleSync(this.syncedAt + SYNC_GAP_MS - now);
      return;
    }
    this.syncing = this.sync(false).catch((error: unknown) => {
      logger.error('account sync failed', { error: getErrorMessage(error) });
    });
  }

  /**
   * Opens all claims while the store does not answer, with a majority of witnesses noting it; resolves with whether
   * there is more to spend now.
   */
  async extend(): Promise<boolean> {
    const { extensions, vm, run, logger } = this.options;
    const record = this.ledger.holders.get(vm);
    // A record in doubt may be stored yet, so the extension covers it too.
    const sequence = this.pending?.record.sequence ?? this.sequence;
    if (!record || record.run !== run || this.isExtending || this.extendedSequence >= sequence) {
      return false;
    }
    this.isExtending = true;
    const records = [record.witnesses, this.pending?.record.witnesses ?? record.witnesses];
    const isNoted = await extensions.extend(records, run, sequence);
    this.isExtending = false;
    const isCurrent = sequence === (this.pending?.record.sequence ?? this.sequence);
    if (!isNoted || !isCurrent) {
      logger.warn('claims not extended', { sequence, isNoted, witnesses: record.witnesses.length });
      return false;
    }
    this.extendedSequence = sequence;
    let tokens = 0;
    this.accounts.forEach((account, budget) => {
      tokens += account.extend(this.pending?.changes.get(budget));
    });
    logger.info('claims extended', { sequence, tokens });
    return tokens > 0;
  }

  /** Requests that come close together share one sync. */
  private scheduleSync(delayMs: number): void {
    if (!this.isScheduled) {
      this.isScheduled = true;
      this.options.timers.subscribe(delayMs, () => {
        this.isScheduled = false;
        this.requestSync();
      });
    }
  }

  private check(): void {
    const { timers } = this.options;
    const now = timers.now();
    if (now < this.retryAt || this.isSyncing) {
      return;
    }
    const isReadDue = now - this.syncedAt >= READ_INTERVAL_MS;
    if (isReadDue || this.isRecordDue() || this.hasScarceBudget()) {
      this.requestSync();
    }
  }

  /** Returns whether this process's record is to be stored, by what was last read. */
  private isRecordDue(): boolean {
    return (
      !this.isProven() ||
      this.pending !== undefined ||
      this.hasChanges() ||
      this.hasOtherWitnesses() ||
      this.isReportDue()
    );
  }

  /** Returns whether any allotment is to be changed, by what was last read. */
  private hasChanges(): boolean {
    return [...this.getBudgets()].some((budget) => {
      const situation = this.getSituation(budget);
      const account = this.getAccount(budget);
      const plan = situation && planAllotment(situation);
      return (
        plan !== undefined &&
        (plan.claimed !== 0 || plan.opened !== 0 || plan.wanted !== account.wanted)
      );
    });
  }

  /** Returns whether others may lack what is idle here, so that their records are to be read. */
  private hasScarceBudget(): boolean {
    return [...this.getBudgets()].some((budget) => {
      const total = this.getTotal(budget)?.tokens ?? 0;
      return this.ledger.getClaimed(budget) > total * SCARCE_SHARE;
    });
  }

  /** Returns whether the stored record names witnesses that have ended, or too few. */
  private hasOtherWitnesses(): boolean {
    const { vm } = this.options;
    const stored = this.ledger.holders.get(vm)?.witnesses ?? [];
    const wanted = chooseWitnesses(this.ledger, vm);
    return (
      stored.length !== wanted.length ||
      wanted.some(({ run }) => !stored.some((witness) => witness.run === run))
    );
  }

  private isReportDue(): boolean {
    const elapsedMs = this.options.timers.now() - this.reportedAt;
    return elapsedMs >= REPORT_INTERVAL_MS && this.describeSpending() !== this.reported;
  }

  private describeSpending(): string {
    return [...this.accounts.values()].map(({ allotment }) => allotment.spent).join(',');
  }

  private getBudgets(): Set<BudgetId> {
    return new Set([...this.options.getTotals().keys(), ...this.accounts.keys()]);
  }

  private getSituation(budget: BudgetId): AllotmentSituation | undefined {
    const { timers, horizonMs } = this.options;
    const total = this.getTotal(budget);
    if (!total) {
      return undefined;
    }
    const account = this.getAccount(budget);
    const { allotment, lacking } = account;
    const coverage = this.getCoverage();
    const waiting = allotment.waiters.reduce((sum, { need }) => sum + need, 0);
    return {
      total: total.tokens,
      claimed: this.ledger.getClaimed(budget),
      left: total.tokens - this.ledger.getSettled(budget) - this.ledger.getLost(budget),
      free: account.getFreeInAll(),
      freeOpened: allotment.free,
      hasWitnesses: this.ledger.holders.size > 1,
      expected: account.getExpectedSpending(horizonMs * coverage, timers.now()),
      coverage,
      expectedSoon: account.getExpectedSpending(WINDOW_MS, timers.now()),
      meanHold: allotment.meanHold,
      share: this.ledger.getShare(budget, this.options.vm, total.tokens),
      needed: Math.max(waiting, lacking),
      wantedByOthers: this.ledger.getWantedByOthers(budget, this.options.vm),
    };
  }

  /**
   * Returns the part of the horizon that claims cover now. A store that has just come back is asked for little at
   * first: fleets are often started anew after an outage, and what processes that die together have claimed is lost.
   */
  private getCoverage(): number {
    const reachedMs = this.options.timers.now() - this.reachedAt;
    return Math.min(1, COVERAGE_MIN + reachedMs / COVERAGE_GROWTH_MS);
  }

  /** Reads to the end and appends this process's record, until one append is judged. */
  private async sync(isFinal: boolean): Promise<void> {
    this.isSyncing = true;
    this.calledAt = this.options.timers.now();
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
      this.syncedAt = this.options.timers.now();
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

  /** Returns whether the ledger is current, and what an earlier process left is taken over. */
  private async readToEnd(): Promise<boolean> {
    const end = await this.reader.readToEnd();
    if (end.err) {
      this.recordFailure(JSON.stringify(end.val));
      return false;
    }
    this.resolvePending(end.val);
    this.recordSuccess();
    await this.settleForerunner();
    return true;
  }

  private onRecord(holder: VmId, record: HolderRecord): void {
    const { vm, run } = this.options;
    if (holder !== vm) {
      return;
    }
    if (record.run !== run) {
      this.forerunner = record;
    } else if (record.sequence === this.pending?.record.sequence) {
      this.confirmPending();
    }
  }

  /**
   * Takes over what an earlier process of this vm left. What it had opened counts as spent, and all that it had
   * claimed where it may have opened that; nobody else can know that it is dead.
   */
  private async settleForerunner(): Promise<void> {
    const { forerunner } = this;
    if (!forerunner) {
      return;
    }
    const isUnextended = await this.options.extensions.isUnextended(forerunner);
    forerunner.balances.forEach(({ claimed, opened, settled }, budget) => {
      this.getAccount(budget).inherit(isUnextended ? opened : claimed, settled);
    });
    this.forerunner = undefined;
    const { run, sequence } = forerunner;
    const balances = [...forerunner.balances].map(
      ([budget, { claimed, opened, settled }]) => `${budget} ${claimed} ${opened} ${settled}`,
    );
    this.options.logger.info('account inherited', { run, sequence, isUnextended, balances });
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
    pending.changes.forEach((change, budget) => this.getAccount(budget).confirm(change));
  }

  private revertPending(reason: string): void {
    const { pending } = this;
    if (!pending) {
      return;
    }
    this.pending = undefined;
    pending.changes.forEach((_, budget) => this.getAccount(budget).revert());
    this.options.logger.debug('account record dropped', { at: pending.at, reason });
  }

  private appendIfNeeded(isFinal: boolean): Promise<'done' | 'conflict'> {
    const isNeeded = isFinal || this.isRecordDue();
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
      this.reader.applyOwn(vm, pending.record, appended.val);
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
    const { run, address, vm } = this.options;
    const changes = new Map<BudgetId, AccountChange>();
    const balances = new Map<BudgetId, HolderBalance>();
    this.getBudgets().forEach((budget) => {
      const account = this.getAccount(budget);
      const change = account.prepare(this.planBudget(budget, isFinal));
      changes.set(budget, change);
      balances.set(budget, account.describe(change, this.getTotal(budget)));
      account.lacking = 0;
    });
    const witnesses = chooseWitnesses(this.ledger, vm);
    const record = { run, sequence: this.sequence + 1, address, witnesses, balances };
    return { at: this.reader.getOffset()!, record, bytes: encodeHolderRecord(record), changes };
  }

  private planBudget(budget: BudgetId, isFinal: boolean): AccountChange {
    const account = this.getAccount(budget);
    if (isFinal) {
      return { claimed: -account.getFreeInAll(), opened: -account.allotment.free, wanted: 0 };
    }
    const situation = this.getSituation(budget);
    return situation ? planAllotment(situation) : { claimed: 0, opened: 0, wanted: 0 };
  }

  private recordSuccess(): void {
    if (this.failures > 0) {
      this.reachedAt = this.options.timers.now();
      this.options.logger.info('accounts in reach', {
        offset: this.reader.getOffset(),
        failures: this.failures,
      });
    }
    this.failures = 0;
    this.retryAt = 0;
    this.calledAt = this.options.timers.now();
  }

  private recordFailure(detail: string): void {
    const { logger, timers } = this.options;
    if (this.failures === 0) {
      logger.warn('accounts out of reach', { detail, offset: this.reader.getOffset() });
    }
    this.failures += 1;
    this.retryAt = timers.now() + Math.min(RETRY_MAX_MS, RETRY_MIN_MS * this.failures);
  }
}
