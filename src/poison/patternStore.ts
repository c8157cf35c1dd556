/**
 * Keeps the poison patterns in the platform's store, so that they outlast every process. Each process reads the topic;
 * one that knows a pattern which the store lacks writes it.
 */
import type { Logger } from '../core/logging.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { KeyedTopicReader, type TopicSnapshot } from '../store/keyedTopicReader.js';
import type { KeyedRecord, KeyedStore, Topic } from '../types/store.js';
import type { PoisonPattern } from '../types/poison.js';
import {
  getPatternKey,
  type PatternKey,
  type PatternList,
  type PatternSource,
} from './patternList.js';
import { decodePattern, encodePattern } from './patternRecord.js';

/** Options of the store. */
export interface PatternStoreOptions {
  readonly store: KeyedStore;
  readonly topic: Topic;
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly patterns: PatternList;
  /** In [0, 1). */
  readonly random: () => number;
}

const READ_WAIT_MS = 10_000; // peers send new patterns at once, so reads need not end early
const RETRY_DELAY_MS = 1_000;
/** The process that found a pattern writes it; the others wait for this long, each a different time, before they do. */
const PEER_DELAY_MIN_MS = 1_500;
const PEER_DELAY_MAX_MS = 6_000;

/** The stored patterns. */
export class PatternStore {
  private readonly reader: KeyedTopicReader;

  private readonly storedKeys = new Set<PatternKey>();

  /** Cancels the pending write of each pattern that the store lacks. */
  private readonly pendingWrites = new Map<PatternKey, Unsubscribe>();

  private isStopped = false;

  constructor(private readonly options: PatternStoreOptions) {
    const { store, topic, timers, logger } = options;
    this.reader = new KeyedTopicReader({
      store,
      topic,
      timers,
      logger,
      waitMs: READ_WAIT_MS,
      onSnapshot: (snapshot) => this.applySnapshot(snapshot),
      onRecord: (record) => this.applyRecord(record),
    });
  }

  start(): void {
    this.reader.start();
  }

  stop(): void {
    this.isStopped = true;
    this.reader.stop();
    this.pendingWrites.forEach((cancel) => cancel());
  }

  /** Writes a new pattern unless it came from the store: at once if this process found it, otherwise if nobody else does. */
  recordAdded(key: PatternKey, pattern: PoisonPattern, source: PatternSource): void {
    if (source === 'store') {
      return;
    }
    const peerDelayMs =
      PEER_DELAY_MIN_MS + this.options.random() * (PEER_DELAY_MAX_MS - PEER_DELAY_MIN_MS);
    const value = encodePattern(pattern);
    if (value.err) {
      // The pattern stays in force in the processes that know it.
      const detail = value.val;
      this.options.logger.error('pattern of refused calls can not be stored', { key, detail });
      return;
    }
    this.scheduleWrite(key, value.val, source === 'evidence' ? 0 : peerDelayMs);
  }

  /** Deletes an expired pattern, unless another process has done so. */
  recordExpired(key: PatternKey): void {
    this.cancelWrite(key);
    if (this.storedKeys.has(key)) {
      this.scheduleWrite(key, undefined, this.options.random() * PEER_DELAY_MAX_MS);
    }
  }

  private scheduleWrite(key: PatternKey, value: Uint8Array | undefined, delayMs: number): void {
    this.pendingWrites.set(
      key,
      this.options.timers.subscribe(delayMs, () => {
        this.write(key, value).catch((error: unknown) => {
          this.options.logger.error('writing a pattern of refused calls failed unexpectedly', {
            key,
            error: (error as Error).stack,
          });
        });
      }),
    );
  }

  private async write(key: PatternKey, value: Uint8Array | undefined): Promise<void> {
    const { store, topic, logger } = this.options;
    const isDone = this.storedKeys.has(key) === (value !== undefined);
    if (isDone || this.isStopped) {
      this.pendingWrites.delete(key);
      return;
    }
    const result = await store.append({ topic, key, value });
    if (result.ok) {
      this.pendingWrites.delete(key);
    } else {
      logger.warn('pattern of refused calls not stored; retrying', { key, ...result.val });
      this.scheduleWrite(key, value, RETRY_DELAY_MS);
    }
  }

  private cancelWrite(key: PatternKey): void {
    this.pendingWrites.get(key)?.();
    this.pendingWrites.delete(key);
  }

  private applyRecord({ key, value, offset }: KeyedRecord): void {
    if (!value) {
      this.storedKeys.delete(key);
      this.options.patterns.remove(key, 'deleted from the store');
      return;
    }
    const pattern = decodePattern(value);
    if (pattern.err) {
      const detail = pattern.val;
      this.options.logger.warn('stored pattern ignored: malformed', { key, offset, detail });
      return;
    }
    this.storedKeys.add(key);
    this.options.patterns.add(pattern.val, 'store', { offset });
  }

  private applySnapshot({ keys, isAfterRewind }: TopicSnapshot): void {
    if (isAfterRewind) {
      this.rewriteLost(keys);
    } else {
      this.removeUnlisted(keys);
    }
  }

  /** Writes the patterns in force that the store lost when it returned from an older copy. */
  private rewriteLost(keys: ReadonlySet<string>): void {
    this.options.patterns
      .getPatterns()
      .map((pattern) => ({ pattern, key: getPatternKey(pattern) }))
      .filter(({ key }) => !keys.has(key) && !this.pendingWrites.has(key))
      .forEach(({ pattern, key }) => this.recordAdded(key, pattern, 'peer'));
    this.storedKeys.clear();
  }

  /** Lifts the patterns that were deleted from the store while this process could not read it. */
  private removeUnlisted(keys: ReadonlySet<string>): void {
    [...this.storedKeys]
      .filter((key) => !keys.has(key))
      .forEach((key) => {
        this.storedKeys.delete(key);
        this.options.patterns.remove(key, 'absent from the store');
      });
  }
}
