/**
 * Appends the entries of one process to one stream. Pending entries are batched into one record. Records
 * are appended in order; one whose response was lost is retried with the same sequence until its outcome
 * is known, so that readers can drop duplicates.
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
  /** Minimum time between two appends, in milliseconds; increased while the log throttles. Default 20. */
  readonly flushIntervalMs?: number;
  /** Maximum delay between two attempts of one append, in milliseconds. Default 1,000. */
  readonly retryDelayMaxMs?: number;
  /** Called for each failed attempt, with its reason. */
  readonly onRetry?: (reason: 'throttled' | 'unavailable') => void;
}

interface PendingEntry {
  readonly entry: Entry;
  readonly done: Deferred<void>;
}

const RETRY_BASE_MS = 25;
const FLUSH_INTERVAL_MAX_MS = 5_000;

/**
 * Appends to one stream and assigns the sequence of each batch.
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

  /** Appends an entry; resolves when the log has stored it. Retries without limit and never rejects. */
  append(entry: Entry): Promise<void> {
    const done = createDeferred<void>();
    this.pendingEntries.push({ entry, done });
    if (!this.isRunning && !this.isStopped) {
      this.isRunning = true;
      this.run().catch(() => {});
    }
    return done.promise;
  }

  /** Marks a batch that was read back as stored, in case the response to its append was lost. */
  acknowledge(batch: Batch): void {
    if (batch.incarnation === this.options.incarnation) {
      this.acknowledgedSequence = Math.max(this.acknowledgedSequence, batch.sequence);
    }
  }

  /** Returns for how long appends have been failing, in milliseconds; 0 while they succeed. */
  getFailingMs(): number {
    return this.failingSince === undefined ? 0 : this.options.timers.now() - this.failingSince;
  }

  /** Returns whether no entries are pending or being appended. */
  isIdle(): boolean {
    return !this.isRunning;
  }

  /** Stops appending. Pending entries are not appended. */
  stop(): void {
    this.isStopped = true;
  }

  private async run(): Promise<void> {
    const { timers } = this.options;
    while (this.pendingEntries.length > 0 && !this.isStopped) {
      const entries = this.pendingEntries;
      this.pendingEntries = [];
      this.sequence += 1;
      // The outcome of an append must be known before the next one starts, to keep the order.
      await this.appendUntilStored(entries.map(({ entry }) => entry));
      entries.forEach(({ done }) => done.resolve());

      await timers.sleep(this.flushIntervalMs);
    }
    this.isRunning = false;
  }

  private async appendUntilStored(entries: readonly Entry[]): Promise<void> {
    const { log, timers, stream, incarnation, retryDelayMaxMs = 1_000 } = this.options;
    const data = encodeBatch({ incarnation, sequence: this.sequence, entries });
    let delayMs = RETRY_BASE_MS;
    while (this.acknowledgedSequence < this.sequence && !this.isStopped) {
      const result = await log.append(stream, data);
      if (result.ok) {
        this.onStored();
        return;
      }
      const isThrottled = result.val.kind === 'throttled';
      this.onFailed(isThrottled);
      delayMs = Math.min(delayMs * 2, retryDelayMaxMs);

      await timers.sleep(result.val.kind === 'throttled' ? result.val.retryAfterMs : delayMs);
    }
    this.failingSince = undefined;
  }

  private onStored(): void {
    this.failingSince = undefined;
    this.flushIntervalMs = Math.max(this.baseFlushIntervalMs, this.flushIntervalMs * 0.9);
  }

  private onFailed(isThrottled: boolean): void {
    this.failingSince ??= this.options.timers.now();
    if (isThrottled) {
      this.flushIntervalMs = Math.min(this.flushIntervalMs * 2, FLUSH_INTERVAL_MAX_MS);
    }
    this.options.onRetry?.(isThrottled ? 'throttled' : 'unavailable');
  }
}
