/** The memory of a stand-in log: streams of records with offsets and a retention. */
import type { Offset } from '../src/types/ids.js';
import type { LogRecord } from '../src/types/platform.js';

interface StoredRecord extends LogRecord {
  readonly at: number;
}

/** One stream. */
export class StoredStream {
  private records: StoredRecord[] = [];

  private firstOffset = 0;

  /** Appends a record and returns its offset. */
  append(data: Uint8Array, at: number): Offset {
    const offset = this.getHead();
    this.records.push({ offset, data, at });
    return offset;
  }

  /** Forgets the records that were appended before a time. */
  trim(before: number): void {
    const index = this.records.findIndex(({ at }) => at >= before);
    this.drop(index < 0 ? this.records.length : index);
  }

  /** Forgets all but the last records. */
  trimTo(count: number): void {
    this.drop(Math.max(0, this.records.length - count));
  }

  /** Returns the offset of the oldest record. */
  getFirst(): Offset {
    return this.firstOffset as Offset;
  }

  /** Returns the offset that the next record gets. */
  getHead(): Offset {
    return (this.firstOffset + this.records.length) as Offset;
  }

  /** Returns records from an offset on. */
  read(from: Offset, most: number): LogRecord[] {
    const start = from - this.firstOffset;
    return this.records.slice(start, start + most);
  }

  private drop(count: number): void {
    this.records.splice(0, count);
    this.firstOffset += count;
  }
}
