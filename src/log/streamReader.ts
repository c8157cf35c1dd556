/**
 * Follows one stream and keeps its fold. Starts from offset 0 while the log still has it, otherwise
 * from a checkpoint with every record after it; a reader that has neither is not ready.
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
  /** Creates the empty state; called again where the reader has to start over. */
  readonly createProjection: () => Projection;
  /** How long one read waits for new records, in milliseconds. Default 10,000. */
  readonly pollMs?: number;
  /** Time between tries while the log fails, in milliseconds. Default 250. */
  readonly retryDelayMs?: number;
  /** Called after the state was restored from a checkpoint. */
  readonly onRestored?: () => void;
  /** Called after records were folded, with their batches. */
  readonly onBatches?: (batches: readonly Batch[]) => void;
}

interface BufferedBatch {
  readonly offset: Offset;
  readonly batch: Batch;
}

/** A task that keeps the state of one stream. */
export class StreamReader<State extends Projection> {
  projection: State;

  private duplicates = new DuplicateFilter();

  private next = 0 as Offset;

  /** Whether the fold is proven: it covers every record up to `next`. */
  private isComplete = true;

  /** Whether the reader has reached the head of the stream since its start. */
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

  /** Starts following. */
  start(): void {
    this.run().catch(() => {});
  }

  /** Stops following; the state stays as it is. */
  stop(): void {
    this.abortController.abort();
    this.notifyListeners();
  }

  /** Returns whether the state is proven and has once reached the head. */
  isReady(): boolean {
    return this.isComplete && this.isCaughtUp;
  }

  /** Returns for how long reads have been failing, in milliseconds. */
  getFailingMs(): number {
    return this.failingSince === undefined ? 0 : this.options.timers.now() - this.failingSince;
  }

  /** Returns the offset after the last folded record. */
  getNextOffset(): Offset {
    return this.next;
  }

  /** Returns how long ago a checkpoint was last read, or the reader was made, in milliseconds. */
  getCheckpointAgeMs(): number {
    return this.options.timers.now() - this.lastCheckpointAt;
  }

  /** Returns the duplicate filter's memory, which belongs into checkpoints. */
  saveDuplicateFilter(): unknown {
    return this.duplicates.save();
  }

  /** Calls the listener after each change of the state; returns how to end that. */
  onChange(listener: () => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Resolves with whether the condition came true within the time.
   *
   * @example
   * const won = await reader.waitFor(() => reader.fold.claims.has(key), 1_000);
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
    const { log, timers, stream, pollMs = 10_000, retryDelayMs: retryMs = 250 } = this.options;
    const { signal } = this.abortController;
    while (!signal.aborted) {
      // Reads follow one another.

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

        await timers.sleep(retryMs, signal);
      }
    }
  }

  private applyPage(page: LogPage): void {
    const batches: Batch[] = [];
    const wasProven = this.isComplete;
    page.records.forEach((record) => {
      const batch = this.applyRecord(record);
      if (batch) {
        batches.push(batch);
      }
    });
    const reachedHead = this.next >= page.head;
    const isRestored = this.isComplete && !wasProven;
    const changed = batches.length > 0 || isRestored || (reachedHead && !this.isCaughtUp);
    this.isCaughtUp ||= reachedHead;
    if (changed) {
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

  /** Looks for a checkpoint among the buffered records and continues from it. */
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
    const { bufferedBatches: buffered } = this;
    this.bufferedBatches = [];
    buffered
      .filter(({ offset }) => offset >= from)
      .forEach(({ offset, batch }) => this.applyBatch(offset, batch));
    this.options.onBatches?.(buffered.map(({ batch }) => batch));
    this.options.onRestored?.();
  }

  /** Records are missing: forgets the state and looks for a checkpoint from the oldest record on. */
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
