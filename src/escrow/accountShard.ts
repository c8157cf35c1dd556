/**
 * The part of one process in the accounts of one topic. A claim takes effect only if the topic still ends
 * where the claimant had read to, so it is judged against every other claim; the sum of claims never passes the
 * prepaid total whoever is alive or reachable. Tokens are spent only after the claim is known to be stored.
 */
import type { Logger } from '../core/logging.js';
import type { Metrics } from '../core/metrics.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { getErrorMessage } from '../core/utilities.js';
import type { BudgetId, Incarnation, Offset, VmId } from '../types/ids.js';
import type { KeyedStore, Topic } from '../types/store.js';
import type { AccountChange } from './account.js';
import { LocalAccounts } from './localAccounts.js';
import { encodeHolderRecord, type HolderRecord } from './holderRecord.js';
import { AppendBackoff } from './appendBackoff.js';
import { HomeList } from './homeList.js';
import { chooseWitnesses, type ExtensionClient } from './extensionClient.js';
import type { Ledger, VersionedTotal } from './ledger.js';
import { LedgerReader } from './ledgerReader.js';
import { StoreHealth } from './storeHealth.js';

/** Options of a shard. */
export interface AccountShardOptions {
  readonly store: KeyedStore;
  readonly topic: Topic;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly vm: VmId;
  readonly run: Incarnation;
  /** Where peers reach this process, as HOST:PORT. */
  readonly address: string;
  /** Processor cores of this vm. Default 0, for unknown. */
  readonly cores?: number;
  /** Asks the witnesses of this process's records. */
  readonly extensions: ExtensionClient;
  /** How much spending an allotment covers, in milliseconds. */
  readonly horizonMs: number;
  /** The most vms that claim. Default as in `HomeList`. */
  readonly homesMax?: number;
  /** Returns whom to ask while no holder is known. Default none. */
  readonly getSeeds?: () => readonly VmId[];
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

/** How one round of an exchange with the store, or the whole exchange, ended. */
type SyncOutcome = 'stored' | 'unchanged' | 'conflict' | 'failed';

const CHECK_INTERVAL_MS = 300;
const REPORT_INTERVAL_MS = 1_000; // others plan by what is settled, and a successor takes the rest as spent; a report is priced
const SYNC_INTERVAL_MIN_MS = 40; // calls to the store are priced; a request can wait so long
const HOME_READ_INTERVAL_MS = 1_500; // an idle holder must hear what others lack
const NON_HOME_READ_INTERVAL_MS = 5_000; // a vm that claims nothing reads who the holders are
const CONFLICTS_MAX = 12;
const FIRST_RECORD_JITTER_MS = 8_000; // two hundred vms that start together append in turn; homes go first

/** The accounts of one topic. */
export class AccountShard {
  readonly ledger: Ledger;

  readonly homes: HomeList;

  readonly accounts: LocalAccounts;

  private readonly health: StoreHealth;

  private readonly reader: LedgerReader;

  private readonly backoff: AppendBackoff;

  private pending: PendingRecord | undefined;

  private sequence = 0;

  /** The last record whose claims are all opened. */
  private extendedSequence = 0;

  private isExtending = false;

  /** What an earlier process of this vm left, until it is settled how much of it was opened. */
  private predecessor: HolderRecord | undefined;

  private isSyncing = false;

  /** Ends with the sync in progress. */
  private currentSync: Promise<void> = Promise.resolve();

  private isStopping = false;

  private isSyncRequested = false;

  private isSyncScheduled = false;

  private syncedAt = 0;

  /** When the first record is stored at the latest, where this vm is no home. */
  private firstRecordDueAt = 0;

  private reportedAt = 0;

  private reportedKey = '';

  private unsubscribe: Unsubscribe = () => {};

  constructor(private readonly options: AccountShardOptions) {
    const { store, topic, logger, timers, vm, horizonMs, getTotals } = options;
    const { homesMax, getSeeds, random = Math.random } = options;
    this.reader = new LedgerReader({
      store,
      topic,
      logger,
      vm,
      onRecord: (holder, record) => this.onRecord(holder, record),
    });
    this.ledger = this.reader.ledger;
    this.health = new StoreHealth(timers, logger);
    this.homes = new HomeList({
      ledger: this.ledger,
      timers,
      logger,
      vm,
      cores: options.cores,
      part: topic.part,
      homesMax,
      getSeeds,
    });
    this.accounts = new LocalAccounts({
      ledger: this.ledger,
      homes: this.homes,
      timers,
      vm,
      horizonMs,
      getTotals,
      getRecoveryAgeMs: () => this.health.getRecoveryAgeMs(),
    });
    this.backoff = new AppendBackoff({
      timers,
      random,
      // Every process stores a first record; after that only homes append.
      getContenders: () => (this.isReady() ? this.homes.getHomeCount() : undefined),
    });
  }

  /** Starts reading and claiming. */
  start(): void {
    const { timers, random = Math.random } = this.options;
    this.firstRecordDueAt = timers.now() + FIRST_RECORD_JITTER_MS * random();
    this.unsubscribe = timers.subscribeEvery(CHECK_INTERVAL_MS * (0.9 + 0.2 * random()), () =>
      this.syncIfDue(),
    );
    this.requestSync();
  }

  /** Gives back what is free, once; resolves whether or not the store took it. */
  async stop(): Promise<void> {
    this.unsubscribe();
    this.unsubscribe = () => {};
    this.isStopping = true;
    // Two syncs at a time would append over each other.
    await this.currentSync;
    // The last records of many vms that stop in turn would collide with the homes' claims.
    if (this.isReady() && (this.pending !== undefined || this.accounts.hasClaims())) {
      await this.sync(true);
    }
  }

  /** Returns whether all accounts were read and this process's own record is stored. */
  isReady(): boolean {
    return this.reader.getOffset() !== undefined && this.sequence > 0;
  }

  /** Returns whether the last call to the store failed. */
  isStoreUnavailable(): boolean {
    return this.health.isUnavailable();
  }

  /** Returns whether the store has not answered for so long. */
  isStoreUnresponsive(lateMs: number): boolean {
    return this.health.isUnavailable() || (this.isSyncing && this.health.getCallAgeMs() >= lateMs);
  }

  /** Returns the other homes, those first that hold most of a budget. */
  getLenders(budget: BudgetId): VmId[] {
    const { homes, ledger } = this;
    return homes
      .getHomesToAsk(budget)
      .sort((a, b) => ledger.getUnspentClaim(budget, b) - ledger.getUnspentClaim(budget, a));
  }

  /** Returns how long ago the last exchange with the store ended, in milliseconds. */
  getLedgerAgeMs(): number {
    return this.options.timers.now() - this.syncedAt;
  }

  /** Reads and claims as soon as possible. */
  requestSync(): void {
    const { timers, logger } = this.options;
    if (this.isStopping) {
      return;
    }
    if (this.isSyncing) {
      this.isSyncRequested = true;
      return;
    }
    if (!this.health.isRetryDue()) {
      return;
    }
    const now = timers.now();
    if (now < this.syncedAt + SYNC_INTERVAL_MIN_MS) {
      this.scheduleSync(this.syncedAt + SYNC_INTERVAL_MIN_MS - now);
      return;
    }
    this.currentSync = this.sync(false).catch((error: unknown) => {
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
    const isAcknowledged = await extensions.extend(records, run, sequence);
    this.isExtending = false;
    const isCurrent = sequence === (this.pending?.record.sequence ?? this.sequence);
    if (!isAcknowledged || !isCurrent) {
      logger.warn('claims not extended', {
        sequence,
        isNoted: isAcknowledged,
        witnesses: record.witnesses.length,
      });
      return false;
    }
    this.extendedSequence = sequence;
    const tokens = this.accounts.extend(this.pending?.changes);
    logger.info('claims extended', { sequence, tokens });
    return tokens > 0;
  }

  /** Requests that come close together share one sync. */
  private scheduleSync(delayMs: number): void {
    if (!this.isSyncScheduled) {
      this.isSyncScheduled = true;
      this.options.timers.subscribe(delayMs, () => {
        this.isSyncScheduled = false;
        this.requestSync();
      });
    }
  }

  private syncIfDue(): void {
    const { timers } = this.options;
    if (!this.health.isRetryDue() || this.isSyncing) {
      return;
    }
    const isHome = this.homes.isHome();
    const readIntervalMs = isHome ? HOME_READ_INTERVAL_MS : NON_HOME_READ_INTERVAL_MS;
    const isReadDue = timers.now() - this.syncedAt >= readIntervalMs;
    if (isReadDue || this.isRecordDue() || (isHome && this.accounts.hasScarceBudget())) {
      this.requestSync();
    }
  }

  /** Returns whether this process's record is to be stored, by what was last read. */
  private isRecordDue(): boolean {
    return (
      this.isFirstRecordDue() ||
      this.pending !== undefined ||
      this.accounts.hasChanges() ||
      this.hasStaleWitnesses() ||
      this.isReportDue()
    );
  }

  /** Returns whether this process is to be listed as a holder, if it is not yet. */
  private isFirstRecordDue(): boolean {
    if (this.isReady()) {
      return false;
    }
    return this.homes.isHome() || this.options.timers.now() >= this.firstRecordDueAt;
  }

  /** Returns whether the stored record names witnesses that have ended, or too few. */
  private hasStaleWitnesses(): boolean {
    const { vm } = this.options;
    if (!this.homes.isHome() && !this.accounts.hasClaims()) {
      return false;
    }
    const stored = this.ledger.holders.get(vm)?.witnesses ?? [];
    const chosen = chooseWitnesses(this.ledger, vm);
    return (
      stored.length !== chosen.length ||
      chosen.some(({ run }) => !stored.some((witness) => witness.run === run))
    );
  }

  private isReportDue(): boolean {
    const elapsedMs = this.options.timers.now() - this.reportedAt;
    return elapsedMs >= REPORT_INTERVAL_MS && this.accounts.getSpendingKey() !== this.reportedKey;
  }

  /** Reads to the end and appends this process's record, until one append is judged. */
  private async sync(isFinal: boolean): Promise<void> {
    const startedAt = this.options.timers.now();
    const ledgerAgeMs = startedAt - this.syncedAt;
    let outcome: SyncOutcome = 'conflict';
    let conflicts = 0;
    this.isSyncing = true;
    this.health.recordCallStart();
    try {
      while (outcome === 'conflict' && conflicts < CONFLICTS_MAX) {
        // Each round reads what the one before collided with.
        outcome = await this.readAndAppend(isFinal);
        if (outcome === 'conflict') {
          await this.backoff.wait();
          conflicts += 1;
        }
      }
    } finally {
      this.isSyncing = false;
      this.syncedAt = this.options.timers.now();
      this.reportSync(outcome, conflicts, startedAt, ledgerAgeMs);
    }
    if (this.isSyncRequested) {
      this.isSyncRequested = false;
      this.requestSync();
    }
  }

  private async readAndAppend(isFinal: boolean): Promise<SyncOutcome> {
    if (!(await this.readToEnd())) {
      return 'failed';
    }
    return isFinal || this.isRecordDue() ? this.appendRecord(isFinal) : 'unchanged';
  }

  /** Exchanges that changed nothing are frequent and only counted. */
  private reportSync(
    outcome: SyncOutcome,
    conflicts: number,
    startedAt: number,
    ledgerAgeMs: number,
  ): void {
    const { logger, metrics, timers, topic } = this.options;
    const durationMs = Math.round(timers.now() - startedAt);
    metrics.accountSyncSeconds.observe({ outcome }, durationMs / 1_000);
    if (outcome !== 'unchanged' || conflicts > 0) {
      logger.info('accounts synchronized', {
        outcome,
        conflicts,
        durationMs,
        ledgerAgeMs: Math.round(ledgerAgeMs),
        part: topic.part,
        offset: this.reader.getOffset(),
        sequence: this.sequence,
      });
    }
  }

  /** Returns whether the ledger is current, and what an earlier process left is taken over. */
  private async readToEnd(): Promise<boolean> {
    const end = await this.reader.readToEnd();
    if (end.err) {
      this.health.recordFailure(this.reader.getOffset(), JSON.stringify(end.val));
      return false;
    }
    this.resolvePending(end.val);
    this.health.recordSuccess(this.reader.getOffset());
    await this.inheritFromPredecessor();
    return true;
  }

  private onRecord(holder: VmId, record: HolderRecord): void {
    const { vm, run } = this.options;
    if (holder !== vm) {
      return;
    }
    if (record.run !== run) {
      this.predecessor = record;
    } else if (record.sequence === this.pending?.record.sequence) {
      this.confirmPending();
    }
  }

  /**
   * Takes over what an earlier process of this vm left. What it had opened counts as spent, and all that it had
   * claimed where it may have opened that; nobody else can know that it is dead.
   */
  private async inheritFromPredecessor(): Promise<void> {
    const { predecessor } = this;
    if (!predecessor) {
      return;
    }
    const isExtensionRuledOut = await this.options.extensions.isExtensionRuledOut(predecessor);
    this.accounts.inherit(predecessor, isExtensionRuledOut);
    this.predecessor = undefined;
    const { run, sequence } = predecessor;
    const balances = [...predecessor.balances].map(
      ([budget, { claimed, activated, settled }]) => `${budget} ${claimed} ${activated} ${settled}`,
    );
    this.options.logger.info('account inherited', {
      run,
      sequence,
      isUnextended: isExtensionRuledOut,
      balances,
    });
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
    this.backoff.reset();
    this.reportedAt = this.options.timers.now();
    this.accounts.confirm(pending.changes);
  }

  private revertPending(reason: string): void {
    const { pending } = this;
    if (!pending) {
      return;
    }
    this.pending = undefined;
    this.accounts.revert(pending.changes);
    this.options.logger.debug('account record dropped', { at: pending.at, reason });
  }

  private async appendRecord(isFinal: boolean): Promise<SyncOutcome> {
    const { store, topic, vm, metrics } = this.options;
    const spendingKey = this.accounts.getSpendingKey();
    // A record in doubt is sent again as it was: whichever append comes first, only one can be stored.
    this.pending ??= this.createPending(isFinal);
    const { pending } = this;
    const appended = await store.append({
      topic,
      key: vm,
      value: pending.bytes,
      at: pending.at,
    });
    metrics.accountAppends.inc({ outcome: appended.ok ? 'stored' : appended.val.kind });
    if (appended.ok) {
      this.reader.applyOwnRecord(vm, pending.record, appended.val);
      this.reportedKey = spendingKey;
      this.confirmPending();
      this.health.recordSuccess(this.reader.getOffset());
      return 'stored';
    }
    if (appended.val.kind === 'conflict') {
      // The record may itself stand at the end that the store reports; reading on tells.
      return 'conflict';
    }
    if (appended.val.kind === 'refused') {
      this.revertPending('refused');
    }
    this.health.recordFailure(this.reader.getOffset(), JSON.stringify(appended.val));
    return 'failed';
  }

  private createPending(isFinal: boolean): PendingRecord {
    const { run, address, vm, cores = 0 } = this.options;
    const { changes, balances } = this.accounts.prepare(isFinal);
    const witnesses = chooseWitnesses(this.ledger, vm);
    const record = { run, sequence: this.sequence + 1, address, cores, witnesses, balances };
    return { at: this.reader.getOffset()!, record, bytes: encodeHolderRecord(record), changes };
  }
}
