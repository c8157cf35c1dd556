/** Writes checkpoints, so that a new process can start however old a stream is. */
import type { StreamName } from '../types/ids.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import type { Projection } from '../projections/projection.js';
import { createCheckpointEntries } from '../log/checkpoint.js';
import type { StreamReader } from '../log/streamReader.js';
import type { StreamWriter } from '../log/streamWriter.js';

/** A stream to be checkpointed. */
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
  /** Returns this router's place in the rendezvous order of a stream. */
  readonly getRank: (stream: string) => number;
}

/** Checkpoints are written this many times in a retention. */
const CHECKPOINTS_PER_RETENTION = 4;
/** Each place in the rendezvous order waits this part of a retention longer. */
const RANK_DELAY_DIVISOR = 16;
const CHECKS_PER_INTERVAL = 8;

/** Writes a checkpoint of each stream where no other router has done it in time. */
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

/** Appends the state of a stream, where it is proven and there is any. */
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
