/** Reads the records of all processes about the streams that they began. */
import type { Logger } from '../../core/logging.js';
import type { TimerService } from '../../core/timers.js';
import type { Era, ServiceName } from '../../types/ids.js';
import type { KeyedStore, NewestRecords, Topic } from '../../types/store.js';
import type { RecordedOrigin } from './decideOrigin.js';
import type { StreamKey } from './streamKey.js';
import {
  decodeStreamRecord,
  hasKey,
  type StreamRecord,
  type VersionStreams,
} from './streamRecord.js';
import type { SeenVersion } from './versionHistory.js';

/** Options of an index. */
export interface StreamIndexOptions {
  readonly store: KeyedStore;
  readonly topic: Topic;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Returns the number of vms that read the topic. */
  readonly getVmCount: () => number;
}

interface ReadRecord {
  readonly value: Uint8Array;
  /** `undefined` if the record is malformed. */
  readonly record: StreamRecord | undefined;
}

/** Many calls are taken up at once after a failure; they share reads that are this far apart. */
const READ_INTERVAL_MIN_MS = 50;
/** The records of a larger fleet are larger together, and more vms read them. */
const READ_INTERVAL_PER_VM_MS = 2;

/** What the records said when they were last read. */
export class StreamIndex {
  private records = new Map<string, ReadRecord>();

  private currentRead: Promise<unknown> = Promise.resolve();

  /** A read that has not begun, so that it returns everything that was stored before now. */
  private nextRead: Promise<boolean> | undefined;

  private lastReadAt = Number.NEGATIVE_INFINITY;

  /** The era of the last read; `undefined` before it. */
  private era: Era | undefined;

  constructor(private readonly options: StreamIndexOptions) {}

  /** Returns what the records say of a stream. */
  find(key: StreamKey): readonly RecordedOrigin[] {
    return this.getRows()
      .filter(({ keys }) => hasKey(keys, key))
      .map(({ service, version }) => ({ service, version }));
  }

  /** Returns the versions of a service that the records name. */
  getVersions(service: ServiceName): ReadonlySet<SeenVersion> {
    const rows = this.getRows().filter((row) => row.service === service);
    return new Set(rows.map(({ version }) => version));
  }

  /**
   * Returns whether the last read shows every version that may have been in service. A malformed record may name any one.
   * One of an earlier era shows that the store has returned to an older copy, which may lack records of processes that
   * have ended; those that live write theirs again.
   */
  isComplete(): boolean {
    const { era } = this;
    return (
      era !== undefined && [...this.records.values()].every(({ record }) => record?.era === era)
    );
  }

  /** Reads the records; resolves with whether that succeeded. The read begins after the call. */
  refresh(): Promise<boolean> {
    this.nextRead ??= this.readNext();
    return this.nextRead;
  }

  private getRows(): readonly VersionStreams[] {
    return [...this.records.values()].flatMap(({ record }) => record?.rows ?? []);
  }

  private async readNext(): Promise<boolean> {
    const { timers, getVmCount } = this.options;
    await this.currentRead;
    const intervalMs = Math.max(READ_INTERVAL_MIN_MS, getVmCount() * READ_INTERVAL_PER_VM_MS);
    const waitMs = this.lastReadAt + intervalMs - timers.now();
    if (waitMs > 0) {
      await timers.sleep(waitMs);
    }
    this.nextRead = undefined;
    this.lastReadAt = timers.now();
    const read = this.read();
    // A read that fails unexpectedly must not stop the next ones.
    this.currentRead = read.catch(() => {});
    return read;
  }

  private async read(): Promise<boolean> {
    const { store, topic, logger } = this.options;
    const result = await store.readNewest(topic);
    if (result.err) {
      logger.warn('records of streams not read', { ...result.val });
      return false;
    }
    this.apply(result.val);
    return true;
  }

  private apply({ records, era }: NewestRecords): void {
    const known = this.records;
    this.records = new Map();
    records.forEach(({ key, value }) => {
      if (value) {
        const previous = known.get(key);
        const isSame = previous !== undefined && Buffer.compare(previous.value, value) === 0;
        this.records.set(key, isSame ? previous : { value, record: this.decode(key, value) });
      }
    });
    this.era = era;
  }

  private decode(key: string, value: Uint8Array): StreamRecord | undefined {
    const record = decodeStreamRecord(value);
    if (record.err) {
      this.options.logger.warn('record of streams can not be read', { key, detail: record.val });
      return undefined;
    }
    return record.val;
  }
}
