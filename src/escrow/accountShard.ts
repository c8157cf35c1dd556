/**
 * Synchronizes one process's accounts with one topic. A claim is a conditional append: it takes effect only if the
 * topic still ends where the claimant had read to, so every claim is checked against all others, and the sum of claims
 * never exceeds the prepaid total, whichever processes are alive or reachable. Tokens are spent only after the claim is
 * known to be stored.
 */
import type { Logger } from '../core/logging.js';
import type { Metrics } from '../core/metrics.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { getErrorMessage } from '../core/utilities.js';
import { NO_ERA } from '../store/storeEra.js';
import type { BudgetId, Incarnation, Offset, VmId } from '../types/ids.js';
import type { PeerClient, RecordsRequest, RecordsResponse } from '../types/peers.js';
import type { KeyedStore, StoreFailure, Topic } from '../types/store.js';
import type { AccountChange } from './account.js';
import { LocalAccounts } from './localAccounts.js';
import { encodeHolderRecord, type HolderRecord } from './holderRecord.js';
import { AppendBackoff } from './appendBackoff.js';
import { HomeList } from './homeList.js';
import { chooseWitnesses, type ExtensionClient } from './extensionClient.js';
import type { Ledger, VersionedTotal } from './ledger.js';
import { LedgerReader } from './ledgerReader.js';
import { isOlderRecord } from './recordOrder.js';
import { RecordEncoder } from './recordEncoder.js';
import { RecordRecovery } from './recordRecovery.js';
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
  /** Asks peers for records that the store lost. */
  readonly client: PeerClient;
  /** How long an allotment is meant to cover spending, in milliseconds. */
  readonly horizonMs: number;
  /** The maximum number of homes. Default as in `HomeList`. */
  readonly homesMax?: number;
  /** Returns the vms to ask while no holder is known. Default none. */
  readonly getSeeds?: () => readonly VmId[];
  /** Returns the prepaid totals that this process knows. */
  readonly getTotals: () => ReadonlyMap<BudgetId, VersionedTotal>;
  /** In [0, 1). Default `Math.random`. */
  readonly random?: () => number;
}

/** A record whose append has no known outcome yet. */
interface PendingRecord {
  readonly at: Offset;
  readonly record: HolderRecord;
  readonly bytes: Uint8Array;
  readonly changes: ReadonlyMap<BudgetId, AccountChange>;
  /** Whether an append of the record had no response; the store may still execute it while the topic ends at `at`. */
  mayBeStored: boolean;
}

/** The outcome of a sync or of one of its rounds. */
type SyncOutcome = 'stored' | 'unchanged' | 'conflict' | 'failed';

const CHECK_INTERVAL_MS = 300;
const REPORT_INTERVAL_MS = 1_000; // other holders plan by settled tokens, and a successor counts the rest as spent; each record costs money
const SYNC_INTERVAL_MIN_MS = 40; // store calls cost money, and a request can wait this long
const HOME_READ_INTERVAL_MS = 1_500; // an idle holder must learn the others' shortfall
const NON_HOME_READ_INTERVAL_MS = 5_000; // a vm without claims only needs the list of holders
const CONFLICTS_MAX = 12;
const LOST_RECORD_DELAY_MS = 1_000; // after the recovery; a living holder has appended its own record by then
const FIRST_RECORD_JITTER_MS = 8_000; // spreads the appends of 200 vms that start together; homes append at once

/** One process's accounts of one topic. */
export class AccountShard {
  readonly ledger: Ledger;

  readonly homes: HomeList;

  readonly accounts: LocalAccounts;

  private readonly health: StoreHealth;

  private readonly reader: LedgerReader;

  private readonly encoder: RecordEncoder;

  private readonly backoff: AppendBackoff;

  private pending: PendingRecord | undefined;

  /** The sequence number of the last record that was stored. */
  private sequence = 0;

  /** The sequence number of the last record that was created; those of reverted records are not reused. */
  private createdSequence = 0;

  /** The sequence number of the last record whose claims are all activated. */
  private extendedSequence = 0;

  private isExtending = false;

  /** The last record of this vm's predecessor, until the part that it activated is determined. */
  private predecessor: HolderRecord | undefined;

  /** The predecessor's record whose balances this process has taken over. */
  private inheritedFrom: HolderRecord | undefined;

  /** The number of processes of this vm, this one included, as far as it is known. */
  private generation = 1;

  private readonly recovery: RecordRecovery;

  /** Records of this process that may be stored, although it does not count on it; until a newer one is stored. */
  private droppedRecords: HolderRecord[] = [];

  private isSyncing = false;

  /** Resolves when the sync in progress ends. */
  private currentSync: Promise<void> = Promise.resolve();

  private isStopping = false;

  private isSyncRequested = false;

  private isSyncScheduled = false;

  private syncedAt = 0;

  /** When to append the first record if this vm is not a home. */
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
    this.recovery = new RecordRecovery({
      client: options.client,
      timers,
      logger,
      reader: this.reader,
      era: store.era,
      vm,
      part: topic.part,
      getSeeds: getSeeds ?? (() => []),
      onEnd: () => this.requestSync(),
    });
    store.era.onChange(() => this.handleRewind());
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
      mayClaim: () => this.recovery.mayClaim(),
    });
    this.encoder = new RecordEncoder({ accounts: this.accounts, logger, metrics: options.metrics });
    this.backoff = new AppendBackoff({
      timers,
      random,
      // Every process appends a first record; after that only homes append.
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

  /** Tries once to return all free tokens; resolves whether or not the store accepted the record. */
  async stop(): Promise<void> {
    this.unsubscribe();
    this.unsubscribe = () => {};
    this.isStopping = true;
    // Concurrent syncs of one process would conflict with each other.
    await this.currentSync;
    // During a rolling stop, final records of vms without claims would conflict with the homes' claims.
    if (this.isReady() && (this.pending !== undefined || this.accounts.hasClaims())) {
      await this.sync(true);
    }
  }

  /** Returns whether all accounts have been read and this process's own record is stored. */
  isReady(): boolean {
    return this.reader.hasRead() && this.sequence > 0;
  }

  /** Returns whether the last call to the store failed. */
  isStoreUnavailable(): boolean {
    return this.health.isUnavailable();
  }

  /** Returns whether the store is unavailable or a call has had no response for `lateMs`. */
  isStoreUnresponsive(lateMs: number): boolean {
    return this.health.isUnavailable() || (this.isSyncing && this.health.getCallAgeMs() >= lateMs);
  }

  /** Returns the other homes, those with the largest unspent claim on a budget first. */
  getLenders(budget: BudgetId): VmId[] {
    const { homes, ledger } = this;
    return homes
      .getHomesToAsk(budget)
      .sort((a, b) => ledger.getUnspentClaim(budget, b) - ledger.getUnspentClaim(budget, a));
  }

  /** Returns the time since the last sync ended, in milliseconds. */
  getLedgerAgeMs(): number {
    return this.options.timers.now() - this.syncedAt;
  }

  /** Starts a sync as soon as possible. */
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
   * Extends the claims: activates all of them while the store does not respond, once a majority of witnesses has recorded
   * that. Resolves with whether this added spendable tokens.
   */
  async extend(): Promise<boolean> {
    const { extensions, vm, run, logger } = this.options;
    const record = this.ledger.holders.get(vm);
    // The pending record and dropped ones may still be stored, so the extension covers them too.
    const sequence = this.getNewestSequence();
    if (!record || record.run !== run || this.isExtending || this.extendedSequence >= sequence) {
      return false;
    }
    this.isExtending = true;
    const records = [record, ...this.droppedRecords, this.pending?.record ?? record];
    const witnessSets = records.map(({ witnesses }) => witnesses);
    const isAcknowledged = await extensions.extend(witnessSets, run, sequence);
    this.isExtending = false;
    const isCurrent = sequence === this.getNewestSequence();
    if (!isAcknowledged || !isCurrent) {
      logger.warn('claims not extended: no majority of witnesses, or the record changed', {
        sequence,
        isAcknowledged,
        witnesses: record.witnesses.length,
      });
      return false;
    }
    this.extendedSequence = sequence;
    const tokens = this.accounts.extend(this.pending?.changes);
    logger.info('all claims activated without the store', { sequence, tokens });
    return tokens > 0;
  }

  /**
   * Returns the records that a peer lacks. A peer of a newer era counts on this process's record as it is sent, so the
   * acknowledgement of a pending record that arrives later must not grant its claim.
   */
  createRecordsResponse(request: RecordsRequest): RecordsResponse {
    if (request.era > this.options.store.era.getEra()) {
      this.dropPending('a peer knows a newer era of the store');
    }
    return this.recovery.createResponse(request);
  }

  /** Returns the sequence number of the newest record that is stored or may be. */
  private getNewestSequence(): number {
    return this.pending?.record.sequence ?? this.droppedRecords.at(-1)?.sequence ?? this.sequence;
  }

  /** Schedules one sync for all requests that arrive before it starts. */
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

  /** Returns whether this process's record should be appended, as of the last read. */
  private isRecordDue(): boolean {
    return (
      this.isFirstRecordDue() ||
      this.pending !== undefined ||
      this.accounts.hasChanges() ||
      this.reader.isOwnRecordLost() ||
      this.droppedRecords.length > 0 ||
      this.hasStaleWitnesses() ||
      this.isReportDue()
    );
  }

  /** Returns whether this process should be listed as a holder and is not listed yet. */
  private isFirstRecordDue(): boolean {
    if (this.isReady()) {
      return false;
    }
    return this.homes.isHome() || this.options.timers.now() >= this.firstRecordDueAt;
  }

  /** Returns whether the stored record names too few witnesses, or processes that have ended. */
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

  /** Reads to the end of the topic and appends this process's record; retries after conflicts. */
  private async sync(isFinal: boolean): Promise<void> {
    const startedAt = this.options.timers.now();
    const ledgerAgeMs = startedAt - this.syncedAt;
    let outcome: SyncOutcome = 'conflict';
    let conflicts = 0;
    this.isSyncing = true;
    this.health.recordCallStart();
    try {
      while (outcome === 'conflict' && conflicts < CONFLICTS_MAX) {
        // Each round reads the records that the previous append conflicted with.
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
    const { era } = this.options.store;
    const eraBefore = era.getEra();
    const isFirstRead = this.reader.getOffset() === undefined && this.createdSequence === 0;
    const isRead = await this.readToEnd(isFirstRead);
    if (era.getEra() !== eraBefore && !isFirstRead) {
      return 'conflict';
    }
    if (!isRead) {
      return 'failed';
    }
    if (this.recovery.isStarting()) {
      return 'unchanged';
    }
    if (isFinal || this.isRecordDue()) {
      return this.appendRecord(isFinal);
    }
    return this.appendLostRecord();
  }

  /** A rewind may have lost any record, and offsets and conditions of the era before are invalid. */
  private handleRewind(): void {
    this.dropPending('the store returned from an older copy');
    this.recovery.begin(this.recovery.isStarting());
    this.requestSync();
  }

  /** Gives up the pending record, which may be stored or not. */
  private dropPending(reason: string): void {
    const { pending } = this;
    if (pending) {
      this.pending = undefined;
      this.accounts.confirmReturns(pending.changes);
      this.droppedRecords.push(pending.record);
      const { at, record } = pending;
      this.options.logger.info('account record dropped: its outcome is unknown', {
        at,
        sequence: record.sequence,
        reason,
      });
    }
  }

  /** Appends the record of a silent holder again, which the store lost in a rewind. */
  private async appendLostRecord(): Promise<SyncOutcome> {
    const { store, topic, logger } = this.options;
    const lost = this.reader.getLostRecord();
    const at = this.reader.getOffset();
    if (
      !lost ||
      at === undefined ||
      !this.homes.isHome() ||
      this.recovery.getAgeMs() < LOST_RECORD_DELAY_MS
    ) {
      return 'unchanged';
    }
    const { holder, record } = lost;
    const value = encodeHolderRecord(record);
    if (value.err) {
      logger.error('lost account record can not be stored', { holder, detail: value.val });
      return 'unchanged';
    }
    const appended = await store.append({ topic, key: holder, value: value.val, at });
    logger.info('appended the lost record of a silent holder', {
      holder,
      sequence: record.sequence,
      outcome: appended.ok ? 'stored' : appended.val.kind,
    });
    this.isSyncRequested ||= appended.ok;
    return 'unchanged';
  }

  /** Counts every sync; logs only those with a change or a conflict, as unchanged ones are frequent. */
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
      logger.info('account sync ended', {
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

  /** Returns whether the ledger is current; takes over the predecessor's balances. */
  private async readToEnd(isFirstRead: boolean): Promise<boolean> {
    const end = await this.reader.readToEnd();
    if (end.err) {
      this.health.recordFailure(this.reader.getOffset(), JSON.stringify(end.val));
      return false;
    }
    this.resolvePending(end.val);
    this.health.recordSuccess(this.reader.getOffset());
    if (isFirstRead && this.options.store.era.getEra() !== NO_ERA) {
      this.recovery.begin(true);
    }
    this.recovery.advance();
    if (!this.recovery.isStarting()) {
      await this.inheritFromPredecessor();
    }
    return true;
  }

  private onRecord(holder: VmId, record: HolderRecord): void {
    const { vm, run } = this.options;
    if (holder !== vm) {
      return;
    }
    if (record.run !== run) {
      const isKnown = this.inheritedFrom && isOlderRecord(record, this.inheritedFrom);
      this.predecessor = isKnown ? this.predecessor : record;
    } else if (record.sequence === this.pending?.record.sequence) {
      this.confirmPending();
    }
  }

  /**
   * Takes over the predecessor's balances. The tokens that it had activated count as spent, and all that it had claimed
   * unless an extension is ruled out. Only the successor on the same vm can know that the predecessor has ended.
   */
  private async inheritFromPredecessor(): Promise<void> {
    const { predecessor } = this;
    if (!predecessor) {
      return;
    }
    const isExtensionRuledOut = await this.options.extensions.isExtensionRuledOut(predecessor);
    this.accounts.inherit(predecessor, isExtensionRuledOut);
    this.inheritedFrom = predecessor;
    this.generation = Math.max(this.generation, (predecessor.generation ?? 0) + 1);
    this.predecessor = undefined;
    const { run, sequence } = predecessor;
    const balances = [...predecessor.balances].map(
      ([budget, { claimed, activated, settled }]) => `${budget} ${claimed} ${activated} ${settled}`,
    );
    this.options.logger.info('took over balances of the predecessor', {
      run,
      sequence,
      isExtensionRuledOut,
      balances,
    });
  }

  /** Reverts the pending record once its append condition can no longer hold: it was not stored and never will be. */
  private resolvePending(end: Offset): void {
    if (this.pending && end > this.pending.at) {
      this.revertPending('another record was stored at its offset');
    }
  }

  private confirmPending(): void {
    const { pending } = this;
    if (!pending) {
      return;
    }
    this.pending = undefined;
    this.sequence = pending.record.sequence;
    this.droppedRecords = [];
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
    this.options.logger.debug('account record not stored; changes reverted', {
      at: pending.at,
      reason,
    });
  }

  private async appendRecord(isFinal: boolean): Promise<SyncOutcome> {
    const { store, topic, vm, metrics } = this.options;
    if (this.reader.getOffset() === undefined) {
      return 'conflict';
    }
    const spendingKey = this.accounts.getSpendingKey();
    // A pending record is sent again unchanged: at most one of its appends can be stored.
    this.pending ??= this.createPending(isFinal);
    const { pending } = this;
    if (!pending) {
      return 'failed';
    }
    const appended = await store.append({
      topic,
      key: vm,
      value: pending.bytes,
      at: pending.at,
    });
    metrics.accountAppends.inc({ outcome: appended.ok ? 'stored' : appended.val.kind });
    if (this.pending !== pending) {
      // The store was rewound in the meantime, or a peer has seen it.
      return 'conflict';
    }
    if (appended.ok) {
      this.reader.applyOwnRecord(vm, pending.record, appended.val);
      this.reportedKey = spendingKey;
      this.confirmPending();
      this.health.recordSuccess(this.reader.getOffset());
      return 'stored';
    }
    if (appended.val.kind === 'conflict') {
      // The record itself may have been stored by an earlier append; the next read shows.
      return 'conflict';
    }
    this.recordFailedAppend(pending, appended.val);
    this.health.recordFailure(this.reader.getOffset(), JSON.stringify(appended.val));
    return 'failed';
  }

  /** Reverts a refused record, unless an earlier append of it may still be stored; only a later read can tell then. */
  private recordFailedAppend(pending: PendingRecord, { kind }: StoreFailure): void {
    if (kind !== 'refused') {
      pending.mayBeStored = true;
    } else if (!pending.mayBeStored) {
      this.revertPending('refused');
    }
    const { at, record, mayBeStored } = pending;
    this.options.logger.info('account record not confirmed', {
      at,
      sequence: record.sequence,
      failure: kind,
      mayBeStored,
    });
  }

  /** Returns `undefined` if no reader would accept the record. The claims stored before stay in force. */
  private createPending(isFinal: boolean): PendingRecord | undefined {
    const { run, address, vm, cores = 0 } = this.options;
    const prepared = this.accounts.prepare(isFinal);
    const witnesses = chooseWitnesses(this.ledger, vm);
    this.createdSequence += 1;
    const head = {
      run,
      sequence: this.createdSequence,
      address,
      cores,
      witnesses,
      generation: this.generation,
      era: this.options.store.era.getEra(),
    };
    const encoded = this.encoder.encode(head, prepared);
    return encoded && { ...encoded, at: this.reader.getOffset()!, mayBeStored: false };
  }
}
