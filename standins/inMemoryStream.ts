/** The memory of a stand-in log: streams of records with offsets and a retention. */
import type { Offset } from '../src/types/ids.js';
import type { LogRecord } from '../src/types/platform.js';

interface StoredRecord extends LogRecord {
  readonly appendedAt: number;
}

/** One stream. */
export class InMemoryStream {
  private records: StoredRecord[] = [];

  private firstOffset = 0;

  /** Appends a record and returns its offset. */
  append(data: Uint8Array, appendedAt: number): Offset {
    const offset = this.getHeadOffset();
    this.records.push({ offset, data, appendedAt });
    return offset;
  }

  /** Forgets the records that were appended before a time. */
  trimBefore(before: number): void {
    const index = this.records.findIndex(({ appendedAt }) => appendedAt >= before);
    this.removeFirst(index < 0 ? this.records.length : index);
  }

  /** Forgets all but the last records. */
  trimToLast(count: number): void {
    this.removeFirst(Math.max(0, this.records.length - count));
  }

  /** Returns the offset of the oldest record. */
  getFirstOffset(): Offset {
    return this.firstOffset as Offset;
  }

  /** Returns the offset that the next record gets. */
  getHeadOffset(): Offset {
    return (this.firstOffset + this.records.length) as Offset;
  }

  /** Returns records from an offset on. */
  read(from: Offset, most: number): LogRecord[] {
    const start = from - this.firstOffset;
    return this.records.slice(start, start + most);
  }

  private removeFirst(count: number): void {
    this.records.splice(0, count);
    this.firstOffset += count;
  }
}
