/**
 * Follows one stream and keeps its fold. Starts from offset 0 while the log still has it, otherwise
 * from a checkpoint with every record after it; a reader that has neither is not ready.
 */
import type { Offset, StreamName } from '../types/ids.js';
import type { Batch, CheckpointEntry, Entry } from '../types/records.js';
import type { LogPage, LogRecord, LogService } from '../types/platform.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { DuplicateFilter, type Fold } from '../folds/fold.js';
import { decodeBatch } from './codec.js';
import { CheckpointAssembler, loadCheckpoint } from './checkpoint.js';

/** Options of a stream reader. */
export interface StreamReaderOptions {
  readonly log: LogService;
  readonly timers: TimerService;
  readonly stream: StreamName;
  /** Creates the empty state; called again where the reader has to start over. */
  readonly createFold: () => Fold;
  /** How long one read waits for new records, in milliseconds. Default 10,000. */
  readonly pollMs?: number;
  /** Time between tries while the log fails, in milliseconds. Default 250. */
  readonly retryMs?: number;
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
export class StreamReader<State extends Fold> {
  fold: State;

  private duplicates = new DuplicateFilter();

  private next = 0 as Offset;

  /** Whether the fold is proven: it covers every record up to `next`. */
  private proven = true;

  /** Whether the reader has reached the head of the stream since its start. */
  private caughtUp = false;

  private failingSince: number | undefined;

  private buffered: BufferedBatch[] = [];

  private assembler = new CheckpointAssembler();

  private checkpointAt: number;

  private readonly stopper = new AbortController();

  private readonly waiters = new Set<() => void>();

  constructor(private readonly options: StreamReaderOptions) {
    this.fold = options.createFold() as State;
    this.checkpointAt = options.timers.now();
  }

  /** Starts following. */
  start(): void {
    this.run().catch(() => {});
  }

  /** Stops following; the state stays as it is. */
  stop(): void {
    this.stopper.abort();
    this.notify();
  }

  /** Returns whether the state is proven and has once reached the head. */
  isReady(): boolean {
    return this.proven && this.caughtUp;
  }

  /** Returns for how long reads have been failing, in milliseconds. */
  getFailingMs(): number {
    return this.failingSince === undefined ? 0 : this.options.timers.now() - this.failingSince;
  }

  /** Returns the offset after the last folded record. */
  getPosition(): Offset {
    return this.next;
  }

  /** Returns how long ago a checkpoint was last read, or the reader was made, in milliseconds. */
  getCheckpointAgeMs(): number {
    return this.options.timers.now() - this.checkpointAt;
  }

  /** Returns the duplicate filter's memory, which belongs into checkpoints. */
  saveDuplicates(): unknown {
    return this.duplicates.save();
  }

  /** Calls the listener after each change of the state; returns how to end that. */
  onChange(listener: () => void): () => void {
    this.waiters.add(listener);
    return () => this.waiters.delete(listener);
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
    const { log, timers, stream, pollMs = 10_000, retryMs = 250 } = this.options;
    const { signal } = this.stopper;
    while (!signal.aborted) {
      // Reads follow one another.

      const result = await log.read(stream, this.next, this.caughtUp ? pollMs : 0);
      if (signal.aborted) {
        return;
      }
      if (result.ok) {
        this.failingSince = undefined;
        this.foldPage(result.val);
      } else if (result.val.kind === 'trimmed') {
        this.startOver(result.val.first);
      } else {
        this.failingSince ??= timers.now();

        await timers.sleep(retryMs, signal);
      }
    }
  }

  private foldPage(page: LogPage): void {
    const batches: Batch[] = [];
    const wasProven = this.proven;
    page.records.forEach((record) => {
      const batch = this.foldRecord(record);
      if (batch) {
        batches.push(batch);
      }
    });
    const reachedHead = this.next >= page.head;
    const isRestored = this.proven && !wasProven;
    const changed = batches.length > 0 || isRestored || (reachedHead && !this.caughtUp);
    this.caughtUp ||= reachedHead;
    if (changed) {
      this.options.onBatches?.(batches);
      this.notify();
    }
  }

  private foldRecord(record: LogRecord): Batch | undefined {
    this.next = (record.offset + 1) as Offset;
    const batch = decodeBatch(record.data);
    if (!batch) {
      return undefined;
    }
    if (!this.proven) {
      this.buffered.push({ offset: record.offset, batch });
      this.assemble(batch);
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
        this.checkpointAt = this.options.timers.now();
      }
      return;
    }
    this.fold.apply(entry, { offset, incarnation: batch.incarnation });
  }

  /** Looks for a checkpoint among the buffered records and continues from it. */
  private assemble(batch: Batch): void {
    const parts = batch.entries.filter(
      (entry): entry is CheckpointEntry => entry.kind === 'checkpoint',
    );
    parts.forEach((part) => {
      const data = this.assembler.add(batch.incarnation, part);
      const first = this.buffered[0]?.offset ?? 0;
      if (!data || this.proven || part.asOf < first) {
        return;
      }
      const saved = loadCheckpoint(data);
      this.fold.load(saved.state);
      this.duplicates.load(saved.duplicates);
      this.replayBuffered(part.asOf);
    });
  }

  private replayBuffered(from: Offset): void {
    this.proven = true;
    const { buffered } = this;
    this.buffered = [];
    buffered
      .filter(({ offset }) => offset >= from)
      .forEach(({ offset, batch }) => this.applyBatch(offset, batch));
    this.options.onBatches?.(buffered.map(({ batch }) => batch));
    this.options.onRestored?.();
  }

  /** Records are missing: forgets the state and looks for a checkpoint from the oldest record on. */
  private startOver(first: Offset): void {
    this.next = first;
    this.proven = false;
    this.caughtUp = false;
    this.buffered = [];
    this.assembler = new CheckpointAssembler();
    this.duplicates = new DuplicateFilter();
    this.fold = this.options.createFold() as State;
    this.notify();
  }

  private notify(): void {
    [...this.waiters].forEach((listener) => listener());
  }
}
