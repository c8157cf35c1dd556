/** Reads the holder records of one topic into a ledger. */
import type { Logger } from '../core/logging.js';
import { Err, Ok, type Result } from '../core/results.js';
import type { Offset, VmId } from '../types/ids.js';
import type { KeyedRecord, KeyedStore, StoreFailure, Topic } from '../types/store.js';
import { decodeHolderRecord, type HolderRecord } from './holderRecord.js';
import { Ledger } from './ledger.js';

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

  private offset: Offset | undefined;

  constructor(private readonly options: LedgerReaderOptions) {}

  /** Returns the offset up to which the ledger is current, `undefined` before the first read. */
  getOffset(): Offset | undefined {
    return this.offset;
  }

  /** Applies a record that this process has appended; `end` is the topic's end after it. */
  applyOwnRecord(holder: VmId, record: HolderRecord, end: Offset): void {
    this.ledger.apply(holder, record);
    this.offset = end;
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
    this.offset = newest.val.end;
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
    const { logger, onRecord } = this.options;
    if (value === undefined) {
      return false;
    }
    const decoded = decodeHolderRecord(value);
    if (decoded.err) {
      logger.warn('ignoring malformed account record', { key, offset, detail: decoded.val });
      return false;
    }
    this.ledger.apply(key as VmId, decoded.val);
    onRecord(key as VmId, decoded.val);
    return true;
  }
}
