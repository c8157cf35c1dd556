/** Reads the holder records of one topic into a ledger. */
import type { Logger } from '../core/logging.js';
import { Err, Ok, type Result } from '../core/results.js';
import type { Offset, VmId } from '../types/ids.js';
import type { KeyedRecord, KeyedStore, StoreFailure, Topic } from '../types/store.js';
import { decodeHolderRecord, type HolderRecord } from './holderRecord.js';
import { Ledger } from './ledger.js';
import { addLostBalances, isOlderRecord, isReplacement } from './recordOrder.js';

/** Options of a reader. */
export interface LedgerReaderOptions {
  readonly store: KeyedStore;
  readonly topic: Topic;
  readonly logger: Logger;
  /** This process's vm, of which every record is applied. */
  readonly vm: VmId;
  /** Called for each record that is applied. */
  readonly onRecord: (holder: VmId, record: HolderRecord) => void;
}

/** A ledger and the offset up to which it is current. */
export class LedgerReader {
  readonly ledger = new Ledger();

  /** The newest known record of each holder of which the store may have lost it and shows no newer one. */
  private readonly kept = new Map<VmId, HolderRecord>();

  private offset: Offset | undefined;

  /** Whether the store returned from an older copy that has not been read yet. */
  private isRewound = false;

  constructor(private readonly options: LedgerReaderOptions) {
    options.store.era.onChange(() => this.keepRecords());
  }

  /** Returns the offset up to which the ledger is current, `undefined` before the first read. */
  getOffset(): Offset | undefined {
    return this.offset;
  }

  /** Returns whether all records have been read once, also if the store has returned from an older copy since. */
  hasRead(): boolean {
    return this.offset !== undefined || this.isRewound;
  }

  /** Applies a record that this process has appended; `end` is the topic's end after it. */
  applyOwnRecord(holder: VmId, record: HolderRecord, end: Offset): void {
    this.ledger.apply(holder, record);
    this.kept.delete(holder);
    this.offset = end;
  }

  /** Applies a record that a peer knows, if it is newer than the known one of its holder. */
  applyPeerRecord(holder: VmId, record: HolderRecord): void {
    const known = this.getNewest(holder);
    if (known && (isReplacement(known, record) || isOlderRecord(record, known))) {
      return;
    }
    this.kept.set(holder, record);
    const isSuccessor = !known || isReplacement(record, known) || isOlderRecord(known, record);
    this.ledger.apply(holder, isSuccessor ? record : addLostBalances(known, record));
    this.options.onRecord(holder, record);
  }

  /** Returns the newest known record of a holder as the holder created it. */
  getNewest(holder: VmId): HolderRecord | undefined {
    return this.kept.get(holder) ?? this.ledger.holders.get(holder);
  }

  /** Returns whether the store lost this process's own record. */
  isOwnRecordLost(): boolean {
    return this.offset !== undefined && this.kept.has(this.options.vm);
  }

  /** Returns another holder's record that the store lost and that nothing in the store replaces. */
  getLostRecord(): { readonly holder: VmId; readonly record: HolderRecord } | undefined {
    const lost = [...this.kept].find(
      ([holder, record]) =>
        holder !== this.options.vm && this.ledger.holders.get(holder) === record,
    );
    return lost && { holder: lost[0], record: lost[1] };
  }

  /** Reads to the end of the topic and returns it; reloads the newest records if the next ones were trimmed. */
  async readToEnd(): Promise<Result<Offset, StoreFailure>> {
    const { store, topic } = this.options;
    if (this.offset === undefined) {
      return this.reload();
    }
    for (;;) {
      // Sequential: each read starts where the previous one ended.
      const page = await store.read({ topic, from: this.offset, waitMs: 0 });
      if (page.err && page.val.kind === 'trimmed') {
        this.offset = undefined;
        return this.reload();
      }
      if (page.err) {
        return Err(page.val);
      }
      this.applyRecords(page.val.records);
      this.offset = page.val.next;
      if (this.offset >= page.val.end) {
        return Ok(this.offset);
      }
    }
  }

  private async reload(): Promise<Result<Offset, StoreFailure>> {
    const { store, topic } = this.options;
    const newest = await store.readNewest(topic);
    if (newest.err) {
      return Err(newest.val);
    }
    this.ledger.clear();
    newest.val.records.forEach((record) => this.applyRecord(record));
    this.kept.forEach((record, holder) => {
      if (!this.ledger.holders.has(holder)) {
        this.ledger.apply(holder, record);
      }
    });
    this.offset = newest.val.end;
    this.isRewound = false;
    return this.readToEnd();
  }

  /**
   * Applies every record of this vm but only the newest of each other holder: each record holds the complete state, and
   * homes append several per second.
   */
  private applyRecords(records: readonly KeyedRecord[]): void {
    const appliedKeys = new Set<string>();
    records
      .filter(({ key }) => key === this.options.vm)
      .forEach((record) => this.applyRecord(record));
    records
      .filter(({ key }) => key !== this.options.vm)
      .reverse()
      .forEach((record) => {
        if (!appliedKeys.has(record.key) && this.applyRecord(record)) {
          appliedKeys.add(record.key);
        }
      });
  }

  /** Applies a record and returns whether it could be decoded. If not, the holder's newest valid record stays in effect. */
  private applyRecord({ key, value, offset }: KeyedRecord): boolean {
    const { logger } = this.options;
    if (value === undefined) {
      return false;
    }
    const decoded = decodeHolderRecord(value);
    if (decoded.err) {
      logger.warn('ignoring malformed account record', { key, offset, detail: decoded.val });
      return false;
    }
    this.applyStored(key as VmId, decoded.val);
    return true;
  }

  /** The store may show a record that is older than the known one: after a rewind, or stored late under an old condition. */
  private applyStored(holder: VmId, record: HolderRecord): void {
    const known = this.getNewest(holder);
    if (known && isOlderRecord(record, known)) {
      this.kept.set(holder, known);
      this.ledger.apply(holder, known);
      return;
    }
    const kept = this.kept.get(holder);
    if (kept && !isReplacement(record, kept)) {
      this.ledger.apply(holder, addLostBalances(record, kept));
    } else {
      this.kept.delete(holder);
      this.ledger.apply(holder, record);
    }
    this.options.onRecord(holder, record);
  }

  private keepRecords(): void {
    this.isRewound ||= this.offset !== undefined;
    this.offset = undefined;
    this.ledger.holders.forEach((record, holder) => {
      if (!this.kept.has(holder)) {
        this.kept.set(holder, record);
      }
    });
  }
}
