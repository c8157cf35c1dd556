/**
 * Follows one stream and maintains its projection. Starts at offset 0 if the log still retains it, otherwise
 * at a checkpoint after which all records are retained. Without either, the reader is not ready.
 */
import type { Offset, StreamName } from '../types/ids.js';
import type { Batch, CheckpointEntry, Entry } from '../types/records.js';
import type { LogPage, LogRecord, LogService } from '../types/platform.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { DuplicateFilter, type Projection } from '../projections/projection.js';
import { decodeBatch } from './codec.js';
import { CheckpointAssembler, decodeCheckpoint } from './checkpoint.js';

/** Options of a stream reader. */
export interface StreamReaderOptions {
  readonly log: LogService;
  readonly timers: TimerService;
  readonly stream: StreamName;
  /** Creates an empty projection; called again if the reader has to start over. */
  readonly createProjection: () => Projection;
  /** Long-poll time of a read at the head of the stream, in milliseconds. Default 10,000. */
  readonly pollMs?: number;
  /** Delay before a failed read is retried, in milliseconds. Default 250. */
  readonly retryDelayMs?: number;
  /** Called after the projection was restored from a checkpoint. */
  readonly onRestored?: () => void;
  /** Called after records were applied, with their batches. */
  readonly onBatches?: (batches: readonly Batch[]) => void;
}

interface BufferedBatch {
  readonly offset: Offset;
  readonly batch: Batch;
}

/** Maintains the projection of one stream. */
export class StreamReader<State extends Projection> {
  projection: State;

  private duplicates = new DuplicateFilter();

  private next = 0 as Offset;

  /** Whether the projection covers every record before `next`. */
  private isComplete = true;

  /** Whether the reader has reached the head of the stream since it started. */
  private isCaughtUp = false;

  private failingSince: number | undefined;

  private bufferedBatches: BufferedBatch[] = [];

  private checkpointAssembler = new CheckpointAssembler();

  private lastCheckpointAt: number;

  private readonly abortController = new AbortController();

  private readonly listeners = new Set<() => void>();

  constructor(private readonly options: StreamReaderOptions) {
    this.projection = options.createProjection() as State;
    this.lastCheckpointAt = options.timers.now();
  }

  /** Starts following the stream. */
  start(): void {
    this.run().catch(() => {});
  }

  /** Stops following the stream. The projection is kept. */
  stop(): void {
    this.abortController.abort();
    this.notifyListeners();
  }

  /** Returns whether the projection is complete and the reader has reached the head once. */
  isReady(): boolean {
    return this.isComplete && this.isCaughtUp;
  }

  /** Returns for how long reads have been failing, in milliseconds; 0 while they succeed. */
  getFailingMs(): number {
    return this.failingSince === undefined ? 0 : this.options.timers.now() - this.failingSince;
  }

  /** Returns the offset of the next record to read. */
  getNextOffset(): Offset {
    return this.next;
  }

  /** Returns the time since a checkpoint was last read, or since the reader was created, in milliseconds. */
  getCheckpointAgeMs(): number {
    return this.options.timers.now() - this.lastCheckpointAt;
  }

  /** Returns the state of the duplicate filter, which is part of a checkpoint. */
  saveDuplicateFilter(): unknown {
    return this.duplicates.save();
  }

  /** Calls the listener after each change of the projection. Returns the function to unsubscribe. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Resolves with whether the condition became true within the timeout.
   *
   * @example
   * const won = await reader.waitFor(() => reader.projection.claims.has(key), 1_000);
   */
  waitFor(condition: () => boolean, timeoutMs: number): Promise<boolean> {
    if (condition()) {
      return Promise.resolve(true);
    }
    return new Promise((resolve) => {
      let unsubscribe: Unsubscribe = () => {};
      let cancel: Unsubscribe = () => {};
      const finish = (result: boolean) => {
        unsubscribe();
        cancel();
        resolve(result);
      };
      cancel = this.options.timers.subscribe(timeoutMs, () => finish(condition()));
      unsubscribe = this.onChange(() => {
        if (condition()) {
          finish(true);
        }
      });
    });
  }

  private async run(): Promise<void> {
    const { log, timers, stream, pollMs = 10_000, retryDelayMs = 250 } = this.options;
    const { signal } = this.abortController;
    while (!signal.aborted) {
      // Each read starts at the offset where the one before ended.
      const result = await log.read(stream, this.next, this.isCaughtUp ? pollMs : 0);
      if (signal.aborted) {
        return;
      }
      if (result.ok) {
        this.failingSince = undefined;
        this.applyPage(result.val);
      } else if (result.val.kind === 'trimmed') {
        this.startOver(result.val.first);
      } else {
        this.failingSince ??= timers.now();

        await timers.sleep(retryDelayMs, signal);
      }
    }
  }

  private applyPage(page: LogPage): void {
    const batches: Batch[] = [];
    const wasComplete = this.isComplete;
    page.records.forEach((record) => {
      const batch = this.applyRecord(record);
      if (batch) {
        batches.push(batch);
      }
    });
    const reachedHead = this.next >= page.head;
    const isRestored = this.isComplete && !wasComplete;
    const hasChanged = batches.length > 0 || isRestored || (reachedHead && !this.isCaughtUp);
    this.isCaughtUp ||= reachedHead;
    if (hasChanged) {
      this.options.onBatches?.(batches);
      this.notifyListeners();
    }
  }

  private applyRecord(record: LogRecord): Batch | undefined {
    this.next = (record.offset + 1) as Offset;
    const batch = decodeBatch(record.data);
    if (!batch) {
      return undefined;
    }
    if (!this.isComplete) {
      this.bufferedBatches.push({ offset: record.offset, batch });
      this.restoreFromCheckpoint(batch);
      return undefined;
    }
    return this.applyBatch(record.offset, batch) ? batch : undefined;
  }

  private applyBatch(offset: Offset, batch: Batch): boolean {
    if (!this.duplicates.accept(batch)) {
      return false;
    }
    batch.entries.forEach((entry) => this.applyEntry(entry, offset, batch));
    return true;
  }

  private applyEntry(entry: Entry, offset: Offset, batch: Batch): void {
    if (entry.kind === 'checkpoint') {
      if (entry.part === entry.parts - 1) {
        this.lastCheckpointAt = this.options.timers.now();
      }
      return;
    }
    this.projection.apply(entry, { offset, incarnation: batch.incarnation });
  }

  /** Adds the checkpoint parts of a batch and, once a usable checkpoint is complete, restores its state. */
  private restoreFromCheckpoint(batch: Batch): void {
    const parts = batch.entries.filter(
      (entry): entry is CheckpointEntry => entry.kind === 'checkpoint',
    );
    parts.forEach((part) => {
      const data = this.checkpointAssembler.add(batch.incarnation, part);
      const first = this.bufferedBatches[0]?.offset ?? 0;
      if (!data || this.isComplete || part.asOf < first) {
        return;
      }
      const saved = decodeCheckpoint(data);
      this.projection.load(saved.state);
      this.duplicates.load(saved.duplicates);
      this.replayBufferedBatches(part.asOf);
    });
  }

  private replayBufferedBatches(from: Offset): void {
    this.isComplete = true;
    const { bufferedBatches } = this;
    this.bufferedBatches = [];
    bufferedBatches
      .filter(({ offset }) => offset >= from)
      .forEach(({ offset, batch }) => this.applyBatch(offset, batch));
    this.options.onBatches?.(bufferedBatches.map(({ batch }) => batch));
    this.options.onRestored?.();
  }

  /** Discards the state, since records are missing, and reads from the oldest record to find a checkpoint. */
  private startOver(first: Offset): void {
    this.next = first;
    this.isComplete = false;
    this.isCaughtUp = false;
    this.bufferedBatches = [];
    this.checkpointAssembler = new CheckpointAssembler();
    this.duplicates = new DuplicateFilter();
    this.projection = this.options.createProjection() as State;
    this.notifyListeners();
  }

  private notifyListeners(): void {
    [...this.listeners].forEach((listener) => listener());
  }
}
