/** Reads the accounts of one topic into a ledger. */
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
  /** This process's own vm, each of whose records is read. */
  readonly vm: VmId;
  /** Called for each account that is read. */
  readonly onRecord: (holder: VmId, record: HolderRecord) => void;
}

/** A ledger and the offset that it is current to. */
export class LedgerReader {
  readonly ledger = new Ledger();

  private offset: Offset | undefined;

  constructor(private readonly options: LedgerReaderOptions) {}

  /** Returns the offset that the ledger is current to, `undefined` before the first read. */
  getOffset(): Offset | undefined {
    return this.offset;
  }

  /** Takes in a record that this process has stored itself, after which the topic ends at an offset. */
  applyOwnRecord(holder: VmId, record: HolderRecord, end: Offset): void {
    this.ledger.apply(holder, record);
    this.offset = end;
  }

  /** Reads on to the topic's end, or all accounts anew where records are missing; returns the end. */
  async readToEnd(): Promise<Result<Offset, StoreFailure>> {
    const { store, topic } = this.options;
    if (this.offset === undefined) {
      return this.reload();
    }
    for (;;) {
      // Each read goes on where the one before ended.
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

  /** Takes in the newest record of each other holder: a record is a holder's whole state, and homes write several a second. */
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

  /** Returns whether a record could be read. Bytes of someone else name no account; the newest one that could be read holds. */
  private applyRecord({ key, value, offset }: KeyedRecord): boolean {
    const { logger, onRecord } = this.options;
    if (value === undefined) {
      return false;
    }
    const decoded = decodeHolderRecord(value);
    if (decoded.err) {
      logger.warn('malformed account', { key, offset, detail: decoded.val });
      return false;
    }
    this.ledger.apply(key as VmId, decoded.val);
    onRecord(key as VmId, decoded.val);
    return true;
  }
}
