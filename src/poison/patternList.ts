/** The poison patterns in force in this process. */
import { LRUCache } from 'lru-cache';
import type { Logger } from '../core/logging.js';
import type { Metrics } from '../core/metrics.js';
import type { TimerService, Unsubscribe } from '../core/timers.js';
import { getSha256 } from '../core/utilities.js';
import type { Feature, PoisonPattern } from '../types/poison.js';
import { isCovered, isMatch } from './assessFeatures.js';

/** Identifies a pattern in the store. */
export type PatternKey = string;

/** Where a pattern was learned. */
export type PatternSource = 'evidence' | 'peer' | 'store';

/** Options of the list. */
export interface PatternListOptions {
  readonly timers: TimerService;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** A pattern in force. */
interface ActivePattern {
  readonly pattern: PoisonPattern;
  readonly expiresAt: number;
  readonly cancelExpiry: Unsubscribe;
}

/** After this time a pattern is lifted: its calls may be harmless by then, and one more crash brings it back. */
const PATTERN_LIFETIME_MS = 600_000;
const KEY_LENGTH = 32;
const PATTERNS_MAX = 1_000;

/** Patterns with their expiry. Notifies its listeners of new and expired patterns. */
export class PatternList {
  private readonly active = new LRUCache<PatternKey, ActivePattern>({
    max: PATTERNS_MAX,
    dispose: ({ cancelExpiry }) => cancelExpiry(),
  });

  constructor(private readonly options: PatternListOptions) {}

  /** Called with each new pattern. */
  onAdd: (key: PatternKey, pattern: PoisonPattern, source: PatternSource) => void = () => {};

  /** Called when a pattern reached the end of its lifetime. */
  onExpire: (key: PatternKey) => void = () => {};

  /** Returns the patterns in force. */
  getPatterns(): PoisonPattern[] {
    return [...this.active.values()].map(({ pattern }) => pattern);
  }

  /** Returns whether a pattern is in force. */
  has(key: PatternKey): boolean {
    return this.active.has(key);
  }

  /** Returns whether no pattern is in force, so that no call needs to be compared. */
  isEmpty(): boolean {
    return this.active.size === 0;
  }

  /** Puts a pattern into force, unless another one already refuses its calls. `detail` goes to the log. */
  add(pattern: PoisonPattern, source: PatternSource, detail: object = {}): void {
    const { timers, logger } = this.options;
    const key = getPatternKey(pattern);
    const isRedundant = this.getPatterns().some((known) => isCovered(pattern, known));
    if (isRedundant || pattern.features.length === 0) {
      return;
    }
    this.active.set(key, {
      pattern,
      expiresAt: timers.now() + PATTERN_LIFETIME_MS,
      cancelExpiry: timers.subscribe(PATTERN_LIFETIME_MS, () => this.expire(key)),
    });
    this.updateGauge();
    logger.warn('refusing calls that crash endpoints', {
      pattern: pattern.features,
      source,
      ...detail,
    });
    this.onAdd(key, pattern, source);
  }

  /** Lifts a pattern. */
  remove(key: PatternKey, reason: string): void {
    const entry = this.active.get(key);
    if (entry) {
      this.active.delete(key);
      this.updateGauge();
      this.options.logger.info('pattern of refused calls lifted', {
        pattern: entry.pattern.features,
        reason,
      });
    }
  }

  /** Returns the time for which calls with these features are refused, or `undefined` if they are not. */
  getRefusalMs(features: readonly Feature[]): number | undefined {
    const matching = [...this.active.values()].filter(({ pattern }) => isMatch(pattern, features));
    const now = this.options.timers.now();
    return matching.length === 0
      ? undefined
      : Math.max(...matching.map(({ expiresAt }) => expiresAt - now));
  }

  /** Cancels all timers. */
  stop(): void {
    this.active.clear();
  }

  private expire(key: PatternKey): void {
    this.remove(key, 'expired');
    this.onExpire(key);
  }

  private updateGauge(): void {
    this.options.metrics.poisonPatterns.set(this.active.size);
  }
}

/** Returns the key of a pattern in the store. */
export function getPatternKey({ features }: PoisonPattern): PatternKey {
  return getSha256(features.join('\n')).slice(0, KEY_LENGTH);
}
