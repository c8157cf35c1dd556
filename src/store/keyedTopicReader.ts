/**
 * Reads a keyed topic: a snapshot of the newest record of each key first, then every later record in order.
 * Reads a new snapshot when unread records were trimmed, or the store returned from an older copy.
 */
import type { Logger } from '../core/logging.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { createDeferred, getErrorMessage } from '../core/utilities.js';
import type { Era, Offset } from '../types/ids.js';
import type { KeyedRecord, KeyedStore, StoreFailure, Topic } from '../types/store.js';

/** What a topic contained as of one offset. */
export interface TopicSnapshot {
  readonly keys: ReadonlySet<string>;
  /** A key that is not listed had no record in force at this offset. */
  readonly end: Offset;
  /** Whether reads failed before. Keys may be missing because their writers have not reconnected yet. */
  readonly isAfterOutage: boolean;
  /** The era to which the offsets of this snapshot and of the records after it belong. */
  readonly era: Era;
  /** Whether the store returned from an older copy since the last snapshot. Records may be missing or old. */
  readonly isAfterRewind: boolean;
  /** Time since the end of the last successful read, in milliseconds; 0 if there was none. */
  readonly gapMs: number;
}

/** Options of a topic reader. */
export interface KeyedTopicReaderOptions {
  readonly store: KeyedStore;
  readonly topic: Topic;
  readonly timers: TimerService;
  readonly logger: Logger;
  /** Long-poll time of one read, in milliseconds. Default 1,500. */
  readonly waitMs?: number;
  /**
   * Minimum time between the starts of two reads, in milliseconds. Without it a topic with many continuous writers
   * costs one call per record. Default 0.
   */
  readonly minReadIntervalMs?: number;
  /** Called after each successful read with the time since the previous one ended, in milliseconds; not after the first. */
  readonly onRead?: (gapMs: number) => void;
  /** Called for each record, in order. */
  readonly onRecord: (record: KeyedRecord) => void;
  /** Called for each snapshot, before its records. */
  readonly onSnapshot: (snapshot: TopicSnapshot) => void;
}

/** State of a topic reader. */
type ReaderState =
  | { readonly kind: 'starting' }
  | { readonly kind: 'current' }
  | { readonly kind: 'failing'; readonly since: number };

const DEFAULT_WAIT_MS = 1_500; // a read on a silent connection must end within the time allowed for changes to take effect
const RETRY_DELAY_MIN_MS = 100;
const RETRY_DELAY_MAX_MS = 600; // failed calls are as expensive as others, but changes must be read soon after an outage

const FAILURES_BEFORE_RELOAD = 2;

/** Reads one topic until it is stopped. */
export class KeyedTopicReader {
  private state: ReaderState = { kind: 'starting' };

  private offset: Offset | undefined;

  private readonly stopController = new AbortController();

  private consecutiveFailures = 0;

  private lastReadAt: number | undefined;

  /** Whether the era increased since the last snapshot. */
  private isRewound = false;

  /** The number of increases of the era; results of a read that began before the last one are ignored. */
  private rewindCount = 0;

  /** Ends the wait for the read in progress. */
  private abandonRead = () => {};

  private unsubscribe: Unsubscribe = () => {};

  constructor(private readonly options: KeyedTopicReaderOptions) {}

  start(): void {
    this.unsubscribe = this.options.store.era.onChange(({ era }) => this.handleRewind(era));
    this.run().catch((error: unknown) => {
      const { logger, topic } = this.options;
      logger.error('topic reader stopped by an unexpected error', {
        topic: topic.name,
        error: getErrorMessage(error),
      });
    });
  }

  /** Stops after the call in progress. */
  stop(): void {
    this.unsubscribe();
    this.stopController.abort();
  }

  /** Returns how long reads have been failing, in milliseconds; 0 if the last read succeeded. */
  getFailingMs(): number {
    return this.state.kind === 'failing' ? this.options.timers.now() - this.state.since : 0;
  }

  private async run(): Promise<void> {
    const { signal } = this.stopController;
    const { timers, minReadIntervalMs = 0 } = this.options;
    while (!signal.aborted) {
      const startedAt = timers.now();
      const { rewindCount } = this;
      const failure = await this.readUntilRewind();
      if (failure && rewindCount === this.rewindCount) {
        this.recordFailure(failure);
        await timers.sleep(this.getRetryDelayMs(), signal);
      } else if (rewindCount === this.rewindCount) {
        this.recordSuccess();
        await timers.sleep(Math.max(0, startedAt + minReadIntervalMs - timers.now()), signal);
      }
    }
  }

  /** A read that waits for records does not end with a rewind, so the wait for it does. */
  private readUntilRewind(): Promise<StoreFailure | undefined> {
    const done = createDeferred<StoreFailure | undefined>();
    this.abandonRead = () => done.resolve(undefined);
    this.tryRead(this.rewindCount).then(done.resolve, done.reject);
    return done.promise;
  }

  /** An exception counts as a failed read: one response that can't be handled must not end the reader. */
  private async tryRead(rewindCount: number): Promise<StoreFailure | undefined> {
    try {
      return await (this.offset === undefined
        ? this.loadSnapshot(rewindCount)
        : this.readNextPage(this.offset, rewindCount));
    } catch (error) {
      const { logger, topic } = this.options;
      const { stack } = error as Error;
      logger.error('reading a topic failed unexpectedly', { topic: topic.name, error: stack });
      return { kind: 'unavailable', detail: getErrorMessage(error) };
    }
  }

  private async loadSnapshot(rewindCount: number): Promise<StoreFailure | undefined> {
    const { store, topic, onSnapshot } = this.options;
    const newest = await store.readNewest(topic);
    if (newest.err) {
      return newest.val;
    }
    if (rewindCount !== this.rewindCount) {
      return undefined;
    }
    const { records, end, era } = newest.val;
    const present = records.filter(({ value }) => value !== undefined);
    const keys = new Set(present.map(({ key }) => key));
    const isAfterOutage = this.state.kind === 'failing';
    const isAfterRewind = this.isRewound;
    this.isRewound = false;
    onSnapshot({ keys, end, isAfterOutage, era, isAfterRewind, gapMs: this.getGapMs() ?? 0 });
    present.forEach((record) => this.deliverRecord(record));
    this.offset = end;
    return undefined;
  }

  private async readNextPage(from: Offset, rewindCount: number): Promise<StoreFailure | undefined> {
    const { store, topic, logger, waitMs = DEFAULT_WAIT_MS } = this.options;
    const page = await store.read({ topic, from, waitMs });
    if (rewindCount !== this.rewindCount) {
      return undefined;
    }
    if (page.err) {
      if (page.val.kind === 'trimmed') {
        logger.warn('unread records were trimmed; reading a new snapshot', {
          topic: topic.name,
          from,
          first: page.val.first,
        });
        this.offset = undefined;
        return undefined;
      }
      return page.val;
    }
    page.val.malformed.forEach(({ offset, detail }) =>
      logger.warn('skipped malformed record', { topic: topic.name, offset, detail }),
    );
    page.val.records.forEach((record) => this.deliverRecord(record));
    this.offset = page.val.next;
    return undefined;
  }

  private handleRewind(era: Era): void {
    const { logger, topic } = this.options;
    logger.warn('store returned from an older copy; reading a new snapshot', {
      topic: topic.name,
      era,
    });
    this.offset = undefined;
    this.isRewound ||= this.lastReadAt !== undefined;
    this.rewindCount += 1;
    this.abandonRead();
  }

  /** Logs an error of the handler, so that later records are still delivered. */
  private deliverRecord(record: KeyedRecord): void {
    const { onRecord, logger, topic } = this.options;
    try {
      onRecord(record);
    } catch (error) {
      const { key, offset } = record;
      const detail = getErrorMessage(error);
      logger.error('record handler failed', { topic: topic.name, key, offset, detail });
    }
  }

  /** Returns the time since the end of the last successful read, or `undefined` if there was none. */
  private getGapMs(): number | undefined {
    return this.lastReadAt === undefined ? undefined : this.options.timers.now() - this.lastReadAt;
  }

  private recordSuccess(): void {
    const { logger, topic, timers, onRead } = this.options;
    const gapMs = this.getGapMs();
    if (this.state.kind !== 'current') {
      const failingMs = Math.round(this.getFailingMs());
      logger.info('store topic reachable', {
        topic: topic.name,
        failingMs,
        gapMs: gapMs === undefined ? undefined : Math.round(gapMs),
        offset: this.offset,
      });
    }
    if (gapMs !== undefined) {
      onRead?.(gapMs);
    }
    this.lastReadAt = timers.now();
    this.consecutiveFailures = 0;
    this.state = { kind: 'current' };
  }

  private recordFailure(failure: StoreFailure): void {
    const { logger, topic, timers } = this.options;
    this.consecutiveFailures += 1;
    if (this.consecutiveFailures >= FAILURES_BEFORE_RELOAD) {
      // Peers may have reported other changes in the meantime; a new snapshot is authoritative.
      this.offset = undefined;
    }
    if (this.state.kind !== 'failing') {
      logger.warn('store topic unreachable', { topic: topic.name, ...failure });
      this.state = { kind: 'failing', since: timers.now() };
    }
  }

  private getRetryDelayMs(): number {
    return Math.min(RETRY_DELAY_MAX_MS, RETRY_DELAY_MIN_MS * this.consecutiveFailures);
  }
}
