/** A log stream in memory: records with offsets, trimmed by age or count. */
import type { Offset } from '../src/types/ids.js';
import type { LogRecord } from '../src/types/platform.js';

interface StoredRecord extends LogRecord {
  readonly appendedAt: number;
}

export class InMemoryStream {
  private records: StoredRecord[] = [];

  private firstOffset = 0;

  /** Appends a record and returns its offset. */
  append(data: Uint8Array, appendedAt: number): Offset {
    const offset = this.getHeadOffset();
    this.records.push({ offset, data, appendedAt });
    return offset;
  }

  /** Removes the records that were appended before a time. */
  trimBefore(cutoff: number): void {
    const index = this.records.findIndex(({ appendedAt }) => appendedAt >= cutoff);
    this.removeFirst(index < 0 ? this.records.length : index);
  }

  /** Removes all but the last `count` records. */
  trimToLast(count: number): void {
    this.removeFirst(Math.max(0, this.records.length - count));
  }

  /** Returns the offset of the oldest retained record. */
  getFirstOffset(): Offset {
    return this.firstOffset as Offset;
  }

  /** Returns the offset of the next append. */
  getHeadOffset(): Offset {
    return (this.firstOffset + this.records.length) as Offset;
  }

  /** Returns up to `maxRecords` records from an offset on. */
  read(from: Offset, maxRecords: number): LogRecord[] {
    const start = from - this.firstOffset;
    return this.records.slice(start, start + maxRecords);
  }

  private removeFirst(count: number): void {
    this.records.splice(0, count);
    this.firstOffset += count;
  }
}
