/**
 * Appends one process's entries to one stream. Entries that wait are sent as one record; records are
 * sent one after another, and one whose answer was lost is sent again under the same sequence until
 * its fate is known, so that a fold can drop the repeat.
 */
import type { Incarnation, StreamName } from '../types/ids.js';
import type { Batch, Entry } from '../types/records.js';
import type { LogService } from '../types/platform.js';
import type { TimerService } from '../core/timers.js';
import { createDeferred, type Deferred } from '../core/utilities.js';
import { encodeBatch } from './codec.js';

/** Options of a stream writer. */
export interface StreamWriterOptions {
  readonly log: LogService;
  readonly timers: TimerService;
  readonly stream: StreamName;
  readonly incarnation: Incarnation;
  /** Least time between two appends, in milliseconds; grows while the log throttles. Default 20. */
  readonly flushIntervalMs?: number;
  /** Longest time between two tries of one append, in milliseconds. Default 1,000. */
  readonly retryDelayMaxMs?: number;
  /** Called for each failed try, with its reason. */
  readonly onRetry?: (reason: 'throttled' | 'unavailable') => void;
}

interface PendingEntry {
  readonly entry: Entry;
  readonly done: Deferred<void>;
}

const RETRY_BASE_MS = 25;
const FLUSH_INTERVAL_MAX_MS = 5_000;

/**
 * A writer that owns the process's sequence in one stream.
 *
 * @example
 * await writer.append({ kind: 'return', budget, tokens: 100 }); // resolves when stored
 */
export class StreamWriter {
  private pendingEntries: PendingEntry[] = [];

  private sequence = 0;

  private isRunning = false;

  private isStopped = false;

  private flushIntervalMs: number;

  private failingSince: number | undefined;

  private acknowledgedSequence = 0;

  private readonly baseFlushIntervalMs: number;

  constructor(private readonly options: StreamWriterOptions) {
    this.baseFlushIntervalMs = options.flushIntervalMs ?? 20;
    this.flushIntervalMs = this.baseFlushIntervalMs;
  }

  /** Appends an entry; resolves when the log holds it. Never rejects and never gives up. */
  append(entry: Entry): Promise<void> {
    const done = createDeferred<void>();
    this.pendingEntries.push({ entry, done });
    if (!this.isRunning && !this.isStopped) {
      this.isRunning = true;
      this.run().catch(() => {});
    }
    return done.promise;
  }

  /** Tells the writer that a record of its own was read back, which settles a lost answer. */
  acknowledge(batch: Batch): void {
    if (batch.incarnation === this.options.incarnation) {
      this.acknowledgedSequence = Math.max(this.acknowledgedSequence, batch.sequence);
    }
  }

  /** Returns for how long appends have been failing, in milliseconds; 0 while they succeed. */
  getFailingMs(): number {
    return this.failingSince === undefined ? 0 : this.options.timers.now() - this.failingSince;
  }

  /** Returns whether entries wait for the log. */
  isIdle(): boolean {
    return !this.isRunning;
  }

  /** Stops sending. Entries that wait stay unsent. */
  stop(): void {
    this.isStopped = true;
  }

  private async run(): Promise<void> {
    const { timers } = this.options;
    while (this.pendingEntries.length > 0 && !this.isStopped) {
      const entries = this.pendingEntries;
      this.pendingEntries = [];
      this.sequence += 1;
      // Each append needs the fate of the one before it.

      await this.appendUntilStored(entries.map(({ entry }) => entry));
      entries.forEach(({ done }) => done.resolve());

      await timers.sleep(this.flushIntervalMs);
    }
    this.isRunning = false;
  }

  private async appendUntilStored(entries: readonly Entry[]): Promise<void> {
    const { log, timers, stream, incarnation, retryDelayMaxMs: retryMaxMs = 1_000 } = this.options;
    const data = encodeBatch({ incarnation, sequence: this.sequence, entries });
    let delayMs = RETRY_BASE_MS;
    while (this.acknowledgedSequence < this.sequence && !this.isStopped) {
      const result = await log.append(stream, data);
      if (result.ok) {
        this.onStored();
        return;
      }
      const throttled = result.val.kind === 'throttled';
      this.onFailed(throttled);
      delayMs = Math.min(delayMs * 2, retryMaxMs);

      await timers.sleep(result.val.kind === 'throttled' ? result.val.retryAfterMs : delayMs);
    }
    this.failingSince = undefined;
  }

  private onStored(): void {
    this.failingSince = undefined;
    this.flushIntervalMs = Math.max(this.baseFlushIntervalMs, this.flushIntervalMs * 0.9);
  }

  private onFailed(throttled: boolean): void {
    this.failingSince ??= this.options.timers.now();
    if (throttled) {
      this.flushIntervalMs = Math.min(this.flushIntervalMs * 2, FLUSH_INTERVAL_MAX_MS);
    }
    this.options.onRetry?.(throttled ? 'throttled' : 'unavailable');
  }
}
