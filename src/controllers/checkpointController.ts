/** Writes checkpoints, so that a new process can restore a stream's state after old entries have expired. */
import type { StreamName } from '../types/ids.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import type { Projection } from '../projections/projection.js';
import { createCheckpointEntries } from '../log/checkpoint.js';
import type { StreamReader } from '../log/streamReader.js';
import type { StreamWriter } from '../log/streamWriter.js';

/** A stream with the reader and writer used to checkpoint it. */
export interface CheckpointedStream {
  readonly stream: StreamName;
  readonly reader: StreamReader<Projection>;
  readonly writer: StreamWriter;
}

/** Options of the checkpoint controller. Times are in milliseconds. */
export interface CheckpointControllerOptions {
  readonly timers: TimerService;
  readonly streams: readonly CheckpointedStream[];
  readonly retentionMs: number;
  /** Returns this router's rank in the rendezvous order of a stream, from 0. */
  readonly getRank: (stream: string) => number;
}

/** Checkpoints written per retention period. */
const CHECKPOINTS_PER_RETENTION = 4;
/** The delay per rank in the rendezvous order is the retention period divided by this number. */
const RANK_DELAY_DIVISOR = 16;
/** Checks for a due checkpoint per checkpoint interval. */
const CHECKS_PER_INTERVAL = 8;

/** Writes a checkpoint of each stream if no router of a lower rank has written one in time. */
export class CheckpointController {
  private unsubscribe: Unsubscribe = () => {};

  constructor(private readonly options: CheckpointControllerOptions) {}

  /** Starts checking. */
  start(): void {
    const { timers, retentionMs } = this.options;
    const intervalMs = retentionMs / CHECKPOINTS_PER_RETENTION / CHECKS_PER_INTERVAL;
    this.unsubscribe = timers.subscribeEvery(intervalMs, () => this.check());
  }

  /** Stops checking. */
  stop(): void {
    this.unsubscribe();
  }

  /** Writes a checkpoint of every stream. */
  writeAll(): void {
    this.options.streams.forEach(writeCheckpoint);
  }

  /** Writes the checkpoints that are due. */
  check(): void {
    const { streams, retentionMs, getRank } = this.options;
    streams.forEach((stream) => {
      const delayMs = (getRank(stream.stream) * retentionMs) / RANK_DELAY_DIVISOR;
      const dueMs = retentionMs / CHECKPOINTS_PER_RETENTION + delayMs;
      if (stream.reader.getCheckpointAgeMs() >= dueMs) {
        writeCheckpoint(stream);
      }
    });
  }
}

/** Appends a checkpoint of a stream if its state is complete, not empty, and no append is in flight. */
export function writeCheckpoint({ reader, writer }: CheckpointedStream): void {
  if (!reader.isReady() || !writer.isIdle() || reader.getNextOffset() === 0) {
    return;
  }
  createCheckpointEntries({
    asOf: reader.getNextOffset(),
    state: reader.projection.save(),
    duplicates: reader.saveDuplicateFilter(),
  }).forEach((entry) => writer.append(entry));
}
